// SPDX-License-Identifier: Apache-2.0
#include "net/buffer_pool.hpp"

namespace harrierpass {
namespace {

constexpr std::size_t most_at_rest = 128; // buffers; 9 MiB, what a busy proxy uses at a time

} // namespace

buffer_pool::buffer_handle buffer_pool::acquire() {
    {
        const std::lock_guard hold(lock_);
        if (!free_.empty()) {
            buffer_handle taken(free_.back().release(), buffer_deleter{this});
            free_.pop_back();
            return taken;
        }
        free_.reserve(most_at_rest); // put() must not fail
    }
    return buffer_handle(new char[buffer_size], buffer_deleter{this});
}

void buffer_pool::release(char *buffer) noexcept {
    std::unique_ptr<char[]> back(buffer);
    const std::lock_guard hold(lock_);
    if (free_.size() < most_at_rest)
        free_.push_back(std::move(back));
}

std::size_t buffer_pool::idle_count() const {
    const std::lock_guard hold(lock_);
    return free_.size();
}

} // namespace harrierpass
