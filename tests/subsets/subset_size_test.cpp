// SPDX-License-Identifier: Apache-2.0
#include "subsets/subset_size.hpp"
#include "subsets/test_fleet.hpp"

#include <doctest/doctest.h>

namespace harrierpass::subsets {

TEST_CASE("the width: narrow where handshakes cost most, none where that cannot gain") {
    const auto level = [](subset_costs at, double rate, index servers, index proxy_count, double fetched = 0,
                          double loss = 0) {
        return best_level(at, {rate, rate * 0.2, fetched, loss, 0}, servers, proxy_count, 0);
    };
    CHECK(level(costs, 10, 200, 300) == 4);
    CHECK(level(costs, 40, 200, 300) < level(costs, 10, 200, 300)); // busier proxies: wider
    CHECK(level(costs, 3000, 200, 300) == 0);                       // so busy that connections never rest
    CHECK(level(costs, 10, 23, 300) == 0);                          // too few servers to leave some out
    CHECK(level(costs, 10, 200, 15) == 0); // too few proxies to even their traffic out
    CHECK(level({0, 0, 3.5}, 10, 200, 300) == 0);
    CHECK(level({0.08, 1, 3.5}, 10, 200, 300, 0.2) == 0);          // an origin that is dear
    CHECK(level(costs, 10, 200, 300, 0.2, 0.5) == 0);              // one that is late
    CHECK(level({0.08, 0.02, 3.5}, 10, 200, 300, 0.9) > 0);        // most is fetched anyway
    CHECK(best_level(costs, {10, 30, 0, 0, 0}, 200, 300, 0) == 0); // as much in flight as half of the servers
    for (const index wrong : {150U, 450U}) // a count of proxies that is wrong by a half
        CHECK(level(costs, 10, 200, wrong, 0.5, 0.01) == level(costs, 10, 200, 300, 0.5, 0.01));
    router_settings alone = low_traffic_settings();
    CHECK_FALSE(subsetting_never_helps(alone));
    alone.proxy_index = none;
    CHECK(subsetting_never_helps(alone));
    alone = low_traffic_settings();
    alone.origin_kind = kind_index(1);
    CHECK(subsetting_never_helps(alone));
    alone = low_traffic_settings();
    alone.proxy_count = 15;
    CHECK(subsetting_never_helps(alone));
}

} // namespace harrierpass::subsets
