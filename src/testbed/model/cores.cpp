// SPDX-License-Identifier: Apache-2.0
#include "testbed/model/cores.hpp"

#include <utility>

namespace harrierpass::testbed {

bool cores::take(std::function<double()> work, std::function<void()> then) {
    if (busy_ >= free_ || still_) {
        if (queue_.size() >= max_queue_)
            return false;
        queue_.push_back({std::move(work), std::move(then)});
        return true;
    }
    start({std::move(work), std::move(then)});
    return true;
}

void cores::start(item one) {
    ++busy_;
    clock_.after(one.work(), [this, incarnation = incarnation_, then = std::move(one.then)] {
        finish(incarnation, then);
    });
}

void cores::finish(std::uint64_t incarnation, const std::function<void()> &then) {
    if (incarnation != incarnation_)
        return;
    if (still_) {
        finished_while_frozen_.push_back(then);
        return;
    }
    --busy_;
    then();
    while (busy_ < free_ && !queue_.empty() && !still_) {
        item next = std::move(queue_.front());
        queue_.pop_front();
        start(std::move(next));
    }
}

void cores::stand(bool still) {
    still_ = still;
    const auto incarnation = incarnation_;
    while (!still_ && !finished_while_frozen_.empty() && incarnation == incarnation_) {
        const auto then = std::move(finished_while_frozen_.front());
        finished_while_frozen_.pop_front();
        finish(incarnation_, then);
    }
    while (!still_ && busy_ < free_ && !queue_.empty()) {
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
