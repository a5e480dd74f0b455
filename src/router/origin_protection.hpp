// SPDX-License-Identifier: Apache-2.0
// Protects the origin behind the caches: cache misses of one key are coalesced into one origin fetch, and
// rejections by the origin cause a backoff that doubles with each rejection and halves with each response.
#pragma once

#include "router/types.hpp"

#include <unordered_map>

namespace harrierpass {

/// The origin fetches in progress of one router, which owns the coalescer.
///
/// Invariant: a key has at most one leader, the request that fetches it. The leader ends the fetch when it
/// finishes.
class fetch_coalescer {
public:
    /// A fetch of the key is in progress.
    [[nodiscard]] bool is_in_progress(std::uint64_t key) const { return leaders_.contains(key); }
    /// Begins a fetch of the key with this leader unless one is in progress; returns true if it began.
    bool begin_fetch(std::uint64_t key, request_index leader) { return leaders_.emplace(key, leader).second; }
    /// Ends the fetch of the key.
    void end_fetch(std::uint64_t key) { leaders_.erase(key); }

private:
    std::unordered_map<std::uint64_t, request_index> leaders_; // by key; never iterated
};

/// Backoff after rejections by the origin. Owned by the endpoint record. Times are in seconds.
class origin_backoff {
public:
    /// Halves the backoff after a response of the origin.
    void on_response() { backoff_ /= 2; }

    /// Doubles the backoff after the origin rejected an attempt; returns the time until which the origin gets
    /// no attempts. `jitter` is a random number in [0, 1). Rejections of attempts that started before the
    /// previous rejection do not double the backoff.
    double on_rejection(double attempt_started_at, double now, double min_backoff, double jitter);

private:
    double backoff_ = 0;           // seconds
    double last_rejection_at_ = 0; // seconds
};

} // namespace harrierpass
