// SPDX-License-Identifier: Apache-2.0
// Model of a fixed number of CPU cores with a bounded first-in-first-out queue. Does no I/O.
#pragma once

#include "router/types.hpp"
#include "testbed/model/timeline.hpp"

#include <cstdint>
#include <deque>
#include <functional>

namespace harrierpass::testbed {

// Cores of one server, or workers of one service. Not thread-safe.
class cores {
public:
    cores(timeline &clock, index count, index queue) : clock_(clock), count_(count), max_queue_(queue) {}
    // Returns false if the queue is full. `work` is called when the work starts and returns its duration in
    // seconds; `on_done` is called when it ends.
    bool submit(std::function<double()> work, std::function<void()> on_done);
    void set_frozen(bool frozen); // while frozen, no work starts or ends
    void clear();                 // drops running and queued work
    std::size_t queue_length() const { return queue_.size(); }
    index busy() const { return busy_; }

private:
    struct item {
        std::function<double()> work;
        std::function<void()> on_done;
    };
    void start(item entry);
    void finish(std::uint64_t incarnation, const std::function<void()> &on_done);

    timeline &clock_;
    index count_, busy_ = 0;
    const std::size_t max_queue_;
    std::deque<item> queue_;
    bool frozen_ = false;
    std::uint64_t incarnation_ = 0;
    std::deque<std::function<void()>> finished_while_frozen_;
};

} // namespace harrierpass::testbed
