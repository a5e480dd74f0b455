// SPDX-License-Identifier: Apache-2.0
// The result of a run, for reports, result files and plots.
#pragma once

#include "testbed/model/experiment.hpp"

#include <cstdint>
#include <utility>

namespace harrierpass::testbed {

// The time in which a fault is active; shaded in plots.
struct fault_interval {
    std::string name;
    double start = 0, duration = 0; // seconds; duration 0: until the end of the run
};
// Returns the intervals of an experiment's process faults and link faults.
inline std::vector<fault_interval> fault_intervals(const experiment &settings) {
    std::vector<fault_interval> intervals;
    for (const auto &fault : settings.faults)
        intervals.push_back({name_of(fault.kind), fault.at, fault.lasts});
    for (const auto &fault : settings.link_faults)
        intervals.push_back({name_of(fault.kind), fault.at, fault.lasts});
    return intervals;
}

// Stored as one line of JSON in a result file; report.cpp maps the fields to the keys.
struct run_result {
    std::string experiment, variant, mode; // mode: "virtual" or "sockets"
    std::uint32_t seed = 0;
    double length = 0, wall = 0; // seconds; wall: wall-clock time that the run took
    double service = 0; // priority weight served over the total; late responses count by late value share
    std::uint64_t queries = 0, completed = 0, late = 0, rejected = 0, aborted = 0, none = 0, retries = 0;
    std::uint64_t executions = 0, fetches = 0, events = 0, trace = 0;
    double p50 = 0, p90 = 0, p99 = 0, p999 = 0;                      // seconds, of completed requests
    double lateness_p99 = 0, max_lateness = 0;                       // seconds, of the load generator
    std::vector<std::pair<std::string, std::uint64_t>> rules;        // violations by rule name
    std::vector<std::pair<std::string, std::uint64_t>> proxies;      // the proxies' counters
    std::vector<std::pair<std::string, double>> use_cases, tenants;  // service by name
    std::vector<std::pair<std::string, double>> fleet;               // fleet_metrics::values
    std::vector<std::pair<std::string, std::vector<double>>> series; // by second of the run; NaN: no data
    std::vector<double> proxy_cpu, proxy_mb; // seconds, MB at the end; by proxy, real processes only
    std::vector<std::string> histories;      // of the first requests that broke a rule
    std::string void_because;                // if not empty: why the run does not count

    // By time slot of the run, for plots.
    double slot_length = 0;
    std::vector<double> slot_service, slot_p50, slot_p99, slot_rate, slot_fetches;
    std::vector<std::vector<double>> in_flight; // by server, slot: mean of attempts in flight

    std::uint64_t broken() const; // violations of all rules
};

} // namespace harrierpass::testbed
