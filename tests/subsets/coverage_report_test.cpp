// SPDX-License-Identifier: Apache-2.0
#include "subsets/coverage_report.hpp"
#include "subsets/test_fleet.hpp"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>

namespace harrierpass::subsets {

TEST_CASE("coverage report: loads and idle connections stay near the mean per weight with uneven traffic") {
    for (const index proxy_count : {24U, 100U, 300U, 520U})
        for (const index endpoint_count : {3U, 16U, 40U, 100U, 200U, 400U})
            for (const bool uneven : {false, true}) {
                const auto endpoints = make_endpoints(endpoint_count, uneven);
                const auto proxies = make_proxies(proxy_count, endpoint_count, true);
                const auto report = compute_coverage(proxies, endpoints, costs);
                double mean_proxies = 0, mean_connections = 0;
                for (index i = 0; i < endpoint_count; ++i) {
                    mean_proxies += report.proxies_per_endpoint[i];
                    mean_connections += report.idle_connections[i];
                }
                mean_proxies /= endpoint_count;
                mean_connections /= endpoint_count;
                CAPTURE(proxy_count);
                CAPTURE(endpoint_count);
                CAPTURE(mean_proxies);
                // Bound on the deviation of a sum of the traffic of this many uneven proxies.
                const double highest_load = *std::ranges::max_element(report.relative_load);
                CHECK(highest_load <= 1 + 3.5 / std::sqrt(mean_proxies));
                double mean_weight = 0;
                for (const auto &endpoint : endpoints)
                    mean_weight += endpoint.weight / endpoint_count;
                for (index i = 0; i < endpoint_count; ++i)
                    CHECK(report.idle_connections[i] <=
                          mean_connections * std::max(1.0, endpoints[i].weight / mean_weight) *
                                  (1 + 4 / std::sqrt(mean_proxies)) +
                              1);
            }
}

TEST_CASE("coverage report: adding an endpoint changes few assignments, and removing a proxy changes none") {
    for (const index proxy_count : {24U, 300U, 520U})
        for (const index endpoint_count : {20U, 100U, 200U, 400U}) {
            const auto proxies = make_proxies(proxy_count, endpoint_count, true);
            auto endpoints = make_endpoints(endpoint_count + 1);
            const std::vector<coverage_endpoint> previous(endpoints.begin(), endpoints.end() - 1);
            double expected = 0;
            for (const auto &proxy : proxies)
                expected += std::exp2(-static_cast<double>(proxy.level));
            CAPTURE(proxy_count);
            CAPTURE(endpoint_count);
            CHECK(static_cast<double>(count_new_assignments(proxies, previous, proxies, endpoints)) <=
                  expected + 4 * std::sqrt(expected) + 1);
            // Removing an endpoint: only proxies with too few endpoints left select another.
            CHECK(static_cast<double>(count_new_assignments(proxies, endpoints, proxies, previous)) <=
                  expected / 2 + 4);
            auto fewer_proxies = proxies;
            fewer_proxies.pop_back();
            CHECK(count_new_assignments(proxies, endpoints, fewer_proxies, endpoints) == 0);
        }
}

TEST_CASE("coverage report: replacing a tenth of the endpoints changes little more than a tenth of the "
          "assignments") {
    const auto endpoints = make_endpoints(220);
    const std::vector<coverage_endpoint> previous(endpoints.begin(), endpoints.begin() + 200),
        after(endpoints.begin() + 20, endpoints.end());
    const auto proxies = make_proxies(300, 200, true);
    std::size_t assignments_before = 0;
    for (const auto &proxy : proxies)
        assignments_before += selected_endpoints(proxy, previous).size();
    CHECK(static_cast<double>(count_new_assignments(proxies, previous, proxies, after)) <
          0.15 * static_cast<double>(assignments_before));
}

} // namespace harrierpass::subsets
