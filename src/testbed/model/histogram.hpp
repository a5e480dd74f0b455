// SPDX-License-Identifier: Apache-2.0
// Times in buckets whose width is a sixty-fourth of their value's power of two: a percentile is at most 1.6%
// off. From 1 us to over an hour; what lies outside counts at the end. Two of them add up.
#pragma once

#include <array>
#include <cstdint>

namespace harrierpass::testbed {

// A histogram of durations, in s.
class histogram {
public:
    void add(double seconds);
    void add(const histogram &that);
    std::uint64_t count() const { return count_; }
    double percentile(double percent) const; // s; 0 where nothing was added
    double mean() const { return count_ > 0 ? sum_ / static_cast<double>(count_) : 0; }
    double most() const { return most_; }

private:
    static constexpr int parts = 64;  // buckets for each power of two
    static constexpr int powers = 32; // from 1 us: 2^32 us are 71 minutes
    std::array<std::uint64_t, std::size_t{parts} * powers> buckets_{};
    std::uint64_t count_ = 0;
    double sum_ = 0, most_ = 0;
};

} // namespace harrierpass::testbed
