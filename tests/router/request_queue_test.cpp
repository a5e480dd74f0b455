// SPDX-License-Identifier: Apache-2.0
#include "router/request_queue.hpp"

#include <doctest/doctest.h>

namespace harrierpass {

TEST_CASE("request queue: higher weights go first, older requests first among equals") {
    request_queue queue;
    queue.add(1, 1);
    queue.add(2, 5);
    queue.add(3, 1);
    queue.add(4, 5);
    CHECK(queue.next_batch() == std::vector<request_index>{2, 4, 1, 3});
    CHECK(queue.next_batch().size() == 4);
}

TEST_CASE("request queue: a request is queued once and keeps its place") {
    request_queue queue;
    CHECK(queue.add(1, 1));
    CHECK(queue.add(2, 1));
    CHECK(!queue.add(1, 1));
    CHECK(queue.next_batch() == std::vector<request_index>{1, 2});
    queue.remove(1);
    queue.remove(9);
    CHECK(queue.add(1, 1));
    CHECK(queue.next_batch() == std::vector<request_index>{2, 1});
}

TEST_CASE("request queue: a batch is bounded") {
    request_queue queue;
    CHECK(queue.next_batch().empty());
    for (request_index request = 0; request < 40; ++request)
        queue.add(request, 1);
    CHECK(queue.next_batch().size() == 16);
    CHECK(queue.next_batch().back() == 15);
}

TEST_CASE("request queue: a request waits for a quarter of the time allowed") {
    CHECK(max_queue_time(2) == 0.5);
}

} // namespace harrierpass
