// SPDX-License-Identifier: Apache-2.0
#include "router/response_stall.hpp"

namespace harrierpass {
namespace {

// Share of the latency objective. For an objective of one second or more it covers the delay of a lost
// packet.
constexpr double response_stall_share = 0.25;

} // namespace

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
