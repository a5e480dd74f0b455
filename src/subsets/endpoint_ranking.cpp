// SPDX-License-Identifier: Apache-2.0
#include "subsets/endpoint_ranking.hpp"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace harrierpass::subsets {
namespace {

constexpr double min_usable_endpoints = 6; // twice the candidates of a request
constexpr double min_usable_share =
    0.7; // of the subset; losing up to the rest, such as a zone, widens nothing
constexpr index round_size = 1U << max_subset_level; // proxies that divide all endpoints among themselves

// The proxy's position on its circle: its number in the round, bits reversed, in the highest bits; a hash
// below them tells apart proxies of the same arc.
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
    // Measured by the mean share: while most of the fleet warms up, further endpoints are no better.
    const double needed = std::max(min_usable_endpoints, min_usable_share * subset_size) * mean_share;
    subset_reach reach;
    while (reach.preferred < distances.size() && is_preferred(distances[reach.preferred], level))
        ++reach.preferred;
    double usable = 0;
    for (; reach.wanted < distances.size(); ++reach.wanted) {
        if (reach.wanted >= reach.preferred && usable >= needed)
            break;
        usable += usable_shares[reach.wanted];
    }
    return reach;
}

bool is_preferred(std::uint64_t distance, index level) {
    return level == 0 || distance >> (64 - level) == 0;
}

} // namespace harrierpass::subsets
