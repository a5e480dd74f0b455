// SPDX-License-Identifier: Apache-2.0
#include "subsets/endpoint_ranking.hpp"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace harrierpass::subsets {
namespace {

constexpr double min_usable_endpoints = 6; // endpoints; twice the candidates of a request
// Share of the subset. Losing up to 30 %, such as one zone, does not widen it.
constexpr double min_usable_share = 0.7;
// Proxies among which the narrowest level divides the endpoints.
constexpr index round_size = 1U << max_subset_level;

// Position of a proxy on its circle. The highest bits are the proxy's number in the round with reversed bits.
// The bits below are a hash, which separates proxies of the same arc.
std::uint64_t position_of(index proxy_index) {
    std::uint64_t position = XXH64(&proxy_index, sizeof proxy_index, 0) >> max_subset_level;
    for (index bit = 0; bit < max_subset_level; ++bit)
        position |= std::uint64_t{(proxy_index % round_size) >> bit & 1U} << (63 - bit);
    return position;
}

} // namespace

std::uint64_t distance(index proxy_index, std::string_view endpoint_id) {
    const index round_seed = proxy_index / round_size + 1;
    return XXH64(endpoint_id.data(), endpoint_id.size(), round_seed) ^ position_of(proxy_index);
}

subset_reach compute_subset_reach(std::span<const std::uint64_t> distances,
                                  std::span<const double> usable_shares, double mean_share, index level) {
    const double subset_size = static_cast<double>(distances.size()) / std::exp2(static_cast<double>(level));
    // Scaled by the mean share: while most endpoints warm up, additional ones are no better.
    const double needed_capacity =
        std::max(min_usable_endpoints, min_usable_share * subset_size) * mean_share;
    subset_reach reach;
    while (reach.preferred_count < distances.size() && is_preferred(distances[reach.preferred_count], level))
        ++reach.preferred_count;
    double usable_capacity = 0;
    for (; reach.target_count < distances.size(); ++reach.target_count) {
        if (reach.target_count >= reach.preferred_count && usable_capacity >= needed_capacity)
            break;
        usable_capacity += usable_shares[reach.target_count];
    }
    return reach;
}

bool is_preferred(std::uint64_t distance, index level) {
    return level == 0 || distance >> (64 - level) == 0;
}

} // namespace harrierpass::subsets
