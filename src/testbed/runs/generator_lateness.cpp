// SPDX-License-Identifier: Apache-2.0
#include "testbed/runs/generator_lateness.hpp"

#include <algorithm>

namespace harrierpass::testbed {
namespace {

constexpr double max_lateness_share = 0.1;   // of the shortest latency objective
constexpr double min_lateness_bound = 0.005; // s, if that share is less
constexpr double no_latency_objective = 1e9; // s

} // namespace

bool generator_was_late(const run_result &result, const experiment &settings) {
    const bool pauses_clients =
        std::any_of(settings.faults.begin(), settings.faults.end(),
                    [](const fault_settings &fault) { return fault.kind == fault_kind::client_pause; });
    if (pauses_clients)
        return false;
    double shortest = no_latency_objective;
    for (const auto &use_case : settings.use_cases)
        shortest = std::min(shortest, use_case.routing.latency_objective);
    return result.lateness_p99 > std::max(min_lateness_bound, max_lateness_share * shortest);
}

void void_if_generator_was_late(run_result &result, const experiment &settings) {
    if (generator_was_late(result, settings))
        result.void_because = "the machine was too slow: the load generator was late by " +
                              std::to_string(result.lateness_p99 * 1000) + " ms in its slowest hundredth";
}

} // namespace harrierpass::testbed
