// SPDX-License-Identifier: Apache-2.0
// The reasons for which a connection to an endpoint closes, or an attempt ends without a usable response.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace harrierpass::proxy {

// In the order of upstream_close_reason_texts.
enum class upstream_close_reason : std::uint8_t {
    client_left,         // the client disconnected before the attempt, or during a long body or response
    client_body_failed,  // the client's long body was truncated, malformed or too slow
    out_of_time,         // the client's deadline passed during the connect or a long body
    local_shortage,      // this machine lacks resources for a connection
    connect_failed,      // no connection was established within the connect timeout
    disabled,            // an operator disabled the endpoint
    outdated,            // the router's decision changed during the connect
    write_failed,        // the connection broke or stalled before the last byte of the request was written
    timed_out,           // no response by the deadline
    canceled,            // the router canceled the attempt
    stalled,             // a response started and made no further progress
    reset,               // the connection broke before the response was complete
    error_text_too_long, // the body of an error response exceeds the buffer
    malformed_response,  // the endpoint sent something other than an HTTP response
    shutting_down,       // a planned stop left no time for the rest of the response
    invariant,           // the response would have violated an invariant
    closed_by_endpoint,  // the response contained "Connection: close"
    request_incomplete,  // the endpoint responded before the last byte of the request was written
    suspect,             // idle, and an attempt at the endpoint was canceled or a health check failed
    stale,               // idle for too long, closed by the endpoint, or older than the endpoint's process
    reclaimed,           // idle, and its file descriptor was needed
    endpoint_removed,    // idle, and the endpoint was removed from the endpoint list
    health_checked,      // used by a health check that got a response, and not reusable
    health_check_failed  // used by a health check without a complete response
};

// Values of the log field `reason`, by upstream_close_reason; the operators' documentation lists them.
inline constexpr std::array<const char *, 24> upstream_close_reason_texts = {
    "client_left", "client_cut",   "out_of_time", "own_shortage", "dial_failed",   "out",
    "outdated",    "write_failed", "timed_out",   "called_off",   "stalled",       "reset",
    "long",        "spoilt",       "draining",    "invariant",    "server_closes", "request_incomplete",
    "suspect",     "stale",        "reclaimed",   "gone",         "probed",        "probe_failed"};

// Returns the value in the log.
constexpr const char *log_text(upstream_close_reason reason) {
    return upstream_close_reason_texts[static_cast<std::size_t>(reason)];
}

} // namespace harrierpass::proxy
