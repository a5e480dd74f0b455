// SPDX-License-Identifier: Apache-2.0
// What several processes see, put into one order before it is judged. Each event has the time at which its
// process saw it, by the machine's monotonic clock; it is judged once every source has been heard of at a
// later time or is gone, so that one that arrives late still takes its place. A source that stands still
// holds the judging up, not the run.
#pragma once

#include "testbed/model/observer.hpp"
#include "testbed/model/timeline.hpp"

#include <functional>
#include <map>
#include <vector>

namespace harrierpass::testbed {

// One event as it is written down and sent: of a fixed size, so that what a killed process had written is
// whole or is not there. Each kind uses the fields as witness has them.
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
    double x = 0;    // s: an end, or when it was sent
    double when = 0; // s
};

void replay_event(const observed_event &event, witness &to);

// Takes down what a process sees, and hands each event on at once.
class event_recorder : public witness {
public:
    // `now`: the machine's time at this very moment. A loop's own, which stands while it works through what
    // has come, would put an answer to another process's message before that message.
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

class event_merge {
public:
    // `clock` is the judge's own, and is moved to each event's time.
    event_merge(timeline &clock, witness &checker) : clock_(clock), checker_(checker) {}

    std::size_t add_source();
    void add(std::size_t source, const observed_event &event); // its time is news of the source, too
    void advance_source(std::size_t source, double when);      // it has seen nothing else up to then
    void close_source(std::size_t source);                     // nothing more comes
    void reopen_source(std::size_t source, double when);       // but does, from then on
    void deliver_ready();                                      // all that has its place by now
    std::size_t waiting() const { return events_.size(); }

private:
    timeline &clock_;
    witness &checker_;
    std::vector<double> source_times_; // by source
    // By time, then source, then the order in which a source told it: equal times do not hang on the way
    // here.
    std::map<std::tuple<double, std::size_t, std::uint64_t>, observed_event> events_;
    std::uint64_t order_ = 0;
};

} // namespace harrierpass::testbed
