// SPDX-License-Identifier: Apache-2.0
// The table of requests and their attempts, and the timers of their deadlines. Times are in seconds.
#pragma once

#include "router/indexed_vector.hpp"
#include "router/types.hpp"

#include <functional>
#include <optional>
#include <queue>
#include <vector>

namespace harrierpass {

/// One attempt of a request at an endpoint.
struct attempt_record {
    endpoint_index endpoint;
    double started_at;
    bool is_open = true;
    outcome result = outcome::canceled;
    /// The attempt counts as in flight at the endpoint. It does not while a streamed body is sent or the
    /// response is relayed, as the client's speed determines how long these take.
    bool counts_in_flight = false;
    /// The endpoint has begun its response. Only while counts_in_flight.
    bool has_begun_response = false;
};

/// States of a request; request_lifecycle.cpp has the transitions.
enum class request_state : std::uint8_t { queued, in_progress, finished };

/// A request, from its arrival until its index is released.
struct request_record {
    bool is_live = false; ///< The request has arrived and is not released yet.
    request_state state = request_state::finished;
    bool is_write = false;
    bool streams_body = false;
    bool over_quota = false;
    bool uses_origin = false;     ///< The next attempts go to the origin.
    bool leads_fetch = false;     ///< Other requests for the key wait for this request's origin fetch.
    bool awaits_fetch = false;    ///< The request waits for another request's origin fetch of its key.
    std::uint32_t generation = 0; ///< Changes with each create() and release() of the index.
    request_class class_settings; ///< Settings of the request class at the arrival of the request.
    std::uint64_t key = 0, ring_position = 0;
    bool has_key = false;
    bool has_hot_key = false; ///< The key has several replicas.
    double deadline = 0;      ///< Latest time of the final response.
    double queue_deadline = 0;
    double priority_weight = 0;
    /// Random number in [0, 1) for limits with a fraction: if a limit lies between n and n + 1 attempts, only
    /// requests whose draw is below the fraction use the additional attempt. The sum over many proxies thus
    /// keeps to the limit.
    double admission_draw = 0;
    std::uint32_t open_attempts = 0;
    std::vector<attempt_record> attempts;
};

/// The requests of one router, which owns the table.
///
/// Invariant: an index is in use from create() to release(); each use has a different generation.
class request_table {
public:
    /// Creates a queued request. The index must not be in use.
    request_record &create(request_index request);
    /// Frees the index. All attempts of the request must have ended.
    void release(request_index request);

    /// The record of an index that was passed to create() before.
    request_record &operator[](request_index request) { return records_[request]; }
    /// Read-only access to the record.
    const request_record &operator[](request_index request) const { return records_[request]; }
    /// One past the largest index.
    [[nodiscard]] request_index end_index() const { return records_.end_index(); }

private:
    indexed_vector<request_index, request_record> records_;
};

/// A timer for a deadline of one generation of a request.
struct request_timer {
    double due_at;
    request_index request;
    std::uint32_t generation;

    /// Orders timers by due time.
    bool operator>(const request_timer &other) const { return due_at > other.due_at; }
};

/// The timers of one router's requests, earliest first. Obsolete timers are kept until they are due;
/// is_expired() detects them.
class request_timers {
public:
    /// Adds a timer that is due at `due_at`, in seconds.
    void add(double due_at, request_index request, std::uint32_t generation) {
        timers_.push({due_at, request, generation});
    }
    /// Removes and returns the earliest timer if it is due.
    std::optional<request_timer> take_due(double now);

private:
    std::priority_queue<request_timer, std::vector<request_timer>, std::greater<>> timers_;
};

/// The timer belongs to this generation of the request, and a deadline of the request has passed.
[[nodiscard]] bool is_expired(const request_timer &timer, const request_record &request, double now);

} // namespace harrierpass
