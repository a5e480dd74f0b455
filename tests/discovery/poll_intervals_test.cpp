// SPDX-License-Identifier: Apache-2.0
// Tests the poll intervals that result from a deployment's settings.
#include "discovery/poll_intervals.hpp"

#include <doctest/doctest.h>

namespace harrierpass::discovery {
namespace {

poll_settings fleet_of(index proxy_count, double max_poll_interval = 10) {
    return {.service = list_service_kind::shared,
            .proxy_count = proxy_count,
            .snapshots_per_second = 20,
            .max_poll_interval = max_poll_interval};
}

} // namespace

TEST_CASE("poll intervals: polls of an agent use the configured timeouts and are not spread") {
    const poll_intervals intervals = compute_poll_intervals({.service = list_service_kind::agent,
                                                             .proxy_count = 300,
                                                             .max_poll_interval = 10,
                                                             .agent_watch_timeout = 3,
                                                             .agent_response_timeout = 0.5});
    CHECK(intervals.watch_timeout == 3);
    CHECK(intervals.response_timeout == 0.5);
    CHECK(intervals.initial_poll_window == 0);
    CHECK(intervals.rejected_poll_window == 0);
    CHECK(intervals.min_backoff == 0);
    CHECK(intervals.max_backoff == 0);
    CHECK(intervals.max_watch_delay == 0);
}

// A service that sends 20 snapshots per second needs 15 s for 300 proxies.
TEST_CASE("poll intervals: windows grow with the proxy count") {
    const poll_intervals intervals = compute_poll_intervals(fleet_of(300));
    CHECK(intervals.initial_poll_window == doctest::Approx(3));
    CHECK(intervals.rejected_poll_window == doctest::Approx(15));
    CHECK(intervals.min_backoff == doctest::Approx(3));
    CHECK(intervals.max_backoff == doctest::Approx(10));
    CHECK(intervals.max_watch_delay == doctest::Approx(0.75));
}

TEST_CASE("poll intervals: bounds hold for the smallest and the largest fleet") {
    const poll_intervals smallest = compute_poll_intervals(fleet_of(1));
    CHECK(smallest.initial_poll_window == doctest::Approx(0.01));
    CHECK(smallest.min_backoff == doctest::Approx(0.5));
    CHECK(smallest.max_watch_delay == doctest::Approx(0.15));
    const poll_intervals largest = compute_poll_intervals(fleet_of(65536));
    CHECK(largest.initial_poll_window == doctest::Approx(5)); // half of the poll interval
    CHECK(largest.min_backoff == doctest::Approx(5));
    CHECK(largest.max_backoff == doctest::Approx(10));
    CHECK(largest.max_watch_delay == doctest::Approx(1));
}

// A drain can go unnoticed for the watch timeout and the response timeout together.
TEST_CASE("poll intervals: a watch and its response end within the poll interval") {
    for (const double interval : {0.5, 1.0, 5.0, 10.0, 30.0, 600.0}) {
        CAPTURE(interval);
        const poll_intervals intervals = compute_poll_intervals(fleet_of(300, interval));
        CHECK(intervals.watch_timeout > 0);
        CHECK(intervals.response_timeout > 0);
        CHECK(intervals.watch_timeout + intervals.response_timeout <= interval + 1e-9);
        CHECK(intervals.watch_timeout <= 20);
        CHECK(intervals.response_timeout <= 5);
    }
}

TEST_CASE("poll intervals: the poll interval is 30 s if the maximum is unknown or longer") {
    for (const double interval : {0.0, 30.0, 600.0}) {
        CAPTURE(interval);
        const poll_intervals intervals = compute_poll_intervals(fleet_of(300, interval));
        CHECK(intervals.watch_timeout == doctest::Approx(20));
        CHECK(intervals.response_timeout == doctest::Approx(5));
        CHECK(intervals.max_backoff == doctest::Approx(30));
    }
}

} // namespace harrierpass::discovery
