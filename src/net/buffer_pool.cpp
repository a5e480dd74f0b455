// SPDX-License-Identifier: Apache-2.0
#include "net/buffer_pool.hpp"

namespace harrierpass {
namespace {

constexpr std::size_t max_idle_buffers = 128; // 9 MiB

} // namespace

buffer_pool::buffer_handle buffer_pool::acquire() {
    {
        const std::lock_guard guard(mutex_);
        if (!idle_.empty()) {
            buffer_handle buffer(idle_.back().release(), buffer_deleter{this});
            idle_.pop_back();
            return buffer;
        }
        idle_.reserve(max_idle_buffers);
    }
    return buffer_handle(new char[buffer_size], buffer_deleter{this});
}

void buffer_pool::release(char *buffer) noexcept {
    std::unique_ptr<char[]> returned(buffer);
    const std::lock_guard guard(mutex_);
    if (idle_.size() < max_idle_buffers)
        idle_.push_back(std::move(returned));
}

std::size_t buffer_pool::idle_count() const {
    const std::lock_guard guard(mutex_);
    return idle_.size();
}

} // namespace harrierpass
