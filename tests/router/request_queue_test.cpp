// SPDX-License-Identifier: Apache-2.0
#include "router/request_queue.hpp"
#include "support/index_literals.hpp"

#include <doctest/doctest.h>

namespace harrierpass {

TEST_CASE("request queue: requests are ordered by descending priority weight, then by age") {
    request_queue queue;
    queue.add(1_request, 1);
    queue.add(2_request, 5);
    queue.add(3_request, 1);
    queue.add(4_request, 5);
    CHECK(queue.next_batch() == std::vector{2_request, 4_request, 1_request, 3_request});
    CHECK(queue.next_batch().size() == 4);
}

TEST_CASE("request queue: adding a queued request again keeps its position") {
    request_queue queue;
    CHECK(queue.add(1_request, 1));
    CHECK(queue.add(2_request, 1));
    CHECK(!queue.add(1_request, 1));
    CHECK(queue.next_batch() == std::vector{1_request, 2_request});
    queue.remove(1_request);
    queue.remove(9_request);
    CHECK(queue.add(1_request, 1));
    CHECK(queue.next_batch() == std::vector{2_request, 1_request});
}

TEST_CASE("request queue: a batch has at most 16 requests") {
    request_queue queue;
    CHECK(queue.next_batch().empty());
    for (request_index request{0}; request < 40_request; ++request)
        queue.add(request, 1);
    CHECK(queue.next_batch().size() == 16);
    CHECK(queue.next_batch().back() == 15_request);
}

TEST_CASE("request queue: the longest queueing time is a quarter of the allowed time") {
    CHECK(max_queue_time(2) == 0.5);
}

} // namespace harrierpass
