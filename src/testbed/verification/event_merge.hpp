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
        asked,
        answered,
        unanswered,
        settled,
        untaken,
        meet,
        received,
        over,
        ran,
        fell,
        died,
        told,
        restarted,
        paused,
        link_trouble
    };
    kind is = kind::asked;
    std::uint8_t small = 0, flag = 0;
    index a = 0, b = 0, c = 0;
    operation op = 0;
    double x = 0;    // s: a deadline, or when it was sent
    double when = 0; // s, when it was observed
};

// Calls the observer's function for an event.
void replay_event(const observed_event &event, witness &to);

// Turns what a process observes into events and passes each on at once.
class event_recorder : public witness {
public:
    // `now`: the machine's time at the moment of the call. The loop's clock stands still while it handles
    // what has arrived, and would put a response to another process's message before that message.
    event_recorder(std::function<double()> now, std::function<void(const observed_event &)> to)
        : now_(std::move(now)), to_(std::move(to)) {}
    void asked(operation op, index attempt, index proxy, index use_case, double end) override;
    void answered(operation op, index attempt, reply how, bool body_fits) override;
    void unanswered(operation op, index attempt) override;
    void settled(operation op) override;
    void untaken(operation op, index attempt) override;
    void meet(operation op, index attempt, index use_case) override;
    void received(operation op, index attempt, index server, double sent) override;
    void over(operation op, index attempt, index server) override;
    void ran(operation op, index attempt, index server) override;
    void fell(index server) override;
    void died(index server) override;
    void told(index proxy, index server, endpoint_state as) override;
    void restarted(index proxy, bool killed) override;
    void paused(index proxy, bool begins) override;
    void link_trouble(link_kind kind, index near, index far, bool begins) override;

private:
    void note(observed_event what);
    std::function<double()> now_;
    std::function<void(const observed_event &)> to_;
};

// Used from one thread; `clock` and `checker` outlive it.
class event_merge {
public:
    // `clock` is the rule checker's own, and is moved to the time of each event.
    event_merge(timeline &clock, witness &checker) : clock_(clock), checker_(checker) {}

    std::size_t add_source();
    void add(std::size_t source, const observed_event &event); // advances the source to its time
    void advance_source(std::size_t source, double when);      // it has observed nothing else up to `when`
    void close_source(std::size_t source);                     // it sends nothing more
    void reopen_source(std::size_t source, double when);       // it sends events again, from `when` on
    void deliver_ready();                                      // all whose place in the order is known
    std::size_t waiting() const { return events_.size(); }

private:
    timeline &clock_;
    witness &checker_;
    std::vector<double> source_times_; // by source: up to when it is known, s
    // By time, then source, then arrival: the order of equal times does not depend on how they got here.
    std::map<std::tuple<double, std::size_t, std::uint64_t>, observed_event> events_;
    std::uint64_t order_ = 0;
};

} // namespace harrierpass::testbed
