// SPDX-License-Identifier: Apache-2.0
#include "testbed/model/histogram.hpp"

#include <algorithm>
#include <cmath>

namespace harrierpass::testbed {

void histogram::add(double seconds) {
    const double us = std::max(1.0, seconds * 1e6);
    int power = 0;
    const double fraction = std::frexp(us, &power) * 2 - 1; // below 1; us = 2^(power-1) * (1 + fraction)
    const int bucket = (power - 1) * buckets_per_power + static_cast<int>(fraction * buckets_per_power);
    ++buckets_[static_cast<std::size_t>(std::clamp(bucket, 0, buckets_per_power * powers - 1))];
    ++count_;
    sum_ += seconds;
    maximum_ = std::max(maximum_, seconds);
}

void histogram::add(const histogram &other) {
    for (std::size_t i = 0; i < buckets_.size(); ++i)
        buckets_[i] += other.buckets_[i];
    count_ += other.count_;
    sum_ += other.sum_;
    maximum_ = std::max(maximum_, other.maximum_);
}

double histogram::percentile(double percent) const {
    if (count_ == 0)
        return 0;
    const double target_count = std::max(1.0, std::ceil(percent / 100 * static_cast<double>(count_)));
    std::uint64_t cumulative_count = 0;
    for (std::size_t i = 0; i < buckets_.size(); ++i) {
        cumulative_count += buckets_[i];
        if (static_cast<double>(cumulative_count) < target_count)
            continue;
        const auto power = static_cast<int>(i) / buckets_per_power;
        const double middle = 1 + (static_cast<double>(i % buckets_per_power) + 0.5) / buckets_per_power;
        return std::min(maximum_, std::ldexp(middle, power) / 1e6);
    }
    return maximum_;
}

} // namespace harrierpass::testbed
