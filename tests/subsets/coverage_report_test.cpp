// SPDX-License-Identifier: Apache-2.0
#include "subsets/coverage_report.hpp"
#include "subsets/test_fleet.hpp"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>

namespace harrierpass::subsets {

TEST_CASE("load stays near each server's share, and connections near those of all, at uneven traffic") {
    for (const index count : {24U, 100U, 300U, 520U})
        for (const index number : {3U, 16U, 40U, 100U, 200U, 400U})
            for (const bool uneven : {false, true}) {
                const auto all = make_endpoints(number, uneven);
                const auto now = make_proxies(count, number, true);
                const auto found = compute_coverage(now, all, costs);
                double users = 0, connections = 0;
                for (index i = 0; i < number; ++i) {
                    users += found.proxies_per_endpoint[i];
                    connections += found.idle_connections[i];
                }
                users /= number;
                connections /= number;
                CAPTURE(count);
                CAPTURE(number);
                CAPTURE(users);
                // As far as a sum of so many parts, so uneven, goes astray.
                const double highest = *std::ranges::max_element(found.relative_load);
                CHECK(highest <= 1 + 3.5 / std::sqrt(users));
                double weight = 0;
                for (const auto &each : all)
                    weight += each.weight / number;
                for (index i = 0; i < number; ++i)
                    CHECK(found.idle_connections[i] <=
                          connections * std::max(1.0, all[i].weight / weight) * (1 + 4 / std::sqrt(users)) +
                              1);
            }
}

TEST_CASE("a change moves few preferences, and other proxies' changes none") {
    for (const index count : {24U, 300U, 520U})
        for (const index number : {20U, 100U, 200U, 400U}) {
            const auto now = make_proxies(count, number, true);
            auto all = make_endpoints(number + 1);
            const std::vector<coverage_endpoint> previous(all.begin(), all.end() - 1);
            double mean = 0;
            for (const auto &each : now)
                mean += std::exp2(-static_cast<double>(each.level));
            CAPTURE(count);
            CAPTURE(number);
            CHECK(static_cast<double>(count_new_assignments(now, previous, now, all)) <=
                  mean + 4 * std::sqrt(mean) + 1);
            // One less: only those that are then short of servers take another.
            CHECK(static_cast<double>(count_new_assignments(now, all, now, previous)) <= mean / 2 + 4);
            auto less = now;
            less.pop_back();
            CHECK(count_new_assignments(now, all, less, all) == 0);
        }
}

TEST_CASE("a tenth of the servers at a time: what moves is what came, and little more") {
    const auto all = make_endpoints(220);
    const std::vector<coverage_endpoint> previous(all.begin(), all.begin() + 200),
        after(all.begin() + 20, all.end());
    const auto now = make_proxies(300, 200, true);
    std::size_t had = 0;
    for (const auto &each : now)
        had += selected_endpoints(each, previous).size();
    CHECK(static_cast<double>(count_new_assignments(now, previous, now, after)) <
          0.15 * static_cast<double>(had));
}

} // namespace harrierpass::subsets
