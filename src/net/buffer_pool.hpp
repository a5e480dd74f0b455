// SPDX-License-Identifier: Apache-2.0
// Buffers of one size, used again. Each holds one message; a connection at rest holds none.
#pragma once

#include <cstddef>
#include <memory>
#include <mutex>
#include <span>
#include <vector>

namespace harrierpass {

inline constexpr std::size_t max_head_size = 8 * 1024;  // bytes; the protocol's heads have a few hundred
inline constexpr std::size_t max_body_size = 64 * 1024; // bytes; the protocol's
inline constexpr std::size_t buffer_size = max_head_size + max_body_size;

class buffer_pool {
public:
    struct buffer_deleter {
        buffer_pool *to;
        void operator()(char *buffer) const { to->release(buffer); }
    };
    using buffer_handle = std::unique_ptr<char[], buffer_deleter>;

    buffer_handle acquire();
    std::size_t idle_count() const;

private:
    void release(char *buffer) noexcept;

    mutable std::mutex lock_;
    std::vector<std::unique_ptr<char[]>> free_;
};

inline std::span<char> whole_buffer(const buffer_pool::buffer_handle &buffer) {
    return {buffer.get(), buffer_size};
}

} // namespace harrierpass
