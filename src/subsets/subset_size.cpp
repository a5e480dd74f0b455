// SPDX-License-Identifier: Apache-2.0
#include "subsets/subset_size.hpp"

#include "subsets/endpoint_ranking.hpp"

#include <algorithm>
#include <cmath>

namespace harrierpass::subsets {
namespace {

constexpr double min_subset_size = 12; // endpoints; half of them are twice the candidates of a request
constexpr double min_endpoints_per_in_flight = 4; // so that an endpoint rarely has two attempts
constexpr double min_proxies_per_endpoint = 8;    // so that differences in their traffic even out
constexpr double initial_subset_size = 48;        // endpoints; used while the traffic is unknown
constexpr double min_gain = 0.1; // share of connection_cost; a smaller gain does not change the level

// Returns the share of `count` that is left at a level.
double count_at_level(double count, index level) {
    return count / std::exp2(static_cast<double>(level));
}

// Whether, at a level, each endpoint has enough proxies and each proxy has enough endpoints. `bound_factor`
// scales both bounds.
bool has_enough(const traffic_sample &traffic, index endpoint_count, index proxy_count, index level,
                double bound_factor) {
    if (level == 0)
        return true;
    const double min_endpoints = std::max(min_subset_size, min_endpoints_per_in_flight * traffic.in_flight);
    return count_at_level(proxy_count, level) >= min_proxies_per_endpoint * bound_factor &&
           count_at_level(endpoint_count, level) >= min_endpoints * bound_factor;
}

} // namespace

double request_cost(const subset_costs &costs, const traffic_sample &traffic, index endpoint_count,
                    index proxy_count, index level) {
    const double part_count = std::exp2(static_cast<double>(level));
    const double new_connections = std::exp(-costs.idle_timeout * traffic.attempt_rate * part_count /
                                            std::max<double>(1, endpoint_count));
    const auto copies = [&](index copy_level) {
        return std::min<double>(std::exp2(static_cast<double>(copy_level)), proxy_count);
    };
    const double scaled_fetches = copies(level) / copies(traffic.observed_level) * traffic.origin_fetch_share;
    const double fetch_share =
        scaled_fetches > 0 ? scaled_fetches / (scaled_fetches + 1 - traffic.origin_fetch_share) : 0;
    return costs.connection_cost * new_connections +
           (costs.origin_fetch_cost + traffic.origin_fetch_loss) * fetch_share;
}

index best_level(const subset_costs &costs, const traffic_sample &traffic, index endpoint_count,
                 index proxy_count, index current_level) {
    const auto cost = [&](index level) {
        return request_cost(costs, traffic, endpoint_count, proxy_count, level);
    };
    const auto is_sufficient = [&](index level, double bound_factor) {
        return has_enough(traffic, endpoint_count, proxy_count, level, bound_factor);
    };
    const double min_cost_difference = min_gain * costs.connection_cost;
    index best = 0;
    // A narrower level must reduce the cost by the minimum difference, as a wider level is safer.
    for (index level = 1; level <= max_subset_level && is_sufficient(level, 1); ++level)
        if (cost(best) - cost(level) > min_cost_difference)
            best = level;
    const double gain = cost(current_level) - cost(best);
    // The current level is kept down to half of the bounds, so that the level does not oscillate.
    const bool may_keep_level = is_sufficient(current_level, 0.5);
    return may_keep_level && std::abs(gain) < min_cost_difference ? current_level : best;
}

index initial_level(index endpoint_count, index proxy_count) {
    index level = 0;
    while (level < max_subset_level && count_at_level(endpoint_count, level + 1) >= initial_subset_size &&
           count_at_level(proxy_count, level + 1) >= min_proxies_per_endpoint)
        ++level;
    return level;
}

bool subsetting_never_helps(const router_settings &settings) {
    // If proxies fetch from the origin themselves, a cache miss costs an additional attempt, and rejections
    // by the origin do harm before the cost estimate reflects them.
    if (settings.origin_kind != none)
        return true;
    return settings.proxy_index == none || settings.handshake_cost <= 0 ||
           settings.upstream_idle_timeout <= 0 || settings.proxy_count < 2 * min_proxies_per_endpoint;
}

} // namespace harrierpass::subsets
