// SPDX-License-Identifier: Apache-2.0
// The ids of requests that may have been executed and whose clients got no response. If such an id comes
// again, its effect might happen twice. Safe for use by several threads.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string_view>
#include <unordered_set>

namespace harrierpass::proxy {

// Remembers ids for a time, as hashes, so that their length does not matter. Times are Unix times in seconds.
class executed_request_ids {
public:
    static constexpr double retention_time = 60;  // s; no client waits longer for a response
    static constexpr std::size_t max_ids = 16384; // the oldest give way; about 1 MB

    // Remembers an id from `now` on. Throws std::bad_alloc.
    void add(std::string_view id, double now);
    // Returns whether the id is remembered.
    bool contains(std::string_view id, double now);
    // Returns the number of ids remembered.
    std::size_t size();

private:
    struct entry {
        std::uint64_t hash;
        double expires_at;
    };
    // Forgets the oldest id. The caller holds lock_.
    void forget_oldest();
    // Forgets expired ids. The caller holds lock_.
    void forget_expired(double now);

    std::mutex lock_;
    std::deque<entry> entries_;                     // in the order of their expiry
    std::unordered_multiset<std::uint64_t> hashes_; // of the entries
};

} // namespace harrierpass::proxy
