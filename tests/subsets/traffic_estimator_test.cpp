// SPDX-License-Identifier: Apache-2.0
#include "subsets/traffic_estimator.hpp"
#include "support/index_literals.hpp"

#include <doctest/doctest.h>

namespace harrierpass::subsets {
namespace {

// Records a request with a single attempt at endpoint 0.
void run_request(traffic_estimator &traffic, double received_at, double finished_at, bool fetched = false) {
    request_class settings;
    settings.latency_objective = 1;
    traffic.on_request(received_at, 0_request, settings);
    traffic.on_attempt_started(received_at, 0_request, 0_endpoint);
    traffic.on_attempt_finished(finished_at, 0_request, 0_attempt, true, fetched);
    traffic.on_request_released(0_request);
}

} // namespace

TEST_CASE("traffic estimator: steady traffic gives its rate and its mean number of attempts in flight") {
    traffic_estimator traffic;
    for (int i = 0; i < 1000; ++i)
        run_request(traffic, 10 + i * 0.1, 10.05 + i * 0.1);
    const traffic_sample sample = traffic.estimate(110, 2);
    CHECK(sample.attempt_rate == doctest::Approx(10).epsilon(0.05));
    CHECK(sample.in_flight == doctest::Approx(0.5).epsilon(0.05));
    CHECK(sample.observed_level == 2);
    CHECK(traffic.request_count() == 1000);
}

TEST_CASE("traffic estimator: eight requests are enough samples") {
    traffic_estimator traffic;
    for (int i = 0; i < 7; ++i)
        run_request(traffic, i, i + 0.1);
    CHECK_FALSE(traffic.has_enough_samples());
    run_request(traffic, 7, 7.1);
    CHECK(traffic.has_enough_samples());
}

TEST_CASE("traffic estimator: an attempt is in flight until it finishes or its request is released") {
    traffic_estimator traffic;
    traffic.on_request(0, 3_request, {});
    traffic.on_attempt_started(0, 3_request, 5_endpoint);
    traffic.on_attempt_started(0, 3_request, 6_endpoint);
    CHECK(traffic.in_flight(5_endpoint) == 1);
    CHECK(traffic.in_flight(7_endpoint) == 0); // without attempts
    traffic.on_attempt_finished(1, 3_request, 0_attempt, true, false);
    traffic.on_attempt_finished(1, 3_request, 0_attempt, true, false); // reported twice
    traffic.on_attempt_finished(1, 3_request, 2_attempt, true, false); // never started
    CHECK(traffic.in_flight(5_endpoint) == 0);
    CHECK(traffic.in_flight(6_endpoint) == 1);
    traffic.on_request_released(3_request);
    CHECK(traffic.in_flight(6_endpoint) == 0);
}

TEST_CASE(
    "traffic estimator: a change of level resets the share of fetches but not the loss by late fetches") {
    traffic_estimator traffic;
    for (int i = 0; i < 400; ++i)
        run_request(traffic, i * 10, i * 10 + (i % 2 == 0 ? 2 : 0.5), i % 2 == 0);
    const traffic_sample before = traffic.estimate(4000, 0);
    CHECK(before.origin_fetch_share == doctest::Approx(0.5).epsilon(0.05));
    CHECK(before.origin_fetch_loss > 0.7); // every fetched response was late and lost its whole value
    traffic.on_level_changed(4000);
    const traffic_sample after = traffic.estimate(4000, 1);
    CHECK(after.origin_fetch_share == 0);
    CHECK(after.origin_fetch_loss == before.origin_fetch_loss);
}

} // namespace harrierpass::subsets
