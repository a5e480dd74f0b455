// SPDX-License-Identifier: Apache-2.0
// Chance from a given seed. The formulas are written out, as those of the standard library's distributions
// differ between libraries and a trace must not.
#pragma once

#include <cmath>
#include <cstdint>
#include <random>

namespace harrierpass::testbed {

// Draws change the state: their order decides what a run does.
class random_generator {
public:
    explicit random_generator(std::uint32_t seed) : from_(seed == 0 ? 1 : seed) { from_.discard(8); }

    double uniform() { return (static_cast<double>(from_()) - 1) / 2147483646.0; } // in [0, 1)
    std::uint32_t below(std::uint32_t count) {
        const auto got = static_cast<std::uint32_t>(uniform() * count);
        return got < count ? got : count - 1;
    }
    bool happens(double share) { return uniform() < share; }
    double exponential(double mean) { return -mean * std::log(1 - uniform()); }
    // Lognormal by its mean and the deviation of its logarithm; 0: always the mean.
    double lognormal(double mean, double spread) {
        if (spread <= 0)
            return mean;
        const double normal = std::sqrt(-2 * std::log(1 - uniform())) *
                              std::cos(6.283185307179586 * uniform()); // Box and Muller
        return mean * std::exp(spread * normal - spread * spread / 2);
    }
    std::uint32_t seed() { return from_(); }

private:
    std::minstd_rand from_;
};

} // namespace harrierpass::testbed
