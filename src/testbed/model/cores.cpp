// SPDX-License-Identifier: Apache-2.0
#include "testbed/model/cores.hpp"

#include <utility>

namespace harrierpass::testbed {

bool cores::submit(std::function<double()> work, std::function<void()> on_done) {
    if (busy_ >= count_ || frozen_) {
        if (queue_.size() >= max_queue_)
            return false;
        queue_.push_back({std::move(work), std::move(on_done)});
        return true;
    }
    start({std::move(work), std::move(on_done)});
    return true;
}

void cores::start(item entry) {
    ++busy_;
    clock_.after(entry.work(), [this, incarnation = incarnation_, on_done = std::move(entry.on_done)] {
        finish(incarnation, on_done);
    });
}

void cores::finish(std::uint64_t incarnation, const std::function<void()> &on_done) {
    if (incarnation != incarnation_)
        return;
    if (frozen_) {
        finished_while_frozen_.push_back(on_done);
        return;
    }
    --busy_;
    on_done();
    while (busy_ < count_ && !queue_.empty() && !frozen_) {
        item next = std::move(queue_.front());
        queue_.pop_front();
        start(std::move(next));
    }
}

void cores::set_frozen(bool frozen) {
    frozen_ = frozen;
    const auto incarnation = incarnation_;
    while (!frozen_ && !finished_while_frozen_.empty() && incarnation == incarnation_) {
        const auto on_done = std::move(finished_while_frozen_.front());
        finished_while_frozen_.pop_front();
        finish(incarnation_, on_done);
    }
    while (!frozen_ && busy_ < count_ && !queue_.empty()) {
        item next = std::move(queue_.front());
        queue_.pop_front();
        start(std::move(next));
    }
}

void cores::clear() {
    ++incarnation_;
    busy_ = 0;
    queue_.clear();
    finished_while_frozen_.clear();
}

} // namespace harrierpass::testbed
