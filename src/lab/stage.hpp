// SPDX-License-Identifier: Apache-2.0
// All of a run but the proxies and the way to them: servers, origin, list, clients, referee, and the script
// of faults. A link makes it whole: in virtual time, or on sockets.
#pragma once

#include "lab/clients.hpp"
#include "lab/membership.hpp"
#include "lab/servers.hpp"

#include <optional>
#include <ostream>

namespace harrierpass::lab {

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
    std::vector<std::string> stories;
    std::string void_because; // not empty: the run does not count

    // By part of the run, for plots.
    double slot_length = 0;
    std::vector<double> slot_service, slot_p50, slot_p99, slot_rate, slot_fetches;
    std::vector<std::vector<double>> in_hand; // by server: mean in hand by slot

    std::uint64_t broken() const;
};

// What the clients saw in all, into a result.
void take_totals(run_result &to, const clients &of);

class stage {
public:
    // `slack`: s by which clocks on the link may differ.
    stage(timeline &clock, const experiment &given, std::uint32_t seed, double slack);

    void start(); // load and faults, from now on
    void start_faults();
    void apply(const fault_spec &fault, bool begins); // one of them
    bool done() const { return people.idle(); }

    // The link's part of a fault. All may be left empty.
    std::function<void(index server)> on_broken; // its connections break
    std::function<void(index proxy, bool begins)> on_proxy_kill, on_proxy_pause;

    run_result result(const variant_spec &of, const char *mode) const;

    timeline &clock;
    const experiment &given;
    referee judge;
    fleet servers;
    membership list;
    clients people;

private:
    void set_server(const fault_spec &fault, index server, bool begins);
    void flap(const fault_spec &fault, index server, double until);
    void notice(index server);
    void sample();

    const std::uint32_t seed_;
    std::vector<std::vector<double>> in_hand_; // by server, slot
    std::vector<double> samples_, fetches_;    // by slot
    std::uint64_t fetched_ = 0;
};

} // namespace harrierpass::lab
