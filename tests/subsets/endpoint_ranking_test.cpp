// SPDX-License-Identifier: Apache-2.0
#include "subsets/endpoint_ranking.hpp"
#include "subsets/test_fleet.hpp"
#include "support/index_literals.hpp"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>

namespace harrierpass::subsets {

TEST_CASE("at one level all servers are preferred by as many proxies, give or take one") {
    for (const index count : {1U, 2U, 3U, 7U, 24U, 63U, 64U, 65U, 200U, 300U, 520U})
        for (const index number : {1U, 3U, 16U, 100U, 200U, 400U})
            for (index level = 0; level <= max_subset_level; ++level)
                for (const auto &each : make_endpoints(number)) {
                    index by = 0;
                    for (index me = 0; me < count; ++me)
                        by += is_preferred(distance(me, each.id), level);
                    const double mean = count / std::exp2(level);
                    if (by != std::floor(mean) && by != std::ceil(mean))
                        FAIL(count << " proxies, " << number << " servers, level " << level << ": " << by);
                }
}

TEST_CASE("a lost zone turns the proxies to many servers, not to the same ones") {
    const auto all = make_endpoints(200);
    std::vector<index> more(200);
    index widened = 0;
    for (index me = 0; me < 300; ++me) {
        std::vector<std::pair<std::uint64_t, index>> nearest;
        for (index i = 0; i < all.size(); ++i)
            nearest.emplace_back(distance(me, all[i].id), i);
        std::ranges::sort(nearest);
        std::vector<std::uint64_t> distances;
        std::vector<double> parts;
        for (const auto &[away, id] : nearest) {
            distances.push_back(away);
            parts.push_back(all[id].zone == 0_zone ? 0 : 1);
        }
        const auto normal = compute_subset_reach(distances, std::vector<double>(200, 1.0), 1, 4).wanted;
        const auto now = compute_subset_reach(distances, parts, 1, 4).wanted;
        CHECK(now < 2.5 * static_cast<double>(normal) + 8);
        for (auto i = normal; i < now; ++i) {
            ++more[nearest[i].second];
            ++widened;
        }
    }
    CHECK(widened > 0);
    CHECK(*std::ranges::max_element(more) <= 12 + 3 * widened / 200);
}

} // namespace harrierpass::subsets
