// SPDX-License-Identifier: Apache-2.0
// Reasons for closing a client connection: during a request, after a request, or between two requests.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace harrierpass::proxy {

// In the order of close_reason_texts.
enum class close_reason : std::uint8_t {
    client_closed_early,    // the client closed the connection in the middle of a request
    client_reset,           // the connection was reset while a request was read
    client_too_slow,        // a request was not complete within its time limits
    client_left,            // the client closed the connection while its request was queued or in flight
    malformed_request,      // the received bytes are not a request
    shutting_down,          // a planned stop, or an operator's drain, has reached its time limit
    closed_after_response,  // the response had "Connection: close"
    response_not_delivered, // the client did not accept the response, or it could not be sent completely
    out_of_memory,          // the proxy had no memory for the request
    internal_error,         // a fault in the proxy
    reclaimed,              // idle while new connections need its capacity
    silent,                 // no request since the connection was accepted
    idle,                   // no further request
    client_closed,          // the client closed the connection between two requests
    no_thread               // no thread was available to serve the connection
};

// The values of the log field `reason`, by close_reason; the operators' documentation lists them.
inline constexpr std::array<const char *, 15> close_reason_texts = {
    "client_cut", "client_reset",  "client_slow", "client_left",   "bad_request",
    "draining",   "answered_last", "answer_cut",  "no_memory",     "failed",
    "reclaimed",  "silent",        "idle",        "client_closed", "no_thread"};

// The value of the log field `reason`.
constexpr const char *log_text(close_reason reason) {
    return close_reason_texts[static_cast<std::size_t>(reason)];
}

// The reason to close a connection after a request; empty: the connection is kept for the next request.
using close_decision = std::optional<close_reason>;

} // namespace harrierpass::proxy
