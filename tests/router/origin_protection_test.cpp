// SPDX-License-Identifier: Apache-2.0
#include "router/origin_protection.hpp"
#include "support/index_literals.hpp"

#include <doctest/doctest.h>

namespace harrierpass {

TEST_CASE("origin protection: a key has one leader until its fetch ends") {
    fetch_coalescer fetches;
    CHECK(!fetches.is_in_progress(7));
    CHECK(fetches.begin_fetch(7, 1_request));
    CHECK(fetches.is_in_progress(7));
    CHECK(!fetches.begin_fetch(7, 2_request));
    CHECK(fetches.begin_fetch(8, 2_request));
    fetches.end_fetch(7);
    CHECK(!fetches.is_in_progress(7));
    CHECK(fetches.is_in_progress(8));
    CHECK(fetches.begin_fetch(7, 2_request));
}

TEST_CASE("origin protection: the backoff doubles with each rejection up to one second") {
    origin_backoff backoff;
    CHECK(backoff.on_rejection(10, 10, 0.1, 0.5) == doctest::Approx(10.1));
    CHECK(backoff.on_rejection(11, 11, 0.1, 0.5) == doctest::Approx(11.2));
    for (double now = 12; now < 20; ++now)
        backoff.on_rejection(now, now, 0.1, 0.5);
    CHECK(backoff.on_rejection(20, 20, 0.1, 0.5) == 21);
    CHECK(backoff.on_rejection(21, 21, 0.1, 0) == 21.5);
}

TEST_CASE("origin protection: rejections of concurrent attempts double the backoff once") {
    origin_backoff backoff;
    backoff.on_rejection(10, 10.1, 0.1, 0.5);
    CHECK(backoff.on_rejection(10, 10.1, 0.1, 0.5) == doctest::Approx(10.2));
}

TEST_CASE("origin protection: a response halves the backoff") {
    origin_backoff backoff;
    for (double now = 1; now < 20; ++now)
        backoff.on_rejection(now, now, 0.1, 0.5);
    backoff.on_response();
    backoff.on_response();
    CHECK(backoff.on_rejection(20, 20, 0.1, 0.5) == 20.5);
}

} // namespace harrierpass
