// SPDX-License-Identifier: Apache-2.0
// All of a run but the proxies and the way to them: servers, origin, list, clients, rule checker, and the
// script of faults. A link makes it whole: in virtual time, or on sockets.
#pragma once

#include "testbed/links/conditions.hpp"
#include "testbed/load/load_generator.hpp"
#include "testbed/model/list_service.hpp"
#include "testbed/model/membership.hpp"
#include "testbed/model/servers.hpp"
#include "testbed/verification/event_merge.hpp"
#include "testbed/verification/fleet_metrics.hpp"
#include "testbed/verification/result.hpp"
#include "testbed/verification/rule_checker.hpp"

#include <optional>
#include <ostream>

namespace harrierpass::testbed {

// What the clients saw in all, into a result.
void take_totals(run_result &to, const load_generator &of);

class run_environment {
public:
    // `slack`: s by which clocks on the link may differ. `exact`, the machine's time at the moment: parts of
    // the world are other processes, and all that is seen is judged by `events`.
    run_environment(timeline &with, const experiment &of, std::uint32_t seed, double slack,
                    const std::function<double()> &exact = {});

    void start(); // load and faults, from now on
    void start_faults();
    void apply(const fault_settings &fault, bool begins); // one of them
    bool done() const { return load_clients.idle(); }

    // The link's part of a fault. All may be left empty.
    std::function<void(index server)> on_broken; // its connections break
    std::function<void(index proxy, bool begins)> on_proxy_kill, on_proxy_pause;
    std::function<void(index proxy, const fault_settings &fault)> on_proxy_restart; // restart, end, late
    std::function<void(index proxy)> on_proxy_signals;
    // What a server's model was told, for one that is in another process; a process of servers as a whole.
    std::function<void(const fault_settings &fault, index server, bool begins)> on_model;
    std::function<void(index host, fault_kind kind, bool begins)> on_host;
    std::function<void(bool begins)> on_list_kill, on_list_stop;
    // Its state is the table's; the rule checker has been told.
    std::function<void(const link_id &, const link_conditions &before, const link_conditions &now)> on_link;

    // Whether the clients' link to a proxy was in trouble at some time since.
    bool client_link_was_faulty(index proxy, double since) const;
    run_result result(const variant_settings &of, const char *mode) const;

    timeline &clock;
    const experiment &settings;

private:
    timeline checked_time_; // the judge's own time, where events are merged

public:
    rule_checker checker;
    event_merge events;
    std::size_t own_events = 0; // the source that this process is

private:
    event_recorder writer_;

public:
    observer &event_observer; // what this process sees goes there
    fleet servers;
    membership list;
    list_service service;
    load_generator load_clients;
    link_table links;
    fleet_metrics metrics;

private:
    bool stands_on(const fault_settings &fault, index server) const;
    void set_server(const fault_settings &fault, index server, bool begins);
    void model(const fault_settings &fault, index server, bool begins);
    void flap(const fault_settings &fault, index server, double until);
    void notice(index server);
    void sample();

    const std::uint32_t seed_;
    std::unordered_map<index, double> client_link_faulty_until_; // by proxy, until when; never iterated
    std::vector<std::vector<double>> in_flight_;                 // by server, slot
    std::vector<double> samples_, fetches_;                      // by slot
    std::uint64_t fetched_ = 0;
};

} // namespace harrierpass::testbed
