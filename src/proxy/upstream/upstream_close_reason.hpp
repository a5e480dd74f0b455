// SPDX-License-Identifier: Apache-2.0
// Why a connection to an endpoint ends, and why the attempt on it ended that way.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace harrierpass::proxy {

// In the order of the texts below.
enum class upstream_close_reason : std::uint8_t {
    client_left,         // the client left before the attempt, or while it took a long response
    client_body_failed,  // the client broke off its long body, or sent it too slowly
    out_of_time,         // the client's deadline ended the connect
    local_shortage,      // nothing to connect with on this machine
    connect_failed,      // the endpoint took no connection within the limit
    disabled,            // an operator disabled the endpoint
    outdated,            // the decision had changed when the connection was there
    write_failed,        // it broke before the last byte of the request was written
    timed_out,           // no response by the deadline
    canceled,            // the router gave the attempt up
    stalled,             // a response began and did not go on
    reset,               // it broke before the response was whole
    error_text_too_long, // an error whose text is longer than what is held of it
    malformed_response,  // what came is no response
    shutting_down,       // the planned stop left no time for the rest of the response
    invariant,           // the response would have broken an invariant
    closed_by_endpoint,  // the response said "Connection: close"
    suspect,             // idle: another attempt there was canceled, or a health check failed
    stale,               // idle for too long, closed by the endpoint, or older than its process
    reclaimed,           // idle: its descriptor was needed
    endpoint_removed,    // idle: the endpoint is not listed any more
    health_checked,      // a health check's, answered and not to be kept
    health_check_failed
};

// The texts of the log's field `reason`, by upstream_close_reason; operators' pages name them.
inline constexpr std::array<const char *, 23> upstream_close_reason_texts = {
    "client_left", "client_cut",   "out_of_time", "own_shortage", "dial_failed",   "out",
    "outdated",    "write_failed", "timed_out",   "called_off",   "stalled",       "reset",
    "long",        "spoilt",       "draining",    "invariant",    "server_closes", "suspect",
    "stale",       "reclaimed",    "gone",        "probed",       "probe_failed"};

// The text in the log.
constexpr const char *log_text(upstream_close_reason reason) {
    return upstream_close_reason_texts[static_cast<std::size_t>(reason)];
}

} // namespace harrierpass::proxy
