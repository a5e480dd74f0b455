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

// Guards against a client that never has a final answer because its response never ends (review/10).
TEST_CASE("response stall: a short response that is forwarded has to end soon after the deadline") {
    CHECK(remaining_silence({.received = 200, .waited = 1, .past_deadline = -1}) == doctest::Approx(1.25));
    CHECK(remaining_silence({.received = 200, .waited = 2, .past_deadline = 0.2}) == doctest::Approx(0.05));
    CHECK(remaining_silence({.received = 200, .waited = 2, .past_deadline = 0.25}) <= 0);
}

// Guards against a body over 64 KiB being cut off while its endpoint still writes it (report 33b532).
TEST_CASE("response stall: a long response that has begun is not bound by the deadline") {
    CHECK(remaining_silence({.is_long = true, .received = 1, .silent_for = 14, .past_deadline = 60}) > 1000);
}

TEST_CASE("response stall: the body of a long response has to begin") {
    CHECK(remaining_silence({.is_long = true, .silent_for = 1.5, .past_deadline = 1}) ==
          doctest::Approx(0.5));
    CHECK(remaining_silence({.is_long = true, .silent_for = 2, .past_deadline = 1}) <= 0);
    CHECK(remaining_silence({.is_long = true, .silent_for = 3, .past_deadline = -1}) > 1);
}

TEST_CASE("response stall: a body of unknown length may go on while it comes as fast as long ones do") {
    const std::size_t one_second_in_hand = 16384UL * 3;
    CHECK(remaining_silence({.received = one_second_in_hand, .waited = 2, .past_deadline = 1}) ==
          doctest::Approx(1));
    CHECK(remaining_silence(
              {.received = one_second_in_hand, .waited = 2, .silent_for = 1, .past_deadline = 1}) ==
          doctest::Approx(0.2));
    CHECK(remaining_silence({.received = one_second_in_hand, .waited = 3, .past_deadline = 1}) <= 0);
}

} // namespace harrierpass
