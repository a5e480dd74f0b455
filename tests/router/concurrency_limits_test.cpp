// SPDX-License-Identifier: Apache-2.0
#include "router/concurrency_limits.hpp"
#include "support/index_literals.hpp"

#include <doctest/doctest.h>

namespace harrierpass {

TEST_CASE("concurrency limits: the proxies share an endpoint's initial limit, at least one attempt each") {
    CHECK(adaptive_limit::for_endpoint(1).limit() == 8);
    CHECK(adaptive_limit::for_endpoint(4).limit() == 2);
    CHECK(adaptive_limit::for_endpoint(100).limit() == 1);
    CHECK(adaptive_limit().limit() == 0);
}

TEST_CASE("concurrency limits: a fast response raises a fully used limit by its reciprocal") {
    auto limit = adaptive_limit::for_endpoint(1);
    limit.record({0, 0.1, true, 8}, 1);
    CHECK(limit.limit() == doctest::Approx(8 + 1.0 / 8));
    const double limit_before = limit.limit();
    limit.record({0, 0.1, false, 3}, 1);
    CHECK(limit.limit() == limit_before);
}

TEST_CASE("concurrency limits: slow responses lower the limit from the attempts in flight, to the minimum") {
    auto limit = adaptive_limit::for_endpoint(1);
    limit.record({10, 0.5, true, 7}, 10);
    CHECK(limit.mean_latency_share() > 0.4);
    CHECK(limit.limit() == doctest::Approx(8 * 0.7));
    auto partly_used = adaptive_limit::for_endpoint(1);
    partly_used.record({10, 0.5, true, 3}, 10);
    CHECK(partly_used.limit() == doctest::Approx(4 * 0.7));
    for (double now = 11; now < 30; ++now)
        limit.record({now, 5, true, 7}, now);
    CHECK(limit.limit() == 2);
    CHECK(limit.is_at_minimum());
}

TEST_CASE("concurrency limits: samples of attempts started before a decrease are ignored") {
    auto limit = adaptive_limit::for_endpoint(1);
    limit.record({10, 2, true, 7}, 10);
    const double limit_after = limit.limit(), share_after = limit.mean_latency_share();
    limit.record({9.9, 5, true, 7}, 11);
    CHECK(limit.limit() == limit_after);
    CHECK(limit.mean_latency_share() == share_after);
    CHECK(limit.last_sample_at() == 10);
}

TEST_CASE("concurrency limits: the minimum is divided among the proxies") {
    auto limit = adaptive_limit::for_endpoint(1);
    limit.set_proxy_count(10);
    for (double now = 1; now < 40; ++now)
        limit.record({now, 5, true, 0}, now);
    CHECK(limit.limit() == doctest::Approx(0.2));
}

TEST_CASE("concurrency limits: a reset overwrites the limit and clears the mean latency") {
    auto limit = adaptive_limit::for_endpoint(1);
    limit.reset(1);
    CHECK(limit.limit() == 1);
    CHECK(limit.mean_latency_share() == 0);
}

TEST_CASE("concurrency limits: the origin's limit is not lowered for latency without load") {
    auto limit = adaptive_limit::for_endpoint(1), without_baseline = limit;
    limit.set_origin(true);
    without_baseline.set_origin(true);
    for (double now = 1; now < 20; ++now) {
        limit.update_baseline(now > 10);
        limit.record({now, 0.9, true, 1}, now);
        without_baseline.record({now, 0.9, true, 1}, now);
    }
    CHECK(limit.limit() > without_baseline.limit());
    CHECK(without_baseline.is_at_minimum());
    limit.update_baseline(false); // the baseline never rises under load
    CHECK(limit.limit() > 2);
}

TEST_CASE("concurrency limits: the origin's limit recovers, less if many requests are reported") {
    auto limit = adaptive_limit::for_endpoint(1);
    limit.record({10, 0.1, false, 0}, 10);
    CHECK(recovered_origin_limit(limit, 0, 10) == 0);
    CHECK(recovered_origin_limit(limit, 0, 11) == doctest::Approx(0.632121));
    CHECK(recovered_origin_limit(limit, 64, 11) == doctest::Approx(0.632121 / 2));
    CHECK(origin_reports_overload(32));
    CHECK(!origin_reports_overload(31));
}

TEST_CASE("concurrency limits: the fleet capacity is per warm endpoint as of the latest count") {
    concurrency_limits limits(4, 0.1);
    CHECK(limits.fleet_capacity() == 0);
    limits.set_warm_endpoints(2.5);
    CHECK(limits.fleet_capacity() == 20);
    limits.record_fleet_sample({1, 0.1, true, 20}, none, false, 1.1);
    CHECK(limits.fleet_capacity() == 20);
    limits.set_warm_endpoints(2.5);
    CHECK(limits.fleet_capacity() > 20);
}

TEST_CASE("concurrency limits: network latency of another zone does not count as load") {
    concurrency_limits without_zones(1, 0.1), with_zones(1, 0.1);
    without_zones.configure(1, none);
    with_zones.configure(1, 0_zone);
    for (auto *limits : {&without_zones, &with_zones}) {
        limits->set_warm_endpoints(4);
        for (double now = 1; now < 60; ++now) {
            limits->record_fleet_sample({now - 0.01, 0.01, false, 4}, 0_zone, false, now);
            limits->record_fleet_sample({now - 1, 1, false, 4}, 1_zone, false, now);
            limits->record_fleet_sample({now - 1, 1, false, 4}, 1_zone, false, now);
            limits->record_fleet_sample({now - 1, 1, false, 4}, 1_zone, false, now);
        }
        limits->set_warm_endpoints(4);
    }
    CHECK(without_zones.fleet_capacity() < 32);
    CHECK(with_zones.fleet_capacity() > without_zones.fleet_capacity());
}

TEST_CASE("concurrency limits: a response time has a weight of 0.05 in the mean") {
    concurrency_limits limits(1, 1);
    limits.record_response_time(3);
    CHECK(limits.mean_response_time() == doctest::Approx(1.1));
}

} // namespace harrierpass
