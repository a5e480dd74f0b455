// SPDX-License-Identifier: Apache-2.0
#include "router/endpoint_refresh.hpp"

#include <doctest/doctest.h>
#include <initializer_list>

namespace harrierpass {

TEST_CASE("endpoint refresh: the first poll is due within the initial backoff") {
    CHECK(endpoint_refresh(10, 0).is_due(10));
    CHECK(!endpoint_refresh(10, 0.5).is_due(10.2));
    CHECK(endpoint_refresh(10, 0.5).is_due(10.25));
}

TEST_CASE("endpoint refresh: a poll without a response is repeated within the maximum interval") {
    endpoint_refresh refresh(0, 0);
    refresh.on_poll_sent(0, 3600);
    CHECK(!refresh.is_due(7.9));
    CHECK(refresh.is_due(8));
    refresh.on_poll_sent(8, 2);
    CHECK(!refresh.is_due(9.9));
    CHECK(refresh.is_due(10));
}

TEST_CASE("endpoint refresh: failures double the backoff up to its maximum") {
    endpoint_refresh refresh(0, 0);
    double now = 0;
    for (const double backoff : {0.5, 1.0, 2.0, 4.0, 8.0, 8.0}) {
        refresh.on_poll_failed(now, 0.5, 3600);
        CHECK(!refresh.is_due(now + backoff * 0.99));
        now += backoff;
        CHECK(refresh.is_due(now));
    }
    refresh.on_poll_failed(now, 0.5, 3);
    refresh.on_poll_failed(now, 0.5, 3);
    CHECK(refresh.is_due(now + 3));
}

TEST_CASE("endpoint refresh: after an update no poll is due until a poll fails") {
    endpoint_refresh refresh(0, 0);
    refresh.on_poll_failed(0, 0, 3600);
    refresh.on_update();
    CHECK(!refresh.is_due(1e9));
    refresh.on_poll_failed(100, 0, 3600);
    CHECK(!refresh.is_due(100.2));
    CHECK(refresh.is_due(100.25));
}

} // namespace harrierpass
