// SPDX-License-Identifier: Apache-2.0
#include "testbed/model/histogram.hpp"

#include <algorithm>
#include <cmath>

namespace harrierpass::testbed {

void histogram::add(double seconds) {
    const double us = std::max(1.0, seconds * 1e6);
    int power = 0;
    const double part = std::frexp(us, &power) * 2 - 1; // of 1; us = 2^(power-1) * (1 + part)
    const int at = (power - 1) * parts + static_cast<int>(part * parts);
    ++buckets_[static_cast<std::size_t>(std::clamp(at, 0, parts * powers - 1))];
    ++count_;
    sum_ += seconds;
    most_ = std::max(most_, seconds);
}

void histogram::add(const histogram &that) {
    for (std::size_t i = 0; i < buckets_.size(); ++i)
        buckets_[i] += that.buckets_[i];
    count_ += that.count_;
    sum_ += that.sum_;
    most_ = std::max(most_, that.most_);
}

double histogram::percentile(double percent) const {
    if (count_ == 0)
        return 0;
    const double wanted = std::max(1.0, std::ceil(percent / 100 * static_cast<double>(count_)));
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < buckets_.size(); ++i) {
        seen += buckets_[i];
        if (static_cast<double>(seen) < wanted)
            continue;
        const auto power = static_cast<int>(i) / parts;
        const double middle = 1 + (static_cast<double>(i % parts) + 0.5) / parts;
        return std::min(most_, std::ldexp(middle, power) / 1e6);
    }
    return most_;
}

} // namespace harrierpass::testbed
