// SPDX-License-Identifier: Apache-2.0
#include "router/state_table.hpp"

#include <array>
#include <doctest/doctest.h>

namespace harrierpass {

TEST_CASE("state table: a row is found by state and event; without a row the result is null") {
    const std::array<transition<int, char, double>, 3> table = {{
        {1, 'a', 2, 0.5},
        {1, 'b', 1, 1.5},
        {2, 'a', 1, 2.5},
    }};
    CHECK(find_transition(table, 1, 'b')->handler == 1.5);
    CHECK(find_transition(table, 2, 'a')->next == 1);
    CHECK(find_transition(table, 2, 'b') == nullptr);
}

} // namespace harrierpass
