// SPDX-License-Identifier: Apache-2.0
// Which servers a proxy prefers, by its own number alone: nobody is asked, nothing is sent.
//
// The servers lie on a circle of 2^64 places, by a hash of their id; each round of 64 proxies has a circle of
// its own (the shuffle by round of Beyer, Jones, Petoff, Murphy, Site Reliability Engineering, O'Reilly 2016,
// chapter 20). Within its round a proxy's place is its number with the bits reversed, the sequence of van der
// Corput (1935), so that the first m proxies of a round lie as evenly as m can, whatever m is. A server's
// distance is the exclusive-or of both places (the metric of Maymounkov and Mazieres, Kademlia, 2002): the
// servers nearer than 2^(64-k) are those of one of 2^k equal arcs, and each arc holds the next narrower one.
//
// So at level k every server is preferred by as many proxies as every other, give or take one; a server more
// or less changes one preference of one proxy in 2^k; a proxy more or less changes nobody else's.
#pragma once

#include "router/types.hpp"

#include <span>
#include <string_view>

namespace harrierpass::subsets {

inline constexpr index max_subset_level = 6; // a round's 64 proxies then share no server at all

// Smaller is preferred. `me`: the proxy's number among its peers, from 0.
std::uint64_t distance(index me, std::string_view id);

// How many of the servers, the nearest first, are in use. A server's part is what can be counted on of it: 0
// where it is suspect, less than 1 while it is cold; `mean_part` that of all servers by the list alone.
struct subset_reach {
    std::size_t preferred = 0; // by the level
    std::size_t wanted = 0;    // more where these are too few for the work
};
subset_reach compute_subset_reach(std::span<const std::uint64_t> distances, std::span<const double> parts,
                                  double mean_part, index level);

// Whether a server at this distance is preferred at this level; at level 0 every one is.
bool is_preferred(std::uint64_t distance, index level);

} // namespace harrierpass::subsets
