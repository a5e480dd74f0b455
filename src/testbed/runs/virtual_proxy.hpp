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
    std::uint64_t sent = 0, completed = 0, rejected = 0, aborted = 0, called_off = 0, timed_out = 0,
                  resets = 0, connect_errors = 0, errors = 0, full = 0, probes = 0, probes_failed = 0,
                  false_called_off = 0, false_probes = 0, found = 0, lists_lost = 0;
    histogram found_after; // s from a server's trouble to this proxy's first suspicion of it
    void add(const proxy_counts &that);
};

class virtual_proxy {
public:
    virtual_proxy(stage &all, virtual_links &links, const variant_spec &as, index number, std::uint32_t seed);

    // A client's try has come whole, or its client has gone.
    void take(const client_request &query);
    void leave(operation op, index attempt);
    // A client's answer, as the network will bring it.
    std::function<void(const client_request &, reply, double come_back, bool body_fits)> on_answer;

    void kill(bool planned = false); // outright, or at a planned end; start() begins it anew
    // Told to end: takes no more, answers what it holds (3 s at most), and is gone then.
    void end(const std::function<void()> &gone);
    bool takes() const {
        return up() && !ends_ && (!calls_ || calls_->state() != discovery::poll_state::no_endpoints);
    }
    void start();
    void pause(bool begins);
    bool up() const { return router_ != nullptr; }
    const proxy_counts &counts() const { return counts_; }

    void changed(const membership::member &what); // the list's, published
    // A server's process died, or its machine: connections to it break.
    void broken(index server);
    void link_changed(index server, const link_conditions &before,
                      const link_conditions &now); // of its link to a server
    void list_broken();                            // the list service died: the call that is out breaks

private:
    struct connection {
        double used = 0;
        std::uint64_t life = 0; // of the server's process
        bool cut = false;       // half open: the far end is dead
    };
    struct held {
        client_request is;
        bool live = false, answered = false, gone = false;
        index sent = 0;           // executions
        index out_at = none;      // server of the one that is out
        std::uint64_t serial = 0; // of the try in this place
        std::uint64_t life = 0;   // of the server's process
        index missed_at = none;
        bool connected = false, cut = false; // on a connection, which may be half open
    };
    link_id to_server(index server) const { return {link_kind::proxy_server, number_, server}; }
    link_id to_list() const { return {link_kind::proxy_list, number_, 0}; }
    bool take_connection(index server, bool &cut);
    void close_connections(index server);
    void sweep();
    void wait_end(const std::function<void()> &gone, double limit);
    void know();      // the list that it starts with
    void plan_call(); // where one list service serves all
    discovery::snapshot_facts facts_of(const list_answer &with) const;
    void call_list();
    void list_came(std::uint64_t call, const list_answer &with);
    void list_lost(std::uint64_t call);
    void event(std::function<void()> what); // now, or when the proxy goes on
    void obey();
    void send(index query, index server);
    void reach(index query, index server, index number, std::uint64_t serial, double sent, bool planted);
    void come(index query, index number, std::uint64_t serial, outcome result, bool fetched);
    void end_out(held &of, bool keeps = false); // keeps: its connection may be used again
    void answer(index query, reply how, double come_back);
    void probe(index server);
    void subscribe();
    void tell(endpoint_update_kind kind, const std::vector<membership::member> &members);
    void time_up(index query, std::uint64_t serial);
    void release(index query);
    double way(index server) const;
    bool planted(plant which, index every);
    bool suspects(index server); // true: for no good reason

    timeline &clock_;
    const experiment &given_;
    const variant_spec &as_;
    const index number_;
    fleet &servers_;
    membership &list_;
    list_service &service_;
    rule_checker &judge_;
    fleet_metrics &figures_;
    virtual_links &links_;
    chance chance_;
    std::vector<std::vector<connection>> idle_; // by server
    bool ends_ = false;
    // A central list service: the call that is out, and the revision that is known (0: none).
    std::uint64_t list_call_ = 0, list_token_ = 0, revision_ = 0;
    bool list_out_ = false;
    std::optional<discovery::poll_schedule> calls_; // where one list service serves all
    std::vector<endpoint_state> listed_;            // by server, as last told; there alone
    std::unique_ptr<router> router_;
    std::uint64_t life_ = 0, serial_ = 0;
    std::vector<held> held_;
    std::vector<index> free_, released_;
    double wake_at_ = 0;
    bool watching_ = false;
    index pauses_ = 0;
    std::vector<std::function<void()>> late_;
    std::vector<std::string> ids_;
    std::vector<double> found_; // by server: the trouble that was found last, by its time
    std::uint64_t plants_ = 0;
    proxy_counts counts_;
};

} // namespace harrierpass::testbed
