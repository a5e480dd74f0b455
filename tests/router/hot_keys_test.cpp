// SPDX-License-Identifier: Apache-2.0
#include "router/hot_keys.hpp"

#include <doctest/doctest.h>

namespace harrierpass {

TEST_CASE("hot keys: a key has two replicas for each fair share of requests that it draws") {
    hot_keys keys(0);
    for (int i = 0; i < 16; ++i)
        CHECK(keys.record(1, 4) <= 2);
    CHECK(keys.record(1, 4) == 2); // 16 of 64 requests are the fair share of one of four endpoints
    CHECK(keys.record(2, 4) == 1);
}

TEST_CASE("hot keys: a key has one replica again after it has left the window") {
    hot_keys keys(0);
    for (int i = 0; i < 64; ++i)
        keys.record(1, 10);
    CHECK(keys.record(1, 10) > 10);
    for (std::uint64_t key = 100; key < 164; ++key)
        CHECK(keys.record(key, 10) == 1);
    CHECK(keys.record(1, 10) == 1);
}

TEST_CASE("hot keys: without endpoints every key has one replica") {
    hot_keys keys(0.9);
    for (int i = 0; i < 70; ++i)
        CHECK(keys.record(1, 0) == 1);
}

TEST_CASE("hot keys: the random number selects one of the replicas") {
    CHECK(hot_keys(0).select_replica(5) == 0);
    CHECK(hot_keys(0.5).select_replica(5) == 2);
    CHECK(hot_keys(0.999).select_replica(5) == 4);
    CHECK(hot_keys(0.999).select_replica(1) == 0);
}

} // namespace harrierpass
