// SPDX-License-Identifier: Apache-2.0
// Protects the origin behind the caches: misses of one key are coalesced into one fetch, and after a refusal
// the origin is left alone for a time that doubles with each refusal and halves with each response.
#pragma once

#include "router/types.hpp"

#include <unordered_map>

namespace harrierpass {

/// The fetches in progress of one router, which owns them.
///
/// Invariant: a key has at most one leader, which ends its fetch when it finishes.
class fetch_coalescer {
public:
    /// The key has a leader.
    [[nodiscard]] bool is_in_progress(std::uint64_t key) const { return leaders_.contains(key); }
    /// Makes the request the leader of the key's fetch, if it has none; true if it was made so.
    bool begin(std::uint64_t key, request_index leader) { return leaders_.emplace(key, leader).second; }
    /// The leader has finished.
    void end(std::uint64_t key) { leaders_.erase(key); }

private:
    std::unordered_map<std::uint64_t, request_index> leaders_; // by key; never iterated
};

/// Backoff after refusals of the origin. Its owner is the endpoint record. Times are seconds.
class origin_backoff {
public:
    /// The origin responded.
    void on_response() { backoff_ /= 2; }

    /// An attempt that started then was refused; returns the time until which the origin gets no attempts.
    /// `jitter` is a draw in [0, 1). Attempts in flight at the time of a refusal count as one refusal.
    double on_refusal(double attempt_started_at, double now, double minimum, double jitter);

private:
    double backoff_ = 0;         // s
    double last_refusal_at_ = 0; // s
};

} // namespace harrierpass
