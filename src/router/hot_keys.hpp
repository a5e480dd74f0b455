// SPDX-License-Identifier: Apache-2.0
// Detects keys that draw more requests than one endpoint's fair share, and spreads each of them over several
// replicas, that is positions on the ring. The share is measured in the latest requests of this proxy; each
// proxy uses one of the replicas, by a draw of its own.
#pragma once

#include "router/types.hpp"

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace harrierpass {

/// The window of recent keys, owned by the router of the proxy.
///
/// Invariant: a key's count is the number of times it is in the window; keys with count 0 are not kept.
class hot_keys {
public:
    /// `replica_draw`, in [0, 1), selects this proxy's replica of every hot key.
    explicit hot_keys(double replica_draw) : replica_draw_(replica_draw) {}

    /// Records a request for the key; returns the number of replicas that the key has now, at least 1.
    std::uint32_t record(std::uint64_t key, std::size_t endpoint_count);

    /// The replica that this proxy uses of so many.
    std::uint32_t replica_of(std::uint32_t replicas) const {
        return static_cast<std::uint32_t>(replica_draw_ * replicas);
    }

private:
    double replica_draw_;
    std::deque<std::uint64_t> window_;                        // oldest first
    std::unordered_map<std::uint64_t, std::uint32_t> counts_; // never iterated
};

} // namespace harrierpass
