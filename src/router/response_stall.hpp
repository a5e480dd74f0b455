// SPDX-License-Identifier: Apache-2.0
// Decides whether an attempt is given up because its response began and then made no progress. Silence alone
// does not tell an endpoint that writes slowly from one that announced more than it will send, so an attempt
// is given up only where a retry can still answer the request. Times are in seconds.
#pragma once

#include <cstddef>

namespace harrierpass {

/// The progress of a response that has begun and is not complete.
struct response_progress {
    /// The head is complete and no byte of the body has come: the endpoint still prepares the body.
    bool awaits_body = false;
    double silent_for = 0;      ///< Time since the endpoint last sent something.
    double time_left = 0;       ///< Time until the deadline of the request.
    bool retried_stall = false; ///< An earlier attempt of the request was given up for its silence.
};

/// A response that is forwarded to its client while it arrives.
struct forwarded_response {
    /// The endpoint has announced or sent more than the longest body whose last byte has to be in time. Of a
    /// longer body only the beginning has.
    bool is_long = false;
    std::size_t received = 0; ///< Bytes of the body.
    double waited = 0;        ///< Time spent waiting for the endpoint since the forwarding began.
    double silent_for = 0;    ///< The latest part of `waited`, without a byte from the endpoint.
    /// Time since the deadline of the request, without the time spent waiting for the client; may be
    /// negative.
    double past_deadline = 0;
};

/// Time for which the endpoint may stay silent from now on. When it has passed, the response is given up, so
/// that the client has a final answer. Infinite for a long body that has begun: the deadline does not bind
/// it.
[[nodiscard]] double remaining_silence(const forwarded_response &response);

/// Time without progress after which a response has stalled.
[[nodiscard]] double response_stall_limit(double latency_objective);

/// True if the response has stalled.
[[nodiscard]] bool has_stalled(const response_progress &progress, double latency_objective);

/// True if the attempt should be given up for a retry, provided that the retry policy allows one now.
[[nodiscard]] bool should_retry_stalled(const response_progress &progress, double latency_objective);

} // namespace harrierpass
