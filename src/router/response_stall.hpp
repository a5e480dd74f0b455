// SPDX-License-Identifier: Apache-2.0
// Decides whether an attempt is given up because its response began and then made no progress. Silence alone
// does not tell an endpoint that writes slowly from one that announced more than it will send, so an attempt
// is given up only where a retry can still answer the request. Times are in seconds.
#pragma once

namespace harrierpass {

/// The progress of a response that has begun and is not complete.
struct response_progress {
    /// The head is complete and no byte of the body has come: the endpoint still prepares the body.
    bool awaits_body = false;
    double silent_for = 0;      ///< Time since the endpoint last sent something.
    double time_left = 0;       ///< Time until the deadline of the request.
    bool retried_stall = false; ///< An earlier attempt of the request was given up for its silence.
};

/// Time without progress after which a response has stalled.
[[nodiscard]] double response_stall_limit(double latency_objective);

/// True if the response has stalled.
[[nodiscard]] bool has_stalled(const response_progress &progress, double latency_objective);

/// True if the attempt should be given up for a retry, provided that the retry policy allows one now.
[[nodiscard]] bool should_retry_stalled(const response_progress &progress, double latency_objective);

} // namespace harrierpass
