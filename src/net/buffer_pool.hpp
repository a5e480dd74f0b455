// SPDX-License-Identifier: Apache-2.0
// A pool of message buffers of one size. A buffer holds one message; an idle connection holds no buffer.
// Thread-safe.
#pragma once

#include <cstddef>
#include <memory>
#include <mutex>
#include <span>
#include <vector>

namespace harrierpass {

inline constexpr std::size_t max_head_size = std::size_t{8} * 1024;  // bytes; usual heads have some hundred
inline constexpr std::size_t max_body_size = std::size_t{64} * 1024; // bytes; limit of the protocol
inline constexpr std::size_t buffer_size = max_head_size + max_body_size;

// Must outlive the buffers that acquire() returned.
class buffer_pool {
public:
    // Returns a buffer to its pool.
    struct buffer_deleter {
        buffer_pool *pool;
        // Called by the destructor of a buffer_handle.
        void operator()(char *buffer) const { pool->release(buffer); }
    };
    // Owns a buffer of buffer_size bytes.
    using buffer_handle = std::unique_ptr<char[], buffer_deleter>;

    // Returns an idle buffer, or allocates one. Throws std::bad_alloc.
    buffer_handle acquire();
    // Number of buffers kept for reuse.
    std::size_t idle_count() const;

private:
    // Keeps the buffer for reuse, or frees it if the maximum number is kept already.
    void release(char *buffer) noexcept;

    mutable std::mutex mutex_; // protects idle_
    // Its capacity is reserved, so that release() does not allocate.
    std::vector<std::unique_ptr<char[]>> idle_;
};

inline std::span<char> whole_buffer(const buffer_pool::buffer_handle &buffer) {
    return {buffer.get(), buffer_size};
}

} // namespace harrierpass
