// SPDX-License-Identifier: Apache-2.0
#include "subsets/subset_size.hpp"

#include "subsets/endpoint_ranking.hpp"

#include <algorithm>
#include <cmath>

namespace harrierpass::subsets {
namespace {

constexpr double min_subset_size = 12; // endpoints; losing half leaves twice a request's candidates
constexpr double min_endpoints_per_in_flight = 4; // so that two attempts rarely meet at one endpoint
constexpr double min_proxies_per_endpoint = 8;    // so that their uneven traffic evens out
constexpr double initial_subset_size = 48;        // endpoints, while the traffic is unknown
constexpr double min_gain = 0.1;                  // of a connection's cost; below it the level is kept

// What remains of `count` at a level.
double share_at(double count, index level) {
    return count / std::exp2(static_cast<double>(level));
}

// Whether, at a level, enough proxies use each endpoint and each proxy enough endpoints. `part` scales the
// bounds.
bool has_enough(const traffic_sample &traffic, index endpoint_count, index proxy_count, index level,
                double part) {
    if (level == 0)
        return true;
    const double min_endpoints = std::max(min_subset_size, min_endpoints_per_in_flight * traffic.in_flight);
    return share_at(proxy_count, level) >= min_proxies_per_endpoint * part &&
           share_at(endpoint_count, level) >= min_endpoints * part;
}

} // namespace

double request_cost(const subset_costs &costs, const traffic_sample &traffic, index endpoint_count,
                    index proxy_count, index level) {
    const double parts = std::exp2(static_cast<double>(level));
    const double new_connections =
        std::exp(-costs.idle_timeout * traffic.attempt_rate * parts / std::max<double>(1, endpoint_count));
    const auto copies = [&](index at) {
        return std::min<double>(std::exp2(static_cast<double>(at)), proxy_count);
    };
    const double scaled = copies(level) / copies(traffic.observed_level) * traffic.origin_fetch_share;
    const double fetches = scaled > 0 ? scaled / (scaled + 1 - traffic.origin_fetch_share) : 0;
    return costs.connection_cost * new_connections +
           (costs.origin_fetch_cost + traffic.origin_fetch_loss) * fetches;
}

index best_level(const subset_costs &costs, const traffic_sample &traffic, index endpoint_count,
                 index proxy_count, index current_level) {
    const auto cost = [&](index level) {
        return request_cost(costs, traffic, endpoint_count, proxy_count, level);
    };
    const auto enough = [&](index level, double part) {
        return has_enough(traffic, endpoint_count, proxy_count, level, part);
    };
    const double worthwhile = min_gain * costs.connection_cost;
    index best = 0;
    // A narrower level has to be worth it over the best so far, as a wide one is the safer choice.
    for (index level = 1; level <= max_subset_level && enough(level, 1); ++level)
        if (cost(best) - cost(level) > worthwhile)
            best = level;
    const double gain = cost(current_level) - cost(best);
    // The current level may stay down to half of the bounds, so that it does not go back and forth.
    const bool may_stay = enough(current_level, 0.5);
    return may_stay && std::abs(gain) < worthwhile ? current_level : best;
}

index initial_level(index endpoint_count, index proxy_count) {
    index level = 0;
    while (level < max_subset_level && share_at(endpoint_count, level + 1) >= initial_subset_size &&
           share_at(proxy_count, level + 1) >= min_proxies_per_endpoint)
        ++level;
    return level;
}

bool subsetting_never_helps(const router_settings &settings) {
    // Where proxies ask the origin themselves, a miss costs a further attempt there, and refusals of the
    // origin show more slowly than they do harm.
    if (settings.origin_kind != none)
        return true;
    return settings.proxy_index == none || settings.handshake_cost <= 0 ||
           settings.upstream_idle_timeout <= 0 || settings.proxy_count < 2 * min_proxies_per_endpoint;
}

} // namespace harrierpass::subsets
