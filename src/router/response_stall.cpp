// SPDX-License-Identifier: Apache-2.0
#include "router/response_stall.hpp"

#include <algorithm>
#include <limits>

namespace harrierpass {
namespace {

// Share of the latency objective. For an objective of one second or more it covers the delay of a lost
// packet.
constexpr double response_stall_share = 0.25;

// Time after the deadline at which a response has to be complete or given up. Its client takes it for lost
// 0.5 s after the deadline; the rest is for a pause of this process and for the way to the client.
constexpr double final_answer_delay = 0.25;

// Time from the head of a long response to the first byte of its body.
constexpr double max_body_delay = 2;

// A body of unknown length may still turn out to be long while it comes at this rate, in bytes/s, and without
// a longer pause than this, in seconds.
constexpr double min_long_body_rate = 16384;
constexpr double max_long_body_pause = 1.2;

} // namespace

double remaining_silence(const forwarded_response &response) {
    if (response.is_long && response.received > 0)
        return std::numeric_limits<double>::infinity();
    const double until_final_answer = final_answer_delay - response.past_deadline;
    if (response.received == 0)
        return std::max(until_final_answer, max_body_delay - response.silent_for);
    const double in_hand = static_cast<double>(response.received) / min_long_body_rate - response.waited;
    const double until_pause_ends = max_long_body_pause - response.silent_for;
    return std::max(until_final_answer, std::min(in_hand, until_pause_ends));
}

double response_stall_limit(double latency_objective) {
    return latency_objective * response_stall_share;
}

bool has_stalled(const response_progress &progress, double latency_objective) {
    return progress.silent_for >= response_stall_limit(latency_objective);
}

// Endpoints that write slowly would lose the request if it were given up at each of them in turn, or if the
// retry had less time than responses of its class take.
bool should_retry_stalled(const response_progress &progress, double latency_objective) {
    return has_stalled(progress, latency_objective) && !progress.awaits_body && !progress.retried_stall &&
           progress.time_left >= latency_objective;
}

} // namespace harrierpass
