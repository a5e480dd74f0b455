// SPDX-License-Identifier: Apache-2.0
#include "router/request_table.hpp"
#include "support/index_literals.hpp"

#include <doctest/doctest.h>

namespace harrierpass {

TEST_CASE("request table: a reused index has a new generation and an empty record") {
    request_table table;
    auto &first = table.create(3_request);
    CHECK(table.end_index() == 4_request);
    CHECK(first.is_live);
    CHECK(first.state == request_state::queued);
    const auto generation = first.generation;
    first.attempts.push_back({0_endpoint, 1});
    first.uses_origin = true;
    table.release(3_request);
    CHECK(!table[3_request].is_live);
    const auto &second = table.create(3_request);
    CHECK(second.generation > generation + 1);
    CHECK(second.attempts.empty());
    CHECK(!second.uses_origin);
    CHECK(!table[0_request].is_live);
}

TEST_CASE("request table: timers are taken in order of their due time") {
    request_timers timers;
    CHECK(!timers.take_due(100));
    timers.add(3, 1_request, 1);
    timers.add(1, 2_request, 1);
    timers.add(2, 3_request, 1);
    CHECK(!timers.take_due(0.9));
    CHECK(timers.take_due(2)->request == 2_request);
    CHECK(timers.take_due(2)->request == 3_request);
    CHECK(!timers.take_due(2));
    CHECK(timers.take_due(3)->request == 1_request);
}

TEST_CASE("request table: a timer expires only a request of its generation with a passed deadline") {
    request_table table;
    auto &request = table.create(0_request);
    request.deadline = 10;
    request.queue_deadline = 5;
    const request_timer timer = {5, 0_request, request.generation};
    CHECK(!is_expired(timer, request, 4.9));
    CHECK(is_expired(timer, request, 5));
    request.state = request_state::in_progress; // the queue deadline no longer applies
    CHECK(!is_expired(timer, request, 5));
    CHECK(is_expired(timer, request, 10));
    table.release(0_request);
    CHECK(!is_expired(timer, table[0_request], 10));
    auto &reused = table.create(0_request);
    CHECK(!is_expired(timer, reused, 10));
}

} // namespace harrierpass
