// SPDX-License-Identifier: Apache-2.0
// Ranks endpoints by the preference of a proxy. The ranking depends only on the proxy index, so that proxies
// need no coordination. No I/O.
//
// Endpoints have positions on a circle of 2^64 positions, by a hash of their id. Each round of 64 proxies has
// its own circle (the shuffle by round of Beyer, Jones, Petoff, Murphy, Site Reliability Engineering,
// O'Reilly 2016, chapter 20). Within its round a proxy's position is its number with the bits reversed, the
// sequence of van der Corput (1935), so that the first m proxies of a round are spread as evenly as m can be,
// for every m. The distance of an endpoint is the exclusive-or of both positions (the metric of Maymounkov
// and Mazieres, Kademlia, 2002): the endpoints nearer than 2^(64-k) are those of one of 2^k equal arcs, and
// each arc contains the next narrower one.
//
// Invariants: at level k, the numbers of proxies that prefer two endpoints differ by at most one. Adding or
// removing an endpoint changes one preference of one proxy in 2^k. Adding or removing a proxy does not change
// the preferences of other proxies.
#pragma once

#include "router/types.hpp"

#include <span>
#include <string_view>

namespace harrierpass::subsets {

// The narrowest level, at which the 64 proxies of a round share no endpoint.
inline constexpr index max_subset_level = 6;

// Distance of an endpoint from a proxy; the nearest endpoints are preferred. `proxy_index` starts at 0.
std::uint64_t distance(index proxy_index, std::string_view endpoint_id);

// Number of nearest endpoints that a proxy uses.
struct subset_reach {
    std::size_t preferred_count = 0; // by the level alone
    std::size_t target_count = 0;    // at least `preferred_count`; more if those have too little capacity
};

// Computes how many of the nearest endpoints a proxy uses. `distances` are in ascending order.
// `usable_shares` has the usable share of the capacity of each endpoint: 0 while it is ejected, less than 1
// while it is warming up. `mean_share` is the mean over all endpoints, by the endpoint list alone.
subset_reach compute_subset_reach(std::span<const std::uint64_t> distances,
                                  std::span<const double> usable_shares, double mean_share, index level);

// Whether an endpoint at this distance is preferred at this level. At level 0, every endpoint is preferred.
bool is_preferred(std::uint64_t distance, index level);

} // namespace harrierpass::subsets
