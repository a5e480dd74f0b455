// SPDX-License-Identifier: Apache-2.0
// One client's connection, as its listener and the sessions of its requests share it. The thread that serves
// the connection owns it.
#pragma once

#include "net/buffer_pool.hpp"
#include "net/sockets.hpp"
#include "router/types.hpp"

#include <cstddef>

namespace harrierpass::proxy {

// How long, and over how many bytes, a closed connection is still read, so that the client gets its response.
struct lingering_close {
    double limit = 0;          // s
    std::size_t max_bytes = 0; // bytes; 0: it closes at once
};

// The connection and what is carried over from one of its requests to the next.
struct client_connection {
    tcp_socket socket; // empty: the client has left
    // Between requests it is held only while it contains the first bytes of the next one.
    buffer_pool::buffer_handle buffer;
    std::size_t filled = 0;             // bytes of the next request in `buffer`
    double connected_at = 0;            // Unix time, s
    index requests = 0;                 // begun on it, the present one included
    index malformed_requests = 0;       // of these, the ones that were readable and still no request
    bool closes_after_response = false; // too many connections are open
    lingering_close lingering;          // applied when it closes
    bool over_capacity = false;         // beyond what can be served: its request is rejected at once
};

} // namespace harrierpass::proxy
