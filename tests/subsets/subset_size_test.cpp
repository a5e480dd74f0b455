// SPDX-License-Identifier: Apache-2.0
#include "subsets/subset_size.hpp"
#include "subsets/test_fleet.hpp"

#include <doctest/doctest.h>

namespace harrierpass::subsets {

TEST_CASE(
    "subset size: the level is narrow if handshakes cost most, and 0 if subsets do not reduce the cost") {
    const auto level = [](subset_costs level_costs, double rate, index endpoint_count, index proxy_count,
                          double fetch_share = 0, double fetch_loss = 0) {
        return best_level(level_costs, {rate, rate * 0.2, fetch_share, fetch_loss, 0}, endpoint_count,
                          proxy_count, 0);
    };
    CHECK(level(costs, 10, 200, 300) == 4);
    CHECK(level(costs, 40, 200, 300) < level(costs, 10, 200, 300)); // higher rate: wider
    CHECK(level(costs, 3000, 200, 300) == 0);                       // connections are never idle for long
    CHECK(level(costs, 10, 23, 300) == 0);                          // too few endpoints for a subset
    CHECK(level(costs, 10, 200, 15) == 0); // too few proxies to even out their traffic
    CHECK(level({0, 0, 3.5}, 10, 200, 300) == 0);
    CHECK(level({0.08, 1, 3.5}, 10, 200, 300, 0.2) == 0);   // high cost of origin fetches
    CHECK(level(costs, 10, 200, 300, 0.2, 0.5) == 0);       // high loss by late fetches
    CHECK(level({0.08, 0.02, 3.5}, 10, 200, 300, 0.9) > 0); // most responses are fetched at any level
    // 30 attempts in flight require more endpoints than a narrower level has.
    CHECK(best_level(costs, {10, 30, 0, 0, 0}, 200, 300, 0) == 0);
    for (const index wrong_count : {150U, 450U}) // a proxy count with an error of one half
        CHECK(level(costs, 10, 200, wrong_count, 0.5, 0.01) == level(costs, 10, 200, 300, 0.5, 0.01));
    router_settings settings = low_traffic_settings();
    CHECK_FALSE(subsetting_never_helps(settings));
    settings.proxy_index = none;
    CHECK(subsetting_never_helps(settings));
    settings = low_traffic_settings();
    settings.origin_kind = kind_index(1);
    CHECK(subsetting_never_helps(settings));
    settings = low_traffic_settings();
    settings.proxy_count = 15;
    CHECK(subsetting_never_helps(settings));
}

} // namespace harrierpass::subsets
