// SPDX-License-Identifier: Apache-2.0
// What is due, in order: the one clock of a world. In virtual time the clock jumps from one due time to the
// next; on sockets a loop moves it along with the machine's. Equal times go in the order in which they were
// asked for, so one seed gives one trace.
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

    double now() const { return now_; } // s
    // A time that has passed keeps its place among the others that have: a late loop catches up in order, and
    // drops nothing.
    void at(double when, std::function<void()> what) { due_.push({when, order_++, std::move(what)}); }
    void after(double wait, std::function<void()> what) { at(now_ + wait, std::move(what)); }

    bool empty() const { return due_.empty(); }
    double next() const { return due_.top().when; }
    // Runs all that is due up to `until` and leaves the clock there. What is late on sockets runs at `until`.
    void advance(double until, bool jumps) {
        while (!due_.empty() && due_.top().when <= until) {
            auto what = std::move(const_cast<event &>(due_.top()).what); // the order does not look at it
            if (jumps && due_.top().when > now_)
                now_ = due_.top().when;
            due_.pop();
            if (!jumps && until > now_)
                now_ = until;
            what();
            ++ran_;
        }
        if (until > now_)
            now_ = until;
    }
    std::uint64_t ran() const { return ran_; }

private:
    struct event {
        double when;
        std::uint64_t order;
        std::function<void()> what;
        bool operator<(const event &that) const {
            return when != that.when ? when > that.when : order > that.order;
        }
    };
    double now_;
    std::uint64_t order_ = 0, ran_ = 0;
    std::priority_queue<event> due_;
};

} // namespace harrierpass::testbed
