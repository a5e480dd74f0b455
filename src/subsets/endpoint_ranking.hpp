// SPDX-License-Identifier: Apache-2.0
// The order in which a proxy prefers endpoints, computed from its own number alone: no coordination, no I/O.
//
// Endpoints lie on a circle of 2^64 positions, by a hash of their id. Each round of 64 proxies has a circle
// of its own (the shuffle by round of Beyer, Jones, Petoff, Murphy, Site Reliability Engineering, O'Reilly
// 2016, chapter 20). Within its round a proxy's position is its number with the bits reversed, the sequence
// of van der Corput (1935), so that the first m proxies of a round are spread as evenly as m can be, for
// every m. The distance of an endpoint is the exclusive-or of both positions (the metric of Maymounkov and
// Mazieres, Kademlia, 2002): the endpoints nearer than 2^(64-k) are those of one of 2^k equal arcs, and each
// arc contains the next narrower one.
//
// Invariants: at level k every endpoint is preferred by as many proxies as every other, plus or minus one; an
// endpoint more or less changes one preference of one proxy in 2^k; a proxy more or less changes no other
// proxy's preferences.
#pragma once

#include "router/types.hpp"

#include <span>
#include <string_view>

namespace harrierpass::subsets {

// The narrowest level: the 64 proxies of a round then share no endpoint at all.
inline constexpr index max_subset_level = 6;

// How far an endpoint is from a proxy; smaller is preferred. `proxy_index` is the proxy's number, from 0.
std::uint64_t distance(index proxy_index, std::string_view endpoint_id);

// How many endpoints, nearest first, a proxy uses.
struct subset_reach {
    std::size_t preferred = 0; // by the level alone
    std::size_t wanted = 0;    // at least `preferred`; more where those have too little capacity
};

// `distances` are in ascending order. `usable_shares` has, for each of them, the share of an endpoint's
// capacity that can be relied on: 0 where it is ejected, less than 1 while it warms up. `mean_share` is the
// mean over all endpoints by the endpoint list alone.
subset_reach compute_subset_reach(std::span<const std::uint64_t> distances,
                                  std::span<const double> usable_shares, double mean_share, index level);

// Whether an endpoint at this distance is preferred at this level; at level 0 every one is.
bool is_preferred(std::uint64_t distance, index level);

} // namespace harrierpass::subsets
