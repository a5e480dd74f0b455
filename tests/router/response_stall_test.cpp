// SPDX-License-Identifier: Apache-2.0
#include "router/response_stall.hpp"

#include <doctest/doctest.h>

namespace harrierpass {
namespace {

constexpr double latency_objective = 1; // s

} // namespace

TEST_CASE("response stall: a response has stalled after a quarter of the latency objective") {
    CHECK_FALSE(has_stalled({.silent_for = 0.24}, latency_objective));
    CHECK(has_stalled({.silent_for = 0.25}, latency_objective));
    CHECK(response_stall_limit(2) == 0.5);
}

TEST_CASE("response stall: an attempt is given up once, and only if a retry has the latency objective left") {
    const response_progress stalled = {.silent_for = 0.3, .time_left = 1};
    CHECK(should_retry_stalled(stalled, latency_objective));
    CHECK_FALSE(should_retry_stalled({.silent_for = 0.2, .time_left = 1}, latency_objective));
    CHECK_FALSE(should_retry_stalled({.silent_for = 0.3, .time_left = 0.9}, latency_objective));
    CHECK_FALSE(
        should_retry_stalled({.silent_for = 0.3, .time_left = 1, .retried_stall = true}, latency_objective));
}

// Guards against a sound response being cut off because its body comes long after its head (report 33b532).
TEST_CASE("response stall: an attempt is not given up between the head and the body of its response") {
    CHECK_FALSE(
        should_retry_stalled({.awaits_body = true, .silent_for = 30, .time_left = 30}, latency_objective));
}

} // namespace harrierpass
