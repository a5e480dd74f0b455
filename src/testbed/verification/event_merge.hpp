// SPDX-License-Identifier: Apache-2.0
// Merges the events that several processes observe into one order before the rule checker gets them. Each
// event has the time at which its process observed it, by the machine's monotonic clock; it is delivered once
// every source has advanced beyond that time or is closed, so that one that arrives late still takes its
// place. A source that does not advance delays delivery, not the run.
#pragma once

#include "testbed/model/observer.hpp"
#include "testbed/model/timeline.hpp"

#include <functional>
#include <map>
#include <vector>

namespace harrierpass::testbed {

// One event as it is sent between processes: of a fixed size, so that the last one of a killed process is
// whole or absent. Each kind carries the arguments of the observer's function of its name.
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
    kind is = kind::request_sent;
    std::uint8_t small = 0, flag = 0;
    index a = 0, b = 0, c = 0;
    operation op = 0;
    double x = 0;    // s: a deadline, or when it was sent
    double when = 0; // s, when it was observed
};

// Calls the observer's function for an event.
void replay_event(const observed_event &event, observer &to);

// Turns what a process observes into events and passes each on at once.
class event_recorder : public observer {
public:
    // `now`: the machine's time at the moment of the call. The loop's clock stands still while it handles
    // what has arrived, and would put a response to another process's message before that message.
    event_recorder(std::function<double()> now, std::function<void(const observed_event &)> to)
        : now_(std::move(now)), to_(std::move(to)) {}
    void request_sent(operation op, index attempt, index proxy, index use_case, double end) override;
    void response_received(operation op, index attempt, reply how, bool body_fits) override;
    void response_missing(operation op, index attempt) override;
    void operation_finished(operation op) override;
    void request_not_accepted(operation op, index attempt) override;
    void foreign_request_seen(operation op, index attempt, index use_case) override;
    void attempt_received(operation op, index attempt, index server, double sent) override;
    void attempt_ended(operation op, index attempt, index server) override;
    void effect_executed(operation op, index attempt, index server) override;
    void server_overloaded(index server) override;
    void server_process_died(index server) override;
    void endpoint_state_notified(index proxy, index server, endpoint_state as) override;
    void proxy_restarted(index proxy, bool killed) override;
    void proxy_paused(index proxy, bool begins) override;
    void link_fault_changed(link_kind kind, index near, index far, bool begins) override;

private:
    void note(observed_event what);
    std::function<double()> now_;
    std::function<void(const observed_event &)> to_;
};

// Used from one thread; `clock` and `checker` outlive it.
class event_merge {
public:
    // `clock` is the rule checker's own, and is moved to the time of each event.
    event_merge(timeline &clock, observer &checker) : clock_(clock), checker_(checker) {}

    std::size_t add_source();
    void add(std::size_t source, const observed_event &event); // advances the source to its time
    void advance_source(std::size_t source, double when);      // it has observed nothing else up to `when`
    void close_source(std::size_t source);                     // it sends nothing more
    void reopen_source(std::size_t source, double when);       // it sends events again, from `when` on
    void deliver_ready();                                      // all whose place in the order is known
    std::size_t waiting() const { return events_.size(); }

private:
    timeline &clock_;
    observer &checker_;
    std::vector<double> source_times_; // by source: up to when it is known, s
    // By time, then source, then arrival: the order of equal times does not depend on how they got here.
    std::map<std::tuple<double, std::size_t, std::uint64_t>, observed_event> events_;
    std::uint64_t order_ = 0;
};

} // namespace harrierpass::testbed
