// SPDX-License-Identifier: Apache-2.0
#include "net/buffers.hpp"

namespace harrierpass {
namespace {

constexpr std::size_t most_at_rest = 128; // buffers; 9 MiB, what a busy proxy uses at a time

} // namespace

buffer_pool::lease buffer_pool::take() {
    {
        const std::lock_guard hold(lock_);
        if (!free_.empty()) {
            lease taken(free_.back().release(), give_back{this});
            free_.pop_back();
            return taken;
        }
        free_.reserve(most_at_rest); // put() must not fail
    }
    return lease(new char[buffer_size], give_back{this});
}

void buffer_pool::put(char *buffer) noexcept {
    std::unique_ptr<char[]> back(buffer);
    const std::lock_guard hold(lock_);
    if (free_.size() < most_at_rest)
        free_.push_back(std::move(back));
}

std::size_t buffer_pool::at_rest() const {
    const std::lock_guard hold(lock_);
    return free_.size();
}

} // namespace harrierpass
