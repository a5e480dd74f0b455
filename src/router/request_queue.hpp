// SPDX-License-Identifier: Apache-2.0
// The queue of requests that wait for capacity, ordered by descending priority weight, then by age.
#pragma once

#include "router/types.hpp"

#include <vector>

namespace harrierpass {

/// The request queue of one router, which owns it.
///
/// Invariant: a request is in the queue at most once; priority weights do not increase from front to back.
class request_queue {
public:
    /// Adds the request unless it is already queued; returns true if it was added.
    bool add(request_index request, double priority_weight);
    /// Removes the request if it is queued.
    void remove(request_index request);
    /// The requests to dispatch next; they stay in the queue. The size is bounded because a batch is built
    /// whenever capacity becomes free.
    [[nodiscard]] std::vector<request_index> next_batch() const;

private:
    /// A queued request.
    struct entry {
        request_index request;
        double priority_weight;
    };

    std::vector<entry> entries_;
};

/// Longest queueing time in seconds of a request whose latency objective or client allows `allowed_time`
/// seconds in total.
[[nodiscard]] double max_queue_time(double allowed_time);

} // namespace harrierpass
