// SPDX-License-Identifier: Apache-2.0
#include "proxy/request/executed_request_ids.hpp"

#include <doctest/doctest.h>
#include <string>

namespace harrierpass::proxy {

TEST_CASE("executed request ids: an id is remembered for the retention time") {
    executed_request_ids ids;
    CHECK_FALSE(ids.contains("a", 10));
    ids.add("a", 10);
    CHECK(ids.contains("a", 10));
    CHECK_FALSE(ids.contains("b", 10));
    ids.add("a", 20); // the id came again, after the end of the first retention it is still remembered
    CHECK(ids.contains("a", 10 + executed_request_ids::retention_time));
    CHECK_FALSE(ids.contains("a", 20 + executed_request_ids::retention_time));
    CHECK(ids.size() == 0);
}

// Clients that leave under ever new ids must not make memory grow.
TEST_CASE("executed request ids: the oldest id gives way when the maximum is reached") {
    executed_request_ids ids;
    for (std::size_t i = 0; i <= executed_request_ids::max_ids; ++i)
        ids.add(std::to_string(i), 10);
    CHECK(ids.size() == executed_request_ids::max_ids);
    CHECK_FALSE(ids.contains("0", 10));
    CHECK(ids.contains("1", 10));
    CHECK(ids.contains(std::to_string(executed_request_ids::max_ids), 10));
}

} // namespace harrierpass::proxy
