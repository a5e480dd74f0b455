// SPDX-License-Identifier: Apache-2.0
// Buffers of one size, used again. Each holds one message; a connection at rest holds none.
#pragma once

#include <cstddef>
#include <memory>
#include <mutex>
#include <span>
#include <vector>

namespace harrierpass {

inline constexpr std::size_t head_limit = 8 * 1024;  // bytes; the protocol's heads have a few hundred
inline constexpr std::size_t body_limit = 64 * 1024; // bytes; the protocol's
inline constexpr std::size_t buffer_size = head_limit + body_limit;

class buffer_pool {
public:
    struct give_back {
        buffer_pool *to;
        void operator()(char *buffer) const { to->put(buffer); }
    };
    using lease = std::unique_ptr<char[], give_back>;

    lease take();
    std::size_t at_rest() const;

private:
    void put(char *buffer) noexcept;

    mutable std::mutex lock_;
    std::vector<std::unique_ptr<char[]>> free_;
};

inline std::span<char> whole(const buffer_pool::lease &buffer) {
    return {buffer.get(), buffer_size};
}

} // namespace harrierpass
