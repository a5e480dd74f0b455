// SPDX-License-Identifier: Apache-2.0
// Runs of real processes in tests: the run itself, its figures, its folder and its logs.
#pragma once

#include "support/helpers.hpp"

#include "testbed/runs/socket_run.hpp"

#include <filesystem>
#include <unistd.h>

namespace harrierpass::testbed {
using test::count_of;

inline std::string folder_of(const char *name) {
    std::string made =
        std::filesystem::temp_directory_path() / (std::string(name) + std::to_string(::getpid()));
    std::filesystem::create_directories(made);
    return made;
}

inline run_result on_sockets(const experiment &given, const std::string &logs = "",
                             injected_violation breaks = injected_violation::nothing,
                             policy_kind by = policy_kind::module, bool embeds = false) {
    socket_options how;
    how.program = HARRIERPASS_PROGRAM;
    how.self = HARRIERPASS_TESTBED_PROGRAM;
    how.logs = logs;
    how.embeds = embeds;
    variant_settings as;
    as.violation = breaks;
    as.policy = by;
    return run_on_sockets(given, as, 3, how);
}

inline double figure(const run_result &of, const char *name) {
    for (const auto &[known, value] : of.fleet)
        if (known == name)
            return value;
    return -1.0;
}

} // namespace harrierpass::testbed
