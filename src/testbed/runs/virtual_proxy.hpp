// SPDX-License-Identifier: Apache-2.0
// A proxy in virtual time: the real decision module behind its interface, and a front that does what the one
// on sockets does, with the network's times instead of sockets. A switch plants faults in this front, never
// in the module, so that the rule checker can be shown to see them.
#pragma once

#include "discovery/poll_schedule.hpp"
#include "testbed/links/virtual_links.hpp"
#include "testbed/runs/baseline_policies.hpp"
#include "testbed/runs/run_environment.hpp"

namespace harrierpass::testbed {

// What this proxy did in all.
struct proxy_counts {
    std::uint64_t sent = 0, completed = 0, rejected = 0, aborted = 0, canceled = 0, timed_out = 0, resets = 0,
                  connect_errors = 0, errors = 0, overloaded = 0, health_checks = 0, health_checks_failed = 0,
                  false_canceled = 0, false_health_checks = 0, faults_found = 0, polls_failed = 0;
    histogram detection_time; // s from a server's trouble to this proxy's first suspicion of it
    void add(const proxy_counts &that);
};

class virtual_proxy {
public:
    virtual_proxy(run_environment &all, virtual_links &links, const variant_settings &as, index number,
                  std::uint32_t seed);

    // A client's try has come whole, or its client has gone.
    void receive(const client_request &query);
    void disconnect(operation op, index attempt);
    // A client's answer, as the network will bring it.
    std::function<void(const client_request &, reply, double retry_after, bool body_fits)> on_answer;

    void kill(bool planned = false); // outright, or at a planned end; start() begins it anew
    // Told to end: takes no more, answers what it holds (3 s at most), and is gone then.
    void end(const std::function<void()> &gone);
    bool accepts() const {
        return up() && !stopping_ &&
               (!poll_schedule_ || poll_schedule_->state() != discovery::poll_state::no_endpoints);
    }
    void start();
    void pause(bool begins);
    bool up() const { return router_ != nullptr; }
    const proxy_counts &counts() const { return counts_; }

    void on_list_changed(const membership::member &what); // the list's, published
    // A server's process died, or its machine: connections to it break.
    void on_server_lost(index server);
    void on_link_changed(index server, const link_conditions &before,
                         const link_conditions &now); // of its link to a server
    void on_list_service_died();                      // the poll that is out breaks

private:
    struct connection {
        double used = 0;
        std::uint64_t incarnation = 0; // of the server's process
        bool half_open = false;        // half open: the far end is dead
    };
    struct active_request {
        client_request is;
        bool live = false, answered = false, gone = false;
        index sent = 0;                // executions
        index endpoint = none;         // server of the one that is out
        std::uint64_t serial = 0;      // of the try in this place
        std::uint64_t incarnation = 0; // of the server's process
        index missed_at = none;
        bool connected = false, half_open = false; // on a connection, which may be half open
    };
    link_id to_server(index server) const { return {link_kind::proxy_server, number_, server}; }
    link_id to_list() const { return {link_kind::proxy_list, number_, 0}; }
    bool acquire_connection(index server, bool &half_open);
    void close_connections(index server);
    void close_expired_connections();
    void await_completion(const std::function<void()> &gone, double limit);
    void load_initial_list(); // the list that it starts with
    void schedule_poll();     // where one list service serves all
    discovery::snapshot_facts facts_of(const list_response &with) const;
    void poll_list();
    void on_list_received(std::uint64_t call, const list_response &with);
    void on_poll_failed(std::uint64_t call);
    void event(std::function<void()> what); // now, or when the proxy goes on
    void apply_actions();
    void start_attempt(index query, index server);
    void transmit(index query, index server, index number, std::uint64_t serial, double sent, bool planted);
    void on_attempt_result(index query, index number, std::uint64_t serial, outcome result, bool fetched);
    void end_attempt(active_request &of, bool keeps = false); // keeps: its connection may be used again
    void respond(index query, reply how, double retry_after);
    void check_health(index server);
    void watch_list();
    void update_endpoints(endpoint_update_kind kind, const std::vector<membership::member> &members);
    void on_deadline(index query, std::uint64_t serial);
    void release(index query);
    double network_latency(index server) const;
    bool violates(injected_violation which, index every);
    bool record_suspicion(index server); // true: for no good reason

    timeline &clock_;
    const experiment &settings_;
    const variant_settings &as_;
    const index number_;
    fleet &servers_;
    membership &list_;
    list_service &service_;
    rule_checker &checker_;
    fleet_metrics &metrics_;
    virtual_links &links_;
    random_generator random_;
    std::vector<std::vector<connection>> idle_; // by server
    bool stopping_ = false;
    // A central list service: the call that is out, and the revision that is known (0: none).
    std::uint64_t poll_number_ = 0, poll_token_ = 0, revision_ = 0;
    bool poll_in_flight_ = false;
    std::optional<discovery::poll_schedule> poll_schedule_; // where one list service serves all
    std::vector<endpoint_state> endpoint_states_;           // by server, as last told; there alone
    std::unique_ptr<router> router_;
    std::uint64_t incarnation_ = 0, serial_ = 0;
    std::vector<active_request> requests_;
    std::vector<index> free_, released_;
    double wake_at_ = 0;
    bool watching_ = false;
    index pauses_ = 0;
    std::vector<std::function<void()>> postponed_;
    std::vector<std::string> ids_;
    std::vector<double> found_fault_start_; // by server: the trouble that was found last, by its time
    std::uint64_t violation_chances_ = 0;
    proxy_counts counts_;
};

} // namespace harrierpass::testbed
