// SPDX-License-Identifier: Apache-2.0
// Why a client's connection ends: while a request is served on it, after one, or between two.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace harrierpass::proxy {

// In the order of the texts below.
enum class close_reason : std::uint8_t {
    client_closed_early,    // the client closed it in the middle of a request
    client_reset,           // the client broke it while a request was read
    client_too_slow,        // a request did not come whole within its time limits
    client_left,            // the client closed it while its request was queued or in flight
    malformed_request,      // what came cannot be read as a request
    shutting_down,          // the planned stop, or operators who send clients away, leave it no time
    closed_after_response,  // the response said "Connection: close"
    response_not_delivered, // the client did not take its response whole, or could not get it whole
    out_of_memory,          // the proxy had no memory for the request
    internal_error,         // a fault in the proxy
    reclaimed,              // idle, while others need its capacity
    silent,                 // no request since it was accepted
    idle,                   // no further request
    client_closed,          // the client closed it between two requests
    no_thread               // there was no thread to serve it
};

// The texts of the log's field `reason`, by close_reason; operators' pages name them.
inline constexpr std::array<const char *, 15> close_reason_texts = {
    "client_cut", "client_reset",  "client_slow", "client_left",   "bad_request",
    "draining",   "answered_last", "answer_cut",  "no_memory",     "failed",
    "reclaimed",  "silent",        "idle",        "client_closed", "no_thread"};

// The text in the log.
constexpr const char *log_text(close_reason reason) {
    return close_reason_texts[static_cast<std::size_t>(reason)];
}

// What becomes of a connection after a request; empty: it is kept for the next one.
using close_decision = std::optional<close_reason>;

} // namespace harrierpass::proxy
