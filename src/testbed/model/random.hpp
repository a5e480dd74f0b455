// SPDX-License-Identifier: Apache-2.0
// Pseudo-random numbers from a seed. The distributions are implemented here, because those of the standard
// library differ between implementations and a trace must not.
#pragma once

#include <cmath>
#include <cstdint>
#include <random>

namespace harrierpass::testbed {

// Each draw changes the state, so that a run is reproducible only if the order of draws stays the same.
class random_generator {
public:
    explicit random_generator(std::uint32_t seed) : engine_(seed == 0 ? 1 : seed) { engine_.discard(8); }

    double uniform() { return (static_cast<double>(engine_()) - 1) / 2147483646.0; } // in [0, 1)
    std::uint32_t below(std::uint32_t count) {
        const auto value = static_cast<std::uint32_t>(uniform() * count);
        return value < count ? value : count - 1;
    }
    bool happens(double share) { return uniform() < share; }
    double exponential(double mean) { return -mean * std::log(1 - uniform()); }
    // Lognormal, by its mean and the standard deviation of its logarithm; a deviation of 0 gives the mean.
    double lognormal(double mean, double spread) {
        if (spread <= 0)
            return mean;
        const double normal = std::sqrt(-2 * std::log(1 - uniform())) *
                              std::cos(6.283185307179586 * uniform()); // Box-Muller transform
        return mean * std::exp(spread * normal - spread * spread / 2);
    }
    std::uint32_t seed() { return engine_(); }

private:
    std::minstd_rand engine_;
};

} // namespace harrierpass::testbed
