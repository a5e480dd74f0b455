// SPDX-License-Identifier: Apache-2.0
// Detects hot keys, which draw more requests than one endpoint's fair share, and spreads each of them over
// several replicas, which are positions on the hash ring. The share is measured over the latest requests of
// this proxy. Each proxy uses one of the replicas, selected by its own random number.
#pragma once

#include "router/types.hpp"

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace harrierpass {

/// A sliding window of the latest keys, owned by one router.
///
/// Invariant: the count of a key is the number of its occurrences in the window; keys with count 0 are
/// erased.
class hot_keys {
public:
    /// `replica_draw`: random number in [0, 1) that selects this proxy's replica of every hot key.
    explicit hot_keys(double replica_draw) : replica_draw_(replica_draw) {}

    /// Records a request for the key; returns the resulting number of replicas of the key, at least 1.
    std::uint32_t record(std::uint64_t key, std::size_t endpoint_count);

    /// The replica, numbered from 0, that this proxy uses of a key with `replica_count` replicas.
    std::uint32_t select_replica(std::uint32_t replica_count) const {
        return static_cast<std::uint32_t>(replica_draw_ * replica_count);
    }

private:
    double replica_draw_;
    std::deque<std::uint64_t> window_;                        // oldest first
    std::unordered_map<std::uint64_t, std::uint32_t> counts_; // by key; never iterated
};

} // namespace harrierpass
