// SPDX-License-Identifier: Apache-2.0
// Follows every request from its client's first attempt to its last attempt at a server and reports which
// rule was broken, with the history of the request. It is notified by the testbed's clients, servers, list
// service and links only, never by the proxy. An `operation` is one unit of work that a client wants done;
// each client attempt for it is a request with an id of its own.
//
// Rules and what breaks them:
//   lost           a running proxy read a request and sent no response before the client's deadline
//   answered_twice a second response to one request
//   two_out        an attempt reached a server while another attempt of the same request was in flight
//   ran_twice      a non-idempotent operation ran twice, also across a client's attempts after a rejection; a
//                  deduplicated operation ran twice by attempts at servers of different groups, or received
//                  at least the deduplication window apart. (An attempt that a server received within the
//                  window and ran after it counts as a late effect: no proxy can know of it.)
//   drain          a proxy sent an attempt to a server later than the drain grace after it was notified of
//                  the server's drain or removal
//   cold           a cold server was overloaded and failed
//   late           an attempt was sent to a server after the client's deadline. (A request that waited unread
//                  at a paused proxy has its deadline later by that time.)
//   wrong_body     a response was made for another request
//
// Does no I/O except for writing `trace`. Times are seconds of `clock`.
#pragma once

#include "testbed/model/experiment.hpp"
#include "testbed/model/observer.hpp"
#include "testbed/model/timeline.hpp"

#include <array>
#include <deque>
#include <functional>
#include <iosfwd>
#include <map>
#include <string>
#include <tuple>
#include <unordered_map>

namespace harrierpass::testbed {

// In the order of reports.
enum class rule : std::uint8_t {
    lost,
    answered_twice,
    two_out,
    ran_twice,
    drain,
    cold,
    late,
    wrong_body,
    total
};
const char *name_of(rule broken_rule); // the name in reports and result files

// `clock` and `settings` must outlive the checker. Used from one thread.
class rule_checker : public observer {
public:
    // `slack`: seconds by which the clocks of threads and sockets may differ.
    rule_checker(const timeline &clock, const experiment &settings, double slack)
        : clock_(clock), experiment_(settings), slack_(slack) {}

    void request_sent(operation op, index attempt, index proxy, index use_case, double deadline) override;
    void response_received(operation op, index attempt, reply response, bool body_matches) override;
    void response_missing(operation op, index attempt) override;
    void operation_finished(operation op) override;
    void request_not_accepted(operation op, index attempt) override;
    void foreign_request_seen(operation op, index attempt, index use_case) override;
    void attempt_received(operation op, index attempt, index server, double sent_at) override;
    void attempt_ended(operation op, index attempt, index server) override;
    void effect_executed(operation op, index attempt, index server) override;
    void server_overloaded(index server) override;
    void server_process_died(index server) override;
    void endpoint_state_notified(index proxy, index server, endpoint_state state) override;
    void proxy_restarted(index proxy, bool killed) override;
    void proxy_paused(index proxy, bool begins) override;
    void link_fault_changed(link_kind kind, index near, index far, bool begins) override;
    void finish(); // reports the pending overlaps as violations: no event that clears them can follow

    std::function<void(index server)> on_received; // a server received an attempt

    // How often one rule, or any rule, was broken.
    std::uint64_t broken(rule broken_rule) const;
    std::uint64_t broken() const;
    const std::vector<std::string> &histories() const { return histories_; } // of the first violations
    // Attempts that servers received; executed effects; effects executed late, of which no proxy can know.
    std::uint64_t executions() const { return executions_; }
    std::uint64_t effects() const { return effects_; }
    std::uint64_t late_effects() const { return late_effects_; }
    std::size_t records() const { return records_.size(); }
    std::uint64_t trace_hash() const { return hash_; } // over all events in their order
    bool allow_unknown_requests = false;               // servers may receive requests of foreign clients
    std::ostream *trace = nullptr;                     // receives one line for each event

private:
    // Part of the trace hash: the order of the enumerators must stay.
    enum class step_kind : std::uint8_t {
        request_sent,
        completed,
        rejected,
        aborted,
        cut,
        no_response,
        attempt_received,
        attempt_ended,
        effect_executed
    };
    // An event in an operation's history; `peer` is a proxy or a server.
    struct step {
        double time;
        step_kind kind;
        index attempt, peer;
    };
    // A client's attempt.
    struct client_attempt {
        index attempt, proxy, in_flight = 0; // in_flight: attempts at servers
        double deadline, sent_at;
        bool answered = false;         // the response arrived, or was reported missing
        bool proxy_killed = false;     // its proxy was killed after it was sent
        bool response_missing = false; // the client left before a response
        bool not_accepted = false;     // as far as the client can know, no proxy read the request
        index latest_server = none;    // received the latest attempt
    };
    // An attempt that a server received.
    struct server_attempt {
        index attempt, server;
        double received_at;
        bool link_was_impaired = false; // the time at which the attempt was sent is not known
        bool executed = false;
    };
    struct operation_record {
        std::vector<server_attempt> server_attempts;
        index use_case = 0, effects = 0;
        bool finished = false;
        std::vector<client_attempt> client_attempts;
        std::vector<step> steps;
    };
    // The state of a server of which a proxy was last notified, and when the drain grace starts.
    struct notified_state {
        endpoint_state state = endpoint_state::ready;
        double time = 0;
    };
    // Whether a link is impaired now, and the bounds of the latest impairment.
    struct impairment {
        bool active = false;
        double since = 0, until = -1e9;
    };
    // A second attempt in flight, while the server of an earlier one may not have observed its end yet.
    struct overlap {
        operation op;
        index attempt, server; // of the second attempt
        double time;
    };
    void check_overlaps(double until);
    std::uint64_t due_overlaps() const; // overlaps older than the slack, which count as violations
    // Whether the link is impaired now, or was at some time from `since` on or up to catch_up_time earlier.
    bool link_impaired(link_kind kind, index near, index far, double since) const;
    // Seconds that the request waited unread at a proxy that was paused when it was sent and has continued
    // since. The deadline reaches a proxy as a duration, so no proxy can know of them.
    double unread_during_pause(const client_attempt &request);
    operation_record *find(operation op);
    client_attempt *find(operation_record &record, index attempt);
    void record_step(operation_record &record, operation op, step_kind kind, index attempt, index peer);
    void record_violation(rule broken_rule, operation op, const std::string &reason);
    std::string format_history(operation op) const;
    void drop_old_records();

    const timeline &clock_;
    const experiment &experiment_;
    const double slack_;
    std::unordered_map<operation, operation_record> records_;  // iteration order has no effect
    std::deque<std::pair<double, operation>> finished_;        // by time
    std::deque<overlap> overlaps_;                             // by time
    std::vector<std::vector<notified_state>> notified_states_; // by proxy, server
    std::vector<index> active_pauses_;                         // by proxy: number of pauses
    std::vector<double> paused_since_, paused_until_;          // by proxy
    std::map<std::tuple<link_kind, index, index>, impairment> links_;
    std::array<std::uint64_t, static_cast<std::size_t>(rule::total)> broken_{};
    std::vector<std::string> histories_;
    std::uint64_t executions_ = 0, effects_ = 0, late_effects_ = 0, hash_ = 14695981039346656037ULL;
};

} // namespace harrierpass::testbed
