// SPDX-License-Identifier: Apache-2.0
// Relays a long body: what one side sends is written to the other before more is read, so that the slower one
// sets the pace and one buffer is all the memory it takes.
#pragma once

#include "net/http.hpp"
#include "net/sockets.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>

namespace harrierpass::proxy {

// The limits that hold for long bodies.
inline constexpr std::size_t max_streamed_body = 64UL * 1024 * 1024; // bytes; twice what occurs
inline constexpr double sink_pause_limit = 30; // s that a receiver may take for a window of the body

// A client's body may take so many seconds, and a second more for each so many bytes. Clients send 64 kB/s
// at least.
inline constexpr double body_timeout = 2;
inline constexpr double min_body_rate = 32768; // bytes/s

// How the receiver is told the end of a body: by a length, by chunks, or as the connection closes.
enum class framing : std::uint8_t { counted, chunked, by_close };

// How long a side may keep the other waiting.
struct relay_limits {
    double source_timeout;   // s without anything from the source
    double source_rate = 0;  // bytes/s; if not 0, the timeout is for the whole body and grows at this rate
    double sink_timeout;     // s for the sink to take a window of the body
    double deadline = 1e18;  // Unix time, s, on the clock of `now`
    bool watch_sink = false; // whether bytes from the sink, as of an early response, end the relay
};

// How a relay ended.
enum class relay_result : std::uint8_t {
    complete,
    source_truncated, // the source ended before the body did
    source_malformed, // what it sent is no body
    source_slow,      // it kept the sink waiting for too long
    sink_broken,      // the sink took no more
    sink_responded,   // the sink sent something; with watch_sink only
    cancelled
};

// Relays the rest of the message in `from`, which has the head and the beginning of the body. `cancelled` is
// asked whenever a wait ends.
relay_result relay_body(http_reader &from, const tcp_socket &source, const tcp_socket &sink,
                        framing body_framing, const relay_limits &limits, const std::function<double()> &now,
                        const std::function<bool()> &cancelled);

} // namespace harrierpass::proxy
