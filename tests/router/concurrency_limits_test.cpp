// SPDX-License-Identifier: Apache-2.0
#include "router/concurrency_limits.hpp"
#include "support/index_literals.hpp"

#include <doctest/doctest.h>

namespace harrierpass {

TEST_CASE("concurrency limits: an endpoint's first limit is the proxy's part, at least one attempt") {
    CHECK(adaptive_limit::for_endpoint(1).limit() == 8);
    CHECK(adaptive_limit::for_endpoint(4).limit() == 2);
    CHECK(adaptive_limit::for_endpoint(100).limit() == 1);
    CHECK(adaptive_limit().limit() == 0);
}

TEST_CASE("concurrency limits: fast responses at the limit raise it by one per limit's worth") {
    auto limit = adaptive_limit::for_endpoint(1);
    limit.record({0, 0.1, true, 8}, 1);
    CHECK(limit.limit() == doctest::Approx(8 + 1.0 / 8));
    const double before = limit.limit();
    limit.record({0, 0.1, false, 3}, 1);
    CHECK(limit.limit() == before);
}

TEST_CASE("concurrency limits: slow responses cut it, from what is in use, down to the minimum") {
    auto limit = adaptive_limit::for_endpoint(1);
    limit.record({10, 0.5, true, 7}, 10);
    CHECK(limit.mean_latency_share() > 0.4);
    CHECK(limit.limit() == doctest::Approx(8 * 0.7));
    auto idle = adaptive_limit::for_endpoint(1);
    idle.record({10, 0.5, true, 3}, 10);
    CHECK(idle.limit() == doctest::Approx(4 * 0.7));
    for (double now = 11; now < 30; ++now)
        limit.record({now, 5, true, 7}, now);
    CHECK(limit.limit() == 2);
    CHECK(limit.is_at_minimum());
}

TEST_CASE("concurrency limits: attempts from before a decrease change nothing") {
    auto limit = adaptive_limit::for_endpoint(1);
    limit.record({10, 2, true, 7}, 10);
    const double limit_after = limit.limit(), share_after = limit.mean_latency_share();
    limit.record({9.9, 5, true, 7}, 11);
    CHECK(limit.limit() == limit_after);
    CHECK(limit.mean_latency_share() == share_after);
    CHECK(limit.last_sample_at() == 10);
}

TEST_CASE("concurrency limits: the more proxies, the lower the minimum") {
    auto limit = adaptive_limit::for_endpoint(1);
    limit.set_proxy_count(10);
    for (double now = 1; now < 40; ++now)
        limit.record({now, 5, true, 0}, now);
    CHECK(limit.limit() == doctest::Approx(0.2));
}

TEST_CASE("concurrency limits: a slow start begins from its own limit") {
    auto limit = adaptive_limit::for_endpoint(1);
    limit.reset(1);
    CHECK(limit.limit() == 1);
    CHECK(limit.mean_latency_share() == 0);
}

TEST_CASE("concurrency limits: an origin that is slow at rest is not cut for that") {
    auto limit = adaptive_limit::for_endpoint(1), other = limit;
    limit.set_origin(true);
    other.set_origin(true);
    for (double now = 1; now < 20; ++now) {
        limit.update_baseline(now > 10);
        limit.record({now, 0.9, true, 1}, now);
        other.record({now, 0.9, true, 1}, now);
    }
    CHECK(limit.limit() > other.limit());
    CHECK(other.is_at_minimum());
    limit.update_baseline(false); // never rises while it is under load
    CHECK(limit.limit() > 2);
}

TEST_CASE("concurrency limits: the origin's decrease is forgotten, less where it reports much load") {
    auto limit = adaptive_limit::for_endpoint(1);
    limit.record({10, 0.1, false, 0}, 10);
    CHECK(recovered_origin_limit(limit, 0, 10) == 0);
    CHECK(recovered_origin_limit(limit, 0, 11) == doctest::Approx(0.632121));
    CHECK(recovered_origin_limit(limit, 64, 11) == doctest::Approx(0.632121 / 2));
    CHECK(origin_reports_overload(32));
    CHECK(!origin_reports_overload(31));
}

TEST_CASE("concurrency limits: the fleet's capacity is per warm endpoint, as of the last count") {
    concurrency_limits limits(4, 0.1);
    CHECK(limits.fleet_capacity() == 0);
    limits.set_warm_endpoints(2.5);
    CHECK(limits.fleet_capacity() == 20);
    limits.record_fleet_sample({1, 0.1, true, 20}, none, false, 1.1);
    CHECK(limits.fleet_capacity() == 20);
    limits.set_warm_endpoints(2.5);
    CHECK(limits.fleet_capacity() > 20);
}

TEST_CASE("concurrency limits: a far zone's network latency is no load") {
    concurrency_limits plain(1, 0.1), zoned(1, 0.1);
    plain.configure(1, none);
    zoned.configure(1, 0_zone);
    for (auto *limits : {&plain, &zoned}) {
        limits->set_warm_endpoints(4);
        for (double now = 1; now < 60; ++now) {
            limits->record_fleet_sample({now - 0.01, 0.01, false, 4}, 0_zone, false, now);
            limits->record_fleet_sample({now - 1, 1, false, 4}, 1_zone, false, now);
            limits->record_fleet_sample({now - 1, 1, false, 4}, 1_zone, false, now);
            limits->record_fleet_sample({now - 1, 1, false, 4}, 1_zone, false, now);
        }
        limits->set_warm_endpoints(4);
    }
    CHECK(plain.fleet_capacity() < 32);
    CHECK(zoned.fleet_capacity() > plain.fleet_capacity());
}

TEST_CASE("concurrency limits: a response time counts a twentieth in the mean") {
    concurrency_limits limits(1, 1);
    limits.record_response_time(3);
    CHECK(limits.mean_response_time() == doctest::Approx(1.1));
}

} // namespace harrierpass
