// SPDX-License-Identifier: Apache-2.0
// The records of requests and their attempts, their lifetimes, and the timers of their deadlines. Times are
// seconds.
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
    /// Counted at the endpoint; not while a streamed body is sent or the response is relayed, which go at the
    /// client's pace.
    bool counts_in_flight = false;
};

/// Where a request is in its life; request_lifecycle.cpp has the transitions.
enum class request_state : std::uint8_t { queued, in_progress, finished };

/// A request, from its arrival until its index is free again.
struct request_record {
    bool is_live = false; ///< Until release_request.
    request_state state = request_state::finished;
    bool is_write = false;
    bool streams_body = false;
    bool over_quota = false;
    bool uses_origin = false;     ///< Its further attempts go to the origin.
    bool leads_fetch = false;     ///< Other requests for its key wait for its origin fetch.
    bool awaits_fetch = false;    ///< It waits for another request's origin fetch.
    std::uint32_t generation = 0; ///< Number of requests that have had this index.
    request_class class_settings; ///< As configured at its arrival.
    std::uint64_t key = 0, ring_position = 0;
    bool has_key = false;
    bool has_hot_key = false; ///< Its key has several replicas.
    double deadline = 0;      ///< When it gets its final answer at the latest.
    double queue_deadline = 0;
    double priority_weight = 0;
    /// In [0, 1). Where a limit falls between two attempts, it is open to the requests with lower draws, so
    /// that the sum over many proxies keeps to it.
    double admission_draw = 0;
    std::uint32_t open_attempts = 0;
    std::vector<attempt_record> attempts;
};

/// All requests of one router, which owns the table.
///
/// Invariant: an index is held from create() to release(); each holder has another generation.
class request_table {
public:
    /// Starts a queued request; the index is not in use.
    request_record &create(request_index request);
    /// Frees the index; its attempts have ended.
    void release(request_index request);

    /// The record of an index that was created before.
    request_record &operator[](request_index request) { return records_[request]; }
    const request_record &operator[](request_index request) const { return records_[request]; }
    /// The index after the last one.
    [[nodiscard]] request_index end_index() const { return records_.end_index(); }

private:
    indexed_vector<request_index, request_record> records_;
};

/// A deadline of one generation of a request.
struct request_timer {
    double at;
    request_index request;
    std::uint32_t generation;

    bool operator>(const request_timer &that) const { return at > that.at; }
};

/// The deadlines of one router's requests, earliest first. Deadlines that no longer hold stay until they fall
/// due; is_expired() tells them apart.
class request_timers {
public:
    /// Adds a deadline, s.
    void add(double at, request_index request, std::uint32_t generation) {
        timers_.push({at, request, generation});
    }
    /// Removes and returns the earliest timer that is due.
    std::optional<request_timer> take_due(double now);

private:
    std::priority_queue<request_timer, std::vector<request_timer>, std::greater<>> timers_;
};

/// The timer is of this request and one of its deadlines has passed.
[[nodiscard]] bool is_expired(const request_timer &timer, const request_record &request, double now);

} // namespace harrierpass
