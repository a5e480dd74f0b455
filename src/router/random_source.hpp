// SPDX-License-Identifier: Apache-2.0
// Random number generator of one router. The router's decisions depend on the number and the order of the
// draws: equal seeds and events give equal actions.
#pragma once

#include <cstdint>
#include <random>

namespace harrierpass {

/// Seeded generator (Park and Miller's minimal standard), owned by the router.
class random_source {
public:
    /// Creates a generator; equal seeds give equal draws.
    explicit random_source(std::uint32_t seed) : engine_(seed) {}

    /// Draws a number uniformly from [0, 1).
    double fraction() {
        constexpr auto values = static_cast<double>(std::minstd_rand::max());
        return (static_cast<double>(engine_()) - 1) / values;
    }

    /// Draws a key for a request without one.
    std::uint64_t key() {
        constexpr int low_bits = 31;
        const std::uint64_t high = engine_();
        const std::uint64_t low = engine_();
        return (high << low_bits) + low;
    }

private:
    std::minstd_rand engine_;
};

} // namespace harrierpass
