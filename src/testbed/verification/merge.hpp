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
// whole or is not there. Each kind uses the fields as observer has them.
struct seen {
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

void play(const seen &event, observer &to);

// Takes down what a process sees, and hands each event on at once.
class writer : public observer {
public:
    // `now`: the machine's time at this very moment. A loop's own, which stands while it works through what
    // has come, would put an answer to another process's message before that message.
    writer(std::function<double()> now, std::function<void(const seen &)> to)
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
    void note(seen what);
    std::function<double()> now_;
    std::function<void(const seen &)> to_;
};

class event_merge {
public:
    // `clock` is the judge's own, and is moved to each event's time.
    event_merge(timeline &clock, observer &judge) : clock_(clock), judge_(judge) {}

    std::size_t add_source();
    void put(std::size_t source, const seen &event); // its time is news of the source, too
    void heard(std::size_t source, double when);     // it has seen nothing else up to then
    void gone(std::size_t source);                   // nothing more comes
    void returns(std::size_t source, double when);   // but does, from then on
    void judge();                                    // all that has its place by now
    std::size_t waiting() const { return events_.size(); }

private:
    timeline &clock_;
    observer &judge_;
    std::vector<double> heard_; // by source
    // By time, then source, then the order in which a source told it: equal times do not hang on the way
    // here.
    std::map<std::tuple<double, std::size_t, std::uint64_t>, seen> events_;
    std::uint64_t order_ = 0;
};

} // namespace harrierpass::testbed
