// SPDX-License-Identifier: Apache-2.0
// Work on a number of cores, in the order in which it comes, as a model without I/O.
#pragma once

#include "router/types.hpp"
#include "testbed/model/timeline.hpp"

#include <cstdint>
#include <deque>
#include <functional>

namespace harrierpass::testbed {

class cores {
public:
    cores(timeline &clock, index count, index queue) : clock_(clock), free_(count), max_queue_(queue) {}
    // False: the queue is full. `work` returns the s that it takes, and is called when it begins; `then`
    // follows its end.
    bool take(std::function<double()> work, std::function<void()> then);
    void stand(bool still); // while frozen nothing begins or ends
    void clear();           // drops what runs or waits
    std::size_t waiting() const { return queue_.size(); }
    index busy() const { return busy_; }

private:
    struct item {
        std::function<double()> work;
        std::function<void()> then;
    };
    void start(item one);
    void finish(std::uint64_t incarnation, const std::function<void()> &then);

    timeline &clock_;
    index free_, busy_ = 0;
    const std::size_t max_queue_;
    std::deque<item> queue_;
    bool still_ = false;
    std::uint64_t incarnation_ = 0;
    std::deque<std::function<void()>> finished_while_frozen_; // ended while frozen
};

} // namespace harrierpass::testbed
