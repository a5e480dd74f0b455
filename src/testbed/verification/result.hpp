// SPDX-License-Identifier: Apache-2.0
// What a run came to, as reports, results and plots have it.
#pragma once

#include "testbed/model/experiment.hpp"

#include <cstdint>
#include <utility>

namespace harrierpass::testbed {

// What is shaded in a picture: a fault.
struct shade {
    std::string name;
    double at = 0, lasts = 0; // s; 0: to the end
};
inline std::vector<shade> shades_of(const experiment &of) {
    std::vector<shade> made;
    for (const auto &each : of.faults)
        made.push_back({name_of(each.kind), each.at, each.lasts});
    for (const auto &each : of.link_faults)
        made.push_back({name_of(each.kind), each.at, each.lasts});
    return made;
}

// What a run came to; a line of JSON in the results.
struct run_result {
    std::string experiment, variant, mode; // mode: "virtual" or "sockets"
    std::uint32_t seed = 0;
    double length = 0, wall = 0; // s; wall: what it took
    double service = 0;          // importance served in time over importance asked for
    std::uint64_t queries = 0, completed = 0, late = 0, rejected = 0, aborted = 0, none = 0, retries = 0;
    std::uint64_t executions = 0, fetches = 0, events = 0, trace = 0;
    double p50 = 0, p90 = 0, p99 = 0, p999 = 0;                     // s, of completed queries
    double lateness_p99 = 0, lateness_most = 0;                     // s, of the load generator itself
    std::vector<std::pair<std::string, std::uint64_t>> rules;       // broken, by name
    std::vector<std::pair<std::string, std::uint64_t>> proxies;     // their counts
    std::vector<std::pair<std::string, double>> use_cases, tenants; // service by name
    std::vector<std::pair<std::string, double>> fleet;              // figures of the whole fleet, by name
    std::vector<std::pair<std::string, std::vector<double>>>
        series;                              // by second of the run; NaN: nothing there
    std::vector<double> proxy_cpu, proxy_mb; // s, MB at its end: of each real proxy, by number
    std::vector<std::string> stories;
    std::string void_because; // not empty: the run does not count

    // By part of the run, for plots.
    double slot_length = 0;
    std::vector<double> slot_service, slot_p50, slot_p99, slot_rate, slot_fetches;
    std::vector<std::vector<double>> in_hand; // by server: mean in hand by slot

    std::uint64_t broken() const;
};

} // namespace harrierpass::testbed
