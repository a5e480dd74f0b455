// SPDX-License-Identifier: Apache-2.0
// Endpoints, proxies and settings for the tests of subsets.
#pragma once

#include "subsets/coverage_report.hpp"

#include <random>
#include <string>
#include <vector>

namespace harrierpass::subsets {

// Costs at which subsets reduce the cost for proxies with low traffic.
inline constexpr subset_costs costs{0.08, 0, 3.5};

// Returns the id of the endpoint at a position.
inline std::string endpoint_id(index position) {
    std::string id = "s";
    id += std::to_string(position * 7919);
    return id;
}

// Returns endpoints in two zones, with equal weights or with four different ones.
inline std::vector<coverage_endpoint> make_endpoints(index count, bool uneven = false) {
    std::vector<coverage_endpoint> result;
    for (index i = 0; i < count; ++i)
        result.push_back({endpoint_id(i), uneven ? 0.5 + i % 4 * 0.5 : 1.0, zone_index(i % 3 == 0 ? 0 : 1)});
    return result;
}

// Returns proxies at the best level for their traffic. With `uneven`, a few have several times the mean
// traffic.
inline std::vector<coverage_proxy> make_proxies(index count, index endpoint_count, bool uneven,
                                                double mean_rate = 10) {
    std::minstd_rand random(count + 7);
    std::lognormal_distribution<double> relative_rate(-0.32, uneven ? 0.8 : 0);
    std::vector<coverage_proxy> result;
    for (index proxy_index = 0; proxy_index < count; ++proxy_index) {
        const double rate = mean_rate * relative_rate(random);
        result.push_back(
            {proxy_index, rate, best_level(costs, {rate, rate * 0.2, 0, 0, 0}, endpoint_count, count, 0)});
    }
    return result;
}

// Returns settings of one of 300 proxies, for which subsets reduce the cost.
inline router_settings low_traffic_settings(index proxy_index = 5) {
    router_settings result;
    result.request_classes.push_back({effect_kind::idempotent, deduplication_scope::all, 0, 1, 1, 0});
    result.request_classes.push_back({effect_kind::non_idempotent, deduplication_scope::all, 0, 1, 1, 0});
    result.constraints.max_attempts = 4;
    result.constraints.may_check_health = true;
    result.slow_start = {0.25, 8};
    result.proxy_count = 300;
    result.proxy_index = proxy_index;
    result.handshake_cost = 0.08;
    result.upstream_idle_timeout = 5;
    return result;
}

} // namespace harrierpass::subsets
