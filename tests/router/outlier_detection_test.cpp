// SPDX-License-Identifier: Apache-2.0
#include "router/outlier_detection.hpp"

#include <doctest/doctest.h>

namespace harrierpass {
namespace {

outlier_detection make_detector() {
    outlier_detection detector;
    detector.configure(1);
    return detector;
}

int failures_until_limit(outcome result) {
    auto detector = make_detector();
    outlier_state endpoint;
    int count = 0;
    for (; !endpoint.exceeds_failure_limit() && count < 100; ++count)
        detector.record_attempt(endpoint, result);
    return count;
}

} // namespace

TEST_CASE("outlier detection: three connection failures or four errors in a row exceed the limit") {
    CHECK(failures_until_limit(outcome::reset) == 3);
    CHECK(failures_until_limit(outcome::connect_error) == 3);
    CHECK(failures_until_limit(outcome::error) == 4);
}

TEST_CASE("outlier detection: other outcomes are not failures") {
    for (const auto result : {outcome::completed, outcome::overloaded, outcome::timed_out, outcome::canceled,
                              outcome::discarded_unread, outcome::cache_miss}) {
        auto detector = make_detector();
        outlier_state endpoint;
        CHECK(!detector.record_attempt(endpoint, result));
        CHECK(failures_until_limit(result) == 100);
    }
}

TEST_CASE("outlier detection: a response lowers the failure rate") {
    auto detector = make_detector();
    outlier_state endpoint;
    for (int i = 0; i < 3; ++i)
        CHECK(detector.record_attempt(endpoint, outcome::reset));
    CHECK(endpoint.exceeds_failure_limit());
    detector.record_attempt(endpoint, outcome::completed);
    CHECK(!endpoint.exceeds_failure_limit());
}

TEST_CASE("outlier detection: errors that all endpoints return are not failures of an endpoint") {
    auto detector = make_detector();
    outlier_state first, second;
    for (int i = 0; i < 200; ++i) {
        detector.record_attempt(first, i % 2 == 0 ? outcome::error : outcome::completed);
        detector.record_attempt(second, i % 2 == 0 ? outcome::error : outcome::completed);
    }
    CHECK(detector.errors_are_common(first));
    CHECK(!detector.record_attempt(first, outcome::error));
    outlier_state outlier;
    for (int i = 0; i < 30; ++i)
        detector.record_attempt(outlier, outcome::error);
    for (int i = 0; i < 30; ++i)
        detector.record_attempt(first, outcome::completed);
    CHECK(!detector.errors_are_common(outlier));
}

TEST_CASE("outlier detection: silence is summed over attempts and in seconds, and a reset clears it") {
    silence_tracker silence(10);
    silence.advance(3, 12);
    CHECK(silence.attempt_time() == 6);
    CHECK(silence.duration() == 2);
    silence.advance(0, 20);
    CHECK(silence.attempt_time() == 6);
    CHECK(silence.duration() == 2);
    silence.skip_pause(3, 24);
    silence.advance(1, 24);
    CHECK(silence.duration() == 3);
    silence.skip_pause(9, 25);
    silence.advance(1, 25);
    CHECK(silence.duration() == 3);
    silence.reset();
    CHECK(silence.attempt_time() == 0);
    CHECK(silence.duration() == 0);
}

TEST_CASE("outlier detection: an endpoint is silent only beyond both limits") {
    const auto detector = make_detector();
    silence_tracker silence(0);
    silence.advance(100, 0.19);
    CHECK(!detector.is_silent(silence, 0.1)); // 19 s summed over the attempts, but less than 0.2 s
    silence.advance(100, 0.21);
    CHECK(detector.is_silent(silence, 0.1));
    CHECK(!detector.is_silent(silence, 2));
    CHECK(outlier_detection::should_cancel_attempts(silence, 2));
    CHECK(!outlier_detection::should_cancel_attempts(silence, 8));
}

TEST_CASE("outlier detection: the health check backoff doubles up to its maximum") {
    outlier_state endpoint;
    endpoint.eject(true, 100);
    CHECK(endpoint.ejected_at() == 100);
    double now = 100;
    for (const double backoff : {0.5, 1.0, 2.0, 4.0, 4.0}) {
        CHECK(!endpoint.is_health_check_due(now + backoff * 0.99));
        now += backoff;
        CHECK(endpoint.is_health_check_due(now));
        endpoint.back_off_health_check(now);
    }
}

TEST_CASE("outlier detection: an ejection soon after another keeps the backoff unless a connection failed") {
    outlier_state ejected_twice, disconnected;
    for (auto *endpoint : {&ejected_twice, &disconnected}) {
        endpoint->eject(false, 100);
        endpoint->back_off_health_check(101);
        endpoint->reinstate();
    }
    ejected_twice.eject(false, 103);
    CHECK(!ejected_twice.is_health_check_due(104.9));
    disconnected.record_connection_failure();
    disconnected.eject(false, 103);
    CHECK(disconnected.is_health_check_due(103.5));
}

TEST_CASE("outlier detection: a restart is expected after a failed health check") {
    outlier_state endpoint;
    endpoint.record_connection_failure();
    endpoint.eject(false, 100);
    CHECK(!endpoint.has_failed_health_check());
    endpoint.back_off_health_check(101);
    CHECK(endpoint.has_failed_health_check());
    endpoint.reinstate();
    CHECK(!endpoint.has_failed_health_check());
    endpoint.expect_restart();
    CHECK(endpoint.has_failed_health_check());
}

TEST_CASE("outlier detection: ejection is ignored if more than half of the endpoints are ejected") {
    CHECK(!outlier_detection::is_mass_ejection(0, 0));
    CHECK(!outlier_detection::is_mass_ejection(2, 4));
    CHECK(outlier_detection::is_mass_ejection(3, 4));
}

} // namespace harrierpass
