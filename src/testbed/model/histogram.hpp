// SPDX-License-Identifier: Apache-2.0
// Log-linear histogram of durations: each power of two has 64 buckets, so that a percentile is at most 1.6%
// off. Covers 1 us to over an hour; values outside are counted in the first or last bucket. Histograms can be
// added up.
#pragma once

#include <array>
#include <cstdint>

namespace harrierpass::testbed {

// A histogram of durations in seconds.
class histogram {
public:
    void add(double seconds);
    void add(const histogram &other);
    std::uint64_t count() const { return count_; }
    double percentile(double percent) const; // seconds; 0 for an empty histogram
    double mean() const { return count_ > 0 ? sum_ / static_cast<double>(count_) : 0; }
    double maximum() const { return maximum_; }

private:
    static constexpr int buckets_per_power = 64;
    static constexpr int powers = 32; // from 1 us up; 2^32 us are 71 minutes
    std::array<std::uint64_t, std::size_t{buckets_per_power} * powers> buckets_{};
    std::uint64_t count_ = 0;
    double sum_ = 0, maximum_ = 0;
};

} // namespace harrierpass::testbed
