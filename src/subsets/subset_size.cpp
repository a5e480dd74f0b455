// SPDX-License-Identifier: Apache-2.0
#include "subsets/subset_size.hpp"

#include "subsets/endpoint_ranking.hpp"

#include <algorithm>
#include <cmath>

namespace harrierpass::subsets {
namespace {

constexpr double least_width = 12; // servers; four times the candidates, so that losing half leaves enough
constexpr double least_spread = 4; // servers for each execution in flight; what meets at one then is rare
constexpr double least_users = 8;  // proxies at each server; their uneven traffic then still evens out
constexpr double first_width = 48; // servers; four times the least, as nothing is known of what will be sent
constexpr double worth_a_move = 0.1; // of a handshake's price; below it the level is not changed

} // namespace

double request_cost(const subset_costs &given, const traffic_sample &seen, index servers, index peers,
                    index level) {
    const double parts = std::exp2(static_cast<double>(level));
    const double dials =
        std::exp(-given.idle_timeout * seen.attempt_rate * parts / std::max<double>(1, servers));
    const auto places = [&](index at) { return std::min<double>(std::exp2(static_cast<double>(at)), peers); };
    const double more = places(level) / places(seen.observed_level) * seen.origin_fetch_share;
    const double fetches = more > 0 ? more / (more + 1 - seen.origin_fetch_share) : 0;
    return given.connection_cost * dials + (given.origin_fetch_cost + seen.origin_fetch_loss) * fetches;
}

index best_level(const subset_costs &given, const traffic_sample &seen, index servers, index peers,
                 index now) {
    const auto left = [](double all, index level) { return all / std::exp2(static_cast<double>(level)); };
    // Whether enough proxies use each server, and each proxy enough servers; a part of that may do.
    const auto enough = [&](index level, double part) {
        return level == 0 ||
               (left(peers, level) >= least_users * part &&
                left(servers, level) >= std::max(least_width, least_spread * seen.in_flight) * part);
    };
    index best = 0;
    // Each narrower level has to be worth it over the best so far, as a wide one is the safer.
    for (index level = 1; level <= max_subset_level && enough(level, 1); ++level)
        if (request_cost(given, seen, servers, peers, best) -
                request_cost(given, seen, servers, peers, level) >
            worth_a_move * given.connection_cost)
            best = level;
    const bool holds = enough(now, 0.5);
    const double gain =
        request_cost(given, seen, servers, peers, now) - request_cost(given, seen, servers, peers, best);
    return holds && std::abs(gain) < worth_a_move * given.connection_cost ? now : best;
}

index initial_level(index servers, index peers) {
    index level = 0;
    while (level < max_subset_level && servers / std::exp2(level + 1.0) >= first_width &&
           peers / std::exp2(level + 1.0) >= least_users)
        ++level;
    return level;
}

bool subsetting_never_helps(const router_settings &given) {
    // Guards an origin that the proxies ask themselves: a miss costs a further execution there, and what the
    // origin then refuses comes to light more slowly than it does harm.
    if (given.origin_kind != none)
        return true;
    return given.proxy_index == none || given.handshake_cost <= 0 || given.upstream_idle_timeout <= 0 ||
           given.proxy_count < 2 * least_users;
}

} // namespace harrierpass::subsets
