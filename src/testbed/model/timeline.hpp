// SPDX-License-Identifier: Apache-2.0
// Clock and timer queue of a run. In virtual time the clock jumps from one due time to the next; on sockets
// the event loop advances it with the machine's clock. Timers with equal due times run in the order in which
// they were added, so that one seed gives one trace.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace harrierpass::testbed {

// A clock and a queue of callbacks; not thread-safe.
class timeline {
public:
    explicit timeline(double start = 0) : now_(start) {}

    double now() const { return now_; } // seconds
    // A due time in the past keeps its place in the order: a late event loop catches up in order and drops no
    // timer.
    void at(double when, std::function<void()> callback) { due_.push({when, order_++, std::move(callback)}); }
    void after(double wait, std::function<void()> callback) { at(now_ + wait, std::move(callback)); }

    bool empty() const { return due_.empty(); }
    double next() const { return due_.top().when; }
    // Runs the timers due by `until` and leaves the clock there. If `jumps`, the clock shows each timer's due
    // time while it runs; otherwise (sockets) late timers run at `until`.
    void advance(double until, bool jumps) {
        while (!due_.empty() && due_.top().when <= until) {
            // The order of the queue does not depend on the callback, so that moving it is safe.
            auto callback = std::move(const_cast<event &>(due_.top()).callback);
            if (jumps && due_.top().when > now_)
                now_ = due_.top().when;
            due_.pop();
            if (!jumps && until > now_)
                now_ = until;
            callback();
            ++events_run_;
        }
        if (until > now_)
            now_ = until;
    }
    std::uint64_t events_run() const { return events_run_; }

private:
    struct event {
        double when;
        std::uint64_t order;
        std::function<void()> callback;
        bool operator<(const event &other) const {
            return when != other.when ? when > other.when : order > other.order;
        }
    };
    double now_;
    std::uint64_t order_ = 0, events_run_ = 0;
    std::priority_queue<event> due_;
};

} // namespace harrierpass::testbed
