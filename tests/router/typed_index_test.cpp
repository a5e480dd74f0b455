// SPDX-License-Identifier: Apache-2.0
#include "router/typed_index.hpp"
#include "support/index_literals.hpp"

#include <doctest/doctest.h>
#include <limits>
#include <sstream>
#include <type_traits>
#include <unordered_set>

namespace harrierpass {

TEST_CASE("typed index: no implicit conversion between kinds, or to or from a number") {
    static_assert(!std::is_convertible_v<endpoint_index, request_index>);
    static_assert(!std::is_constructible_v<endpoint_index, request_index>);
    static_assert(!std::is_convertible_v<endpoint_index, index>);
    static_assert(!std::is_convertible_v<index, endpoint_index>);
    static_assert(!std::is_constructible_v<index, endpoint_index>);
    CHECK(endpoint_index(7).value() == 7);
    CHECK(endpoint_index{}.value() == 0);
}

TEST_CASE("typed index: none converts to every kind of index and to an untyped index") {
    const endpoint_index endpoint = none;
    const request_index request = none;
    const index untyped = none;
    CHECK(untyped == std::numeric_limits<index>::max());
    CHECK(endpoint.value() == untyped);
    CHECK(request == none);
    CHECK(0_request != none);
}

TEST_CASE("typed index: order, increment, hash and output are those of the number") {
    CHECK(1_endpoint < 2_endpoint);
    CHECK_FALSE(2_endpoint < 2_endpoint);
    endpoint_index endpoint{4};
    CHECK(++endpoint == 5_endpoint);
    CHECK(std::hash<endpoint_index>{}(5_endpoint) == std::hash<index>{}(5));
    CHECK(std::unordered_set{1_zone, 2_zone, 1_zone}.size() == 2);
    std::ostringstream text;
    text << 12_attempt;
    CHECK(text.str() == "12");
}

} // namespace harrierpass
