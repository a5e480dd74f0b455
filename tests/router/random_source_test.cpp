// SPDX-License-Identifier: Apache-2.0
#include "router/random_source.hpp"

#include <doctest/doctest.h>

namespace harrierpass {

TEST_CASE("random source: draws follow the minimal standard generator") {
    random_source random(7);
    std::minstd_rand engine(7);
    for (int i = 0; i < 1000; ++i) {
        const double draw = random.fraction();
        CHECK(draw == (static_cast<double>(engine()) - 1) / 2147483646.0);
        CHECK(draw >= 0);
        CHECK(draw < 1);
    }
}

TEST_CASE("random source: a key takes two draws, the high bits first") {
    random_source random(9);
    std::minstd_rand engine(9);
    const std::uint64_t high = engine(), low = engine();
    CHECK(random.key() == (high << 31) + low);
    CHECK(random.fraction() == (static_cast<double>(engine()) - 1) / 2147483646.0);
}

} // namespace harrierpass
