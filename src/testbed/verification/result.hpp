// SPDX-License-Identifier: Apache-2.0
// The result of a run, for reports, result files and plots.
#pragma once

#include "testbed/model/experiment.hpp"

#include <cstdint>
#include <utility>

namespace harrierpass::testbed {

// A fault, as the shaded part of a plot.
struct shade {
    std::string name;
    double at = 0, lasts = 0; // s; 0: to the end
};
// The faults of an experiment, of processes and of links.
inline std::vector<shade> shades_of(const experiment &of) {
    std::vector<shade> made;
    for (const auto &each : of.faults)
        made.push_back({name_of(each.kind), each.at, each.lasts});
    for (const auto &each : of.link_faults)
        made.push_back({name_of(each.kind), each.at, each.lasts});
    return made;
}

// One line of JSON in the result files (report.cpp maps the names).
struct run_result {
    std::string experiment, variant, mode; // mode: "virtual" or "sockets"
    std::uint32_t seed = 0;
    double length = 0, wall = 0; // s; wall: time that it took
    double service = 0;          // priority weight served in time over that of all requests
    std::uint64_t queries = 0, completed = 0, late = 0, rejected = 0, aborted = 0, none = 0, retries = 0;
    std::uint64_t executions = 0, fetches = 0, events = 0, trace = 0;
    double p50 = 0, p90 = 0, p99 = 0, p999 = 0;                     // s, of completed queries
    double lateness_p99 = 0, max_lateness = 0;                      // s, of the load generator itself
    std::vector<std::pair<std::string, std::uint64_t>> rules;       // broken, by name
    std::vector<std::pair<std::string, std::uint64_t>> proxies;     // their counts
    std::vector<std::pair<std::string, double>> use_cases, tenants; // service by name
    std::vector<std::pair<std::string, double>> fleet;              // fleet_metrics::all
    std::vector<std::pair<std::string, std::vector<double>>>
        series;                              // by second of the run; NaN: nothing there
    std::vector<double> proxy_cpu, proxy_mb; // s, MB at its end: of each real proxy, by number
    std::vector<std::string> histories;      // of the first requests for which a rule was broken
    std::string void_because;                // not empty: the run does not count

    // By time slot of the run, for plots.
    double slot_length = 0;
    std::vector<double> slot_service, slot_p50, slot_p99, slot_rate, slot_fetches;
    std::vector<std::vector<double>> in_flight; // by server, slot: mean of attempts in flight

    std::uint64_t broken() const; // rules, in all
};

} // namespace harrierpass::testbed
