// SPDX-License-Identifier: Apache-2.0
#include "subsets/endpoint_ranking.hpp"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace harrierpass::subsets {
namespace {

constexpr double least_usable = 6;   // servers; twice the candidates
constexpr double usable_share = 0.7; // of the width; a third of a fleet, a zone, may be lost before more come
constexpr index round_size = 1U << max_subset_level; // proxies that deal all servers out among themselves

// The proxy's place: its number in the round, bits reversed, at the top; below it what tells proxies of one
// arc apart.
std::uint64_t place_of(index me) {
    std::uint64_t place = XXH64(&me, sizeof me, 0) >> max_subset_level;
    for (index bit = 0; bit < max_subset_level; ++bit)
        place |= std::uint64_t{(me % round_size) >> bit & 1U} << (63 - bit);
    return place;
}

} // namespace

std::uint64_t distance(index me, std::string_view id) {
    return XXH64(id.data(), id.size(), me / round_size + 1) ^ place_of(me);
}

subset_reach compute_subset_reach(std::span<const std::uint64_t> distances, std::span<const double> parts,
                                  double mean_part, index level) {
    // Guards against all servers for every proxy where most of the fleet is cold: the others are no warmer.
    const double width = static_cast<double>(distances.size()) / std::exp2(static_cast<double>(level));
    const double need = std::max(least_usable, usable_share * width) * mean_part;
    subset_reach made;
    while (made.preferred < distances.size() && is_preferred(distances[made.preferred], level))
        ++made.preferred;
    for (double have = 0; made.wanted < distances.size(); ++made.wanted) {
        if (made.wanted >= made.preferred && have >= need)
            break;
        have += parts[made.wanted];
    }
    return made;
}

bool is_preferred(std::uint64_t distance, index level) {
    return level == 0 || distance >> (64 - level) == 0;
}

} // namespace harrierpass::subsets
