// SPDX-License-Identifier: Apache-2.0
#include "router/hot_keys.hpp"

#include <algorithm>
#include <cmath>

namespace harrierpass {
namespace {

constexpr std::size_t window_size = 64; // requests
constexpr double replicas_per_fair_share =
    2; // the fair share of an endpoint is an equal part of all requests

} // namespace

std::uint32_t hot_keys::record(std::uint64_t key, std::size_t endpoint_count) {
    window_.push_back(key);
    const double count = ++counts_[key];
    if (window_.size() > window_size) {
        const auto oldest = counts_.find(window_.front());
        window_.pop_front();
        if (--oldest->second == 0)
            counts_.erase(oldest);
    }
    const double fair_shares = (count - 1) / window_size * static_cast<double>(endpoint_count);
    return static_cast<std::uint32_t>(std::max(1.0, std::floor(replicas_per_fair_share * fair_shares)));
}

} // namespace harrierpass
