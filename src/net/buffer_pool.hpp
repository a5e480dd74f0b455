// SPDX-License-Identifier: Apache-2.0
// Reused buffers of one size. Each holds one message; an idle connection holds none. Thread-safe.
#pragma once

#include <cstddef>
#include <memory>
#include <mutex>
#include <span>
#include <vector>

namespace harrierpass {

inline constexpr std::size_t max_head_size =
    std::size_t{8} * 1024; // bytes; the protocol's heads have a few hundred
inline constexpr std::size_t max_body_size = std::size_t{64} * 1024; // bytes; the protocol's limit
inline constexpr std::size_t buffer_size = max_head_size + max_body_size;

// Must outlive the buffers that it gave out.
class buffer_pool {
public:
    // Returns a buffer to its pool.
    struct buffer_deleter {
        buffer_pool *to;
        // Called by the handle at its end; the pool has to exist still.
        void operator()(char *buffer) const { to->release(buffer); }
    };
    // A buffer in use, of buffer_size bytes.
    using buffer_handle = std::unique_ptr<char[], buffer_deleter>;

    // Takes an idle buffer or a new one. Throws std::bad_alloc.
    buffer_handle acquire();
    // How many buffers are kept for reuse.
    std::size_t idle_count() const;

private:
    // Keeps the buffer for reuse, or frees it where enough are kept.
    void release(char *buffer) noexcept;

    mutable std::mutex lock_;                   // guards idle_
    std::vector<std::unique_ptr<char[]>> idle_; // its capacity is reserved, so that release() cannot fail
};

// All of a buffer's bytes.
inline std::span<char> whole_buffer(const buffer_pool::buffer_handle &buffer) {
    return {buffer.get(), buffer_size};
}

} // namespace harrierpass
