// SPDX-License-Identifier: Apache-2.0
// Merges the events of several processes into one sequence ordered by time and delivers it to the rule
// checker. Each event carries the time at which its process observed it, by the machine's monotonic clock. It
// is delivered once every source has advanced beyond that time or is closed, so that an event that arrives
// late is still delivered in order. A source that does not advance delays delivery, not the run.
#pragma once

#include "testbed/model/observer.hpp"
#include "testbed/model/timeline.hpp"

#include <functional>
#include <map>
#include <vector>

namespace harrierpass::testbed {

// An event in the form in which it is sent between processes. Its size is fixed, so that the last event of a
// killed process is either complete or absent. Each kind carries the arguments of the observer's function of
// its name.
struct observed_event {
    enum class kind : std::uint8_t {
        request_sent,
        response_received,
        response_missing,
        operation_finished,
        request_not_accepted,
        foreign_request_seen,
        attempt_received,
        attempt_ended,
        effect_executed,
        server_overloaded,
        server_process_died,
        endpoint_state_notified,
        proxy_restarted,
        proxy_paused,
        link_fault_changed
    };
    kind type = kind::request_sent;
    std::uint8_t enumerator = 0, flag = 0; // enumerator: a reply, endpoint_state or link_kind
    index a = 0, b = 0, c = 0;
    operation op = 0;
    double time_argument = 0; // seconds: a deadline, or when an attempt was sent
    double observed_at = 0;   // seconds
};

// Calls the observer's function for an event.
void replay_event(const observed_event &event, observer &target);

// Converts the observer calls in a process into events and forwards each immediately.
class event_recorder : public observer {
public:
    // `now` returns the machine's time at the moment of the call. The event loop's clock does not advance
    // while the loop handles its events, and would place a response to another process's message before the
    // message.
    event_recorder(std::function<double()> now, std::function<void(const observed_event &)> forward)
        : now_(std::move(now)), forward_(std::move(forward)) {}
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

private:
    void record(observed_event event);
    std::function<double()> now_;
    std::function<void(const observed_event &)> forward_;
};

// Used from one thread. `clock` and `checker` must outlive it.
class event_merge {
public:
    // `clock` is the rule checker's clock; it is advanced to the time of each delivered event.
    event_merge(timeline &clock, observer &checker) : clock_(clock), checker_(checker) {}

    std::size_t add_source();
    void add(std::size_t source, const observed_event &event); // also advances the source to the event's time
    void advance_source(std::size_t source, double time); // the source has no further events up to `time`
    void close_source(std::size_t source);                // the source sends no more events
    void reopen_source(std::size_t source, double time);  // the source sends events again, from `time` on
    void deliver_ready();                                 // delivers all events that no other can precede
    std::size_t waiting() const { return events_.size(); }

private:
    timeline &clock_;
    observer &checker_;
    std::vector<double> source_times_; // by source: the time in seconds to which it has advanced
    // Ordered by time, then source, then arrival, so that the order of events of equal time does not depend
    // on the order in which the sources' messages arrive.
    std::map<std::tuple<double, std::size_t, std::uint64_t>, observed_event> events_;
    std::uint64_t next_arrival_ = 0;
};

} // namespace harrierpass::testbed
