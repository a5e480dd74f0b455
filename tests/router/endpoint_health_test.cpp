// SPDX-License-Identifier: Apache-2.0
#include "router/endpoint_health.hpp"

#include <doctest/doctest.h>
#include <initializer_list>

namespace harrierpass {
namespace {

endpoint_health health_after(endpoint_health state, health_event event) {
    endpoint_record endpoint;
    endpoint.health = state;
    apply_health_event(endpoint, event, 10, 0.1);
    return endpoint.health;
}

} // namespace

TEST_CASE("endpoint health: each event leads to the expected state") {
    using enum endpoint_health;
    for (const auto state : {healthy, warming_up, ejected}) {
        CHECK(health_after(state, health_event::failure_detected) == ejected);
        CHECK(health_after(state, health_event::restarted) == warming_up);
    }
    CHECK(health_after(healthy, health_event::responded) == healthy);
    CHECK(health_after(warming_up, health_event::responded) == warming_up);
    CHECK(health_after(ejected, health_event::responded) == healthy);
    CHECK(health_after(healthy, health_event::warm_up_finished) == healthy);
    CHECK(health_after(warming_up, health_event::warm_up_finished) == healthy);
    CHECK(health_after(ejected, health_event::warm_up_finished) == ejected);
}

TEST_CASE("endpoint health: an ejection schedules a health check, a failed check doubles the backoff") {
    endpoint_record endpoint;
    apply_health_event(endpoint, health_event::failure_detected, 10, 0.1);
    CHECK(!endpoint.outlier.is_health_check_due(10.4));
    CHECK(endpoint.outlier.is_health_check_due(10.5));
    apply_health_event(endpoint, health_event::failure_detected, 11, 0.1);
    CHECK(!endpoint.outlier.is_health_check_due(11.9));
    CHECK(endpoint.outlier.is_health_check_due(12));
}

TEST_CASE("endpoint health: a slow start begins with a limit of one attempt and without failures") {
    endpoint_record endpoint;
    endpoint.limit = adaptive_limit::for_endpoint(1);
    endpoint.silence.advance(3, 9);
    for (int i = 0; i < 5; ++i)
        endpoint.outlier.record_failure(0.5);
    apply_health_event(endpoint, health_event::restarted, 10, 0.1);
    CHECK(endpoint.limit.limit() == 1);
    CHECK(endpoint.warm_up_started_at == 10);
    CHECK(endpoint.silence.attempt_time() == 0);
    CHECK(!endpoint.outlier.exceeds_failure_limit());
}

} // namespace harrierpass
