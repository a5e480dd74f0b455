// SPDX-License-Identifier: Apache-2.0
#include "router/request_table.hpp"

#include <doctest/doctest.h>

namespace harrierpass {

TEST_CASE("request table: a new holder of an index has another generation and no history") {
    request_table table;
    auto &first = table.create(3);
    CHECK(table.size() == 4);
    CHECK(first.is_live);
    CHECK(first.state == request_state::queued);
    const auto generation = first.generation;
    first.attempts.push_back({0, 1});
    first.uses_origin = true;
    table.release(3);
    CHECK(!table[3].is_live);
    const auto &second = table.create(3);
    CHECK(second.generation > generation + 1);
    CHECK(second.attempts.empty());
    CHECK(!second.uses_origin);
    CHECK(!table[0].is_live);
}

TEST_CASE("request table: timers fall due in order of time") {
    request_timers timers;
    CHECK(!timers.take_due(100));
    timers.add(3, 1, 1);
    timers.add(1, 2, 1);
    timers.add(2, 3, 1);
    CHECK(!timers.take_due(0.9));
    CHECK(timers.take_due(2)->request == 2);
    CHECK(timers.take_due(2)->request == 3);
    CHECK(!timers.take_due(2));
    CHECK(timers.take_due(3)->request == 1);
}

TEST_CASE("request table: a timer expires a request of its generation whose deadline has passed") {
    request_table table;
    auto &request = table.create(0);
    request.deadline = 10;
    request.queue_deadline = 5;
    const request_timer timer = {5, 0, request.generation};
    CHECK(!is_expired(timer, request, 4.9));
    CHECK(is_expired(timer, request, 5));
    request.state = request_state::in_progress; // the queue deadline no longer holds
    CHECK(!is_expired(timer, request, 5));
    CHECK(is_expired(timer, request, 10));
    table.release(0);
    CHECK(!is_expired(timer, table[0], 10));
    auto &next = table.create(0);
    CHECK(!is_expired(timer, next, 10));
}

} // namespace harrierpass
