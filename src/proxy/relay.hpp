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
    double source;             // s without anything from the source ...
    double source_rate = 0;    // ... or, if not 0, in all beyond a body of so many bytes a second
    double sink;               // s for a window to be taken
    double until = 1e18;       // Unix time, s, as `now` tells it
    bool watches_sink = false; // whether bytes from the sink end it: a server that answers early
};

enum class relay_end : std::uint8_t {
    whole,
    source_cut,
    source_spoilt,
    source_slow,
    sink_broke,
    sink_spoke,
    called
};

// `from` has the head and the body's beginning. `called` is asked whenever a wait ends.
relay_end relay_body(http_reader &from, const tcp_socket &source, const tcp_socket &sink, framing how,
                     const relay_limits &limits, const std::function<double()> &now,
                     const std::function<bool()> &called);

} // namespace harrierpass::proxy
