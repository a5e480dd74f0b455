// SPDX-License-Identifier: Apache-2.0
#include "subsets/endpoint_ranking.hpp"
#include "subsets/test_fleet.hpp"
#include "support/index_literals.hpp"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>

namespace harrierpass::subsets {

TEST_CASE(
    "endpoint ranking: at each level, the numbers of proxies that prefer an endpoint differ by at most one") {
    for (const index proxy_count : {1U, 2U, 3U, 7U, 24U, 63U, 64U, 65U, 200U, 300U, 520U})
        for (const index endpoint_count : {1U, 3U, 16U, 100U, 200U, 400U})
            for (index level = 0; level <= max_subset_level; ++level)
                for (const auto &endpoint : make_endpoints(endpoint_count)) {
                    index preferring_proxies = 0;
                    for (index proxy_index = 0; proxy_index < proxy_count; ++proxy_index)
                        preferring_proxies += is_preferred(distance(proxy_index, endpoint.id), level);
                    const double mean = proxy_count / std::exp2(level);
                    if (preferring_proxies != std::floor(mean) && preferring_proxies != std::ceil(mean))
                        FAIL(proxy_count << " proxies, " << endpoint_count << " endpoints, level " << level
                                         << ": " << preferring_proxies);
                }
}

TEST_CASE("endpoint ranking: if a zone fails, proxies spread over many additional endpoints") {
    const auto endpoints = make_endpoints(200);
    std::vector<index> additions(200); // by endpoint: proxies that select it additionally
    index total_additions = 0;
    for (index proxy_index = 0; proxy_index < 300; ++proxy_index) {
        std::vector<std::pair<std::uint64_t, index>> nearest;
        for (index i = 0; i < endpoints.size(); ++i)
            nearest.emplace_back(distance(proxy_index, endpoints[i].id), i);
        std::ranges::sort(nearest);
        std::vector<std::uint64_t> distances;
        std::vector<double> usable_shares;
        for (const auto &[endpoint_distance, id] : nearest) {
            distances.push_back(endpoint_distance);
            usable_shares.push_back(endpoints[id].zone == 0_zone ? 0 : 1);
        }
        const auto count_before =
            compute_subset_reach(distances, std::vector<double>(200, 1.0), 1, 4).target_count;
        const auto count_after = compute_subset_reach(distances, usable_shares, 1, 4).target_count;
        CHECK(count_after < 2.5 * static_cast<double>(count_before) + 8);
        for (auto i = count_before; i < count_after; ++i) {
            ++additions[nearest[i].second];
            ++total_additions;
        }
    }
    CHECK(total_additions > 0);
    CHECK(*std::ranges::max_element(additions) <= 12 + 3 * total_additions / 200);
}

} // namespace harrierpass::subsets
