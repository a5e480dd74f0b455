// SPDX-License-Identifier: Apache-2.0
// Requests that wait for capacity, highest priority weight first and oldest first among equals.
#pragma once

#include "router/types.hpp"

#include <vector>

namespace harrierpass {

/// The queue of one router, which owns it.
///
/// Invariant: a request is in the queue at most once; weights do not rise from front to back.
class request_queue {
public:
    /// Adds the request if it is not queued already; true if it was added.
    bool add(request_index request, double priority_weight);
    /// Removes the request, if it is queued.
    void remove(request_index request);
    /// The requests to dispatch next; they stay in the queue. Bounded, as it is made for every slot that
    /// falls free.
    [[nodiscard]] std::vector<request_index> next_batch() const;

private:
    /// A request that waits.
    struct entry {
        request_index request;
        double priority_weight;
    };

    std::vector<entry> entries_;
};

/// Longest time that a request may wait in the queue, s, where its objective or its client allows so much.
[[nodiscard]] double max_queue_time(double time_allowed);

} // namespace harrierpass
