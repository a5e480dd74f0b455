// SPDX-License-Identifier: Apache-2.0
// Helpers for tests that run experiments with real processes: the run, its metrics and its directory.
#pragma once

#include "support/helpers.hpp"

#include "testbed/runs/socket_run.hpp"

#include <filesystem>
#include <unistd.h>

namespace harrierpass::testbed {
using test::count_occurrences;

inline std::string create_temporary_directory(const char *name_prefix) {
    std::string path =
        std::filesystem::temp_directory_path() / (std::string(name_prefix) + std::to_string(::getpid()));
    std::filesystem::create_directories(path);
    return path;
}

inline run_result run_experiment_on_sockets(const experiment &settings, const std::string &log_directory = "",
                                            injected_violation violation = injected_violation::nothing,
                                            policy_kind policy = policy_kind::module, bool embeds = false) {
    socket_options options;
    options.program = HARRIERPASS_PROGRAM;
    options.self = HARRIERPASS_TESTBED_PROGRAM;
    options.logs = log_directory;
    options.embeds = embeds;
    variant_settings variant;
    variant.violation = violation;
    variant.policy = policy;
    return run_on_sockets(settings, variant, 3, options);
}

// A metric of the whole fleet; -1 if the run has none of this name.
inline double fleet_metric(const run_result &run, const char *name) {
    for (const auto &[metric_name, value] : run.fleet)
        if (metric_name == name)
            return value;
    return -1.0;
}

} // namespace harrierpass::testbed
