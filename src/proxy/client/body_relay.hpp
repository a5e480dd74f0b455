// SPDX-License-Identifier: Apache-2.0
// Relays a long body from a source to a sink. Received data is written to the sink before more is read, so
// that the slower side limits the rate and a single buffer is sufficient.
#pragma once

#include "net/http.hpp"
#include "net/sockets.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>

namespace harrierpass::proxy {

// Limits for long bodies.
inline constexpr std::size_t max_streamed_body = 64UL * 1024 * 1024; // bytes; twice the largest in use
inline constexpr double sink_pause_limit = 30; // s for a receiver to accept one window of the body

// The timeout for a client's body is body_timeout plus the time that its bytes take at min_body_rate. Clients
// send at least 64 kB/s.
inline constexpr double body_timeout = 2;      // s
inline constexpr double min_body_rate = 32768; // bytes/s

// How the end of a body is marked: by Content-Length, by chunked encoding, or by closing the connection.
enum class framing : std::uint8_t { counted, chunked, by_close };

// Time limits of a relay.
struct relay_limits {
    double source_timeout;  // s without data from the source
    double source_rate = 0; // bytes/s; if not 0, source_timeout is for the whole body and grows at this rate
    double sink_timeout;    // s for the sink to accept one window of the body
    double sink_stall_limit = 1e18; // s without progress after which a sink at the deadline has stalled
    bool carries_request = false;   // ends early if the sink responds or the source disconnects
};

// The waits of a relay, in seconds.
struct relay_waits {
    double for_source = 0; // in total
    double silent_for = 0; // in the current wait for the source
    double for_sink = 0;   // in total
};

// What a relay asks its owner, in the thread of the relay. Times are Unix times in seconds.
struct relay_callbacks {
    std::function<double()> now;
    std::function<double()> deadline;   // time by which the relay must end; may change between two calls
    std::function<bool()> is_cancelled; // asked before each wait, and before the end of a request is written
    // Seconds for which the source may stay silent from now on; empty: only the limits bind.
    std::function<double(const relay_waits &)> source_time_left = {};
};

// How a relay ended.
enum class relay_result : std::uint8_t {
    complete,
    source_truncated,    // the source closed before the end of the body
    source_malformed,    // the source sent an invalid body
    source_slow,         // the source exceeded its time limit
    source_disconnected, // nobody awaits the response any more; only with carries_request
    sink_broken,         // the connection to the sink failed
    sink_stalled,        // the sink accepted no data within its time limit
    sink_responded,      // the sink sent data; only with carries_request
    deadline_passed,
    cancelled
};

// Relays the rest of the body of `message`, which holds the head and the first bytes of the body. With any
// result but `complete` the last byte of the body was not written.
relay_result relay_body(http_reader &message, const tcp_socket &source, const tcp_socket &sink,
                        framing body_framing, const relay_limits &limits, const relay_callbacks &callbacks);

} // namespace harrierpass::proxy
