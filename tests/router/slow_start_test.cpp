// SPDX-License-Identifier: Apache-2.0
#include "router/slow_start.hpp"

#include <doctest/doctest.h>

namespace harrierpass {
namespace {

slow_start make_slow_start(double initial_share, double warm_up_time) {
    slow_start warm_up;
    warm_up.configure({initial_share, warm_up_time});
    return warm_up;
}

} // namespace

TEST_CASE("slow start: progress rises linearly from the initial share to 1") {
    const auto warm_up = make_slow_start(0.2, 10);
    CHECK(warm_up.progress(100, 100) == doctest::Approx(0.2));
    CHECK(warm_up.progress(100, 105) == doctest::Approx(0.6));
    CHECK(warm_up.progress(100, 110) == 1);
    CHECK(warm_up.progress(100, 500) == 1);
    CHECK(warm_up.progress(100, 90) == doctest::Approx(0.2)); // a start time in the future counts as now
}

TEST_CASE("slow start: without a warm-up time an endpoint is warm immediately") {
    CHECK(make_slow_start(0.2, 0).progress(100, 100) == 1);
    CHECK(!make_slow_start(0.2, 0).is_recent(100, 100));
}

TEST_CASE("slow start: the full limit is reached before the warm-up ends") {
    CHECK(slow_start::limit_share(0.5) == doctest::Approx(0.7));
    CHECK(slow_start::limit_share(0.8) == 1);
    CHECK(slow_start::limit_share(1) == 1);
}

TEST_CASE("slow start: a process is recent within the warm-up time; an unknown start counts as now") {
    const auto warm_up = make_slow_start(0.2, 10);
    CHECK(warm_up.is_recent(95, 100));
    CHECK(!warm_up.is_recent(90, 100));
    CHECK(slow_start::warm_up_start(0, 100) == 100);
    CHECK(slow_start::warm_up_start(95, 100) == 95);
    CHECK(slow_start::warm_up_start(105, 100) == 100);
}

} // namespace harrierpass
