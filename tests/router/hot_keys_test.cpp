// SPDX-License-Identifier: Apache-2.0
#include "router/hot_keys.hpp"

#include <doctest/doctest.h>

namespace harrierpass {

TEST_CASE("hot keys: a key gets two replicas for each fair share of an endpoint") {
    hot_keys keys(0);
    for (int i = 0; i < 16; ++i)
        CHECK(keys.record(1, 4) <= 2);
    CHECK(keys.record(1, 4) == 2); // 16 earlier requests of 64: the fair share of one of four endpoints
    CHECK(keys.record(2, 4) == 1);
}

TEST_CASE("hot keys: a key cools down once it has left the window") {
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

TEST_CASE("hot keys: the draw selects one replica of those there are") {
    CHECK(hot_keys(0).replica_of(5) == 0);
    CHECK(hot_keys(0.5).replica_of(5) == 2);
    CHECK(hot_keys(0.999).replica_of(5) == 4);
    CHECK(hot_keys(0.999).replica_of(1) == 0);
}

} // namespace harrierpass
