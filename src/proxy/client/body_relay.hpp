// SPDX-License-Identifier: Apache-2.0
// How a long body goes through: what one side brings is written to the other before more is read, so that the
// slower one sets the pace and one buffer is all the memory it takes.
#pragma once

#include "net/http.hpp"
#include "net/sockets.hpp"

#include <functional>

namespace harrierpass::proxy {

// How the receiving side is told the end of a body.
enum class framing : std::uint8_t { counted, chunked, by_close };

// How long a side may keep the other waiting.
struct relay_limits {
    double source_timeout;   // s without anything from the source ...
    double source_rate = 0;  // ... or, if not 0, in all beyond a body of so many bytes a second
    double sink_timeout;     // s for a window to be taken
    double deadline = 1e18;  // Unix time, s, as `now` tells it
    bool watch_sink = false; // whether bytes from the sink end it: a server that answers early
};

enum class relay_result : std::uint8_t {
    complete,
    source_truncated,
    source_malformed,
    source_slow,
    sink_broken,
    sink_responded,
    cancelled
};

// `from` has the head and the body's beginning. `called` is asked whenever a wait ends.
relay_result relay_body(http_reader &from, const tcp_socket &source, const tcp_socket &sink, framing how,
                        const relay_limits &limits, const std::function<double()> &now,
                        const std::function<bool()> &called);

} // namespace harrierpass::proxy
