// SPDX-License-Identifier: Apache-2.0
#include "router/outlier_detection.hpp"

#include <doctest/doctest.h>

namespace harrierpass {
namespace {

outlier_detection configured() {
    outlier_detection made;
    made.configure(1);
    return made;
}

int failures_until_limit(outcome result) {
    auto detector = configured();
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

TEST_CASE("outlier detection: other outcomes are no failures") {
    for (const auto result : {outcome::completed, outcome::overloaded, outcome::timed_out, outcome::canceled,
                              outcome::discarded_unread, outcome::cache_miss}) {
        auto detector = configured();
        outlier_state endpoint;
        CHECK(!detector.record_attempt(endpoint, result));
        CHECK(failures_until_limit(result) == 100);
    }
}

TEST_CASE("outlier detection: a response lowers the failure rate") {
    auto detector = configured();
    outlier_state endpoint;
    for (int i = 0; i < 3; ++i)
        CHECK(detector.record_attempt(endpoint, outcome::reset));
    CHECK(endpoint.exceeds_failure_limit());
    detector.record_attempt(endpoint, outcome::completed);
    CHECK(!endpoint.exceeds_failure_limit());
}

TEST_CASE("outlier detection: errors that all endpoints have are the requests' own") {
    auto detector = configured();
    outlier_state one, other;
    for (int i = 0; i < 200; ++i) {
        detector.record_attempt(one, i % 2 == 0 ? outcome::error : outcome::completed);
        detector.record_attempt(other, i % 2 == 0 ? outcome::error : outcome::completed);
    }
    CHECK(detector.errors_are_common(one));
    CHECK(!detector.record_attempt(one, outcome::error));
    outlier_state bad;
    for (int i = 0; i < 30; ++i)
        detector.record_attempt(bad, outcome::error);
    for (int i = 0; i < 30; ++i)
        detector.record_attempt(one, outcome::completed);
    CHECK(!detector.errors_are_common(bad));
}

TEST_CASE("outlier detection: silence counts attempts and seconds, and a sign of life ends it") {
    silence_tracker silence(10);
    silence.advance(3, 12);
    CHECK(silence.attempt_time() == 6);
    CHECK(silence.time() == 2);
    silence.advance(0, 20);
    CHECK(silence.attempt_time() == 6);
    CHECK(silence.time() == 2);
    silence.skip(3, 24);
    silence.advance(1, 24);
    CHECK(silence.time() == 3);
    silence.skip(9, 25);
    silence.advance(1, 25);
    CHECK(silence.time() == 3);
    silence.reset();
    CHECK(silence.attempt_time() == 0);
    CHECK(silence.time() == 0);
}

TEST_CASE("outlier detection: an endpoint is silent by both limits") {
    const auto detector = configured();
    silence_tracker silence(0);
    silence.advance(100, 0.19);
    CHECK(!detector.is_silent(silence, 0.1)); // 19 s of attempts, but no 0.2 s
    silence.advance(100, 0.21);
    CHECK(detector.is_silent(silence, 0.1));
    CHECK(!detector.is_silent(silence, 2));
    CHECK(outlier_detection::was_silent(silence, 2));
    CHECK(!outlier_detection::was_silent(silence, 8));
}

TEST_CASE("outlier detection: health checks back off to their bound") {
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

TEST_CASE("outlier detection: an endpoint that is ejected again soon keeps its backoff, unless it broke") {
    outlier_state relapsing, broken;
    for (auto *endpoint : {&relapsing, &broken}) {
        endpoint->eject(false, 100);
        endpoint->back_off_health_check(101);
        endpoint->reinstate();
    }
    relapsing.eject(false, 103);
    CHECK(!relapsing.is_health_check_due(104.9));
    broken.record_connection_failure();
    broken.eject(false, 103);
    CHECK(broken.is_health_check_due(103.5));
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

TEST_CASE("outlier detection: ejection is ignored where more than half are ejected") {
    CHECK(!outlier_detection::is_mass_ejection(0, 0));
    CHECK(!outlier_detection::is_mass_ejection(2, 4));
    CHECK(outlier_detection::is_mass_ejection(3, 4));
}

} // namespace harrierpass
