// SPDX-License-Identifier: Apache-2.0
// State of a client connection that is shared by the listener and the sessions of its requests. Owned by the
// thread that serves the connection.
#pragma once

#include "net/buffer_pool.hpp"
#include "net/sockets.hpp"
#include "router/types.hpp"

#include <cstddef>

namespace harrierpass::proxy {

// How long, and for how many bytes, a connection is still read after its last response, so that the client
// receives the response.
struct lingering_close {
    double limit = 0;          // s
    std::size_t max_bytes = 0; // 0: closes at once
};

// A client connection and its state between requests.
struct client_connection {
    tcp_socket socket; // empty: the client has disconnected
    // Kept between requests only if it contains the first bytes of the next request.
    buffer_pool::buffer_handle buffer;
    std::size_t filled = 0;             // bytes of the next request in `buffer`
    double connected_at = 0;            // Unix time, s
    index requests = 0;                 // requests started on the connection, including the current one
    index malformed_requests = 0;       // messages that could be parsed but are not valid requests
    bool closes_after_response = false; // too many connections are open
    lingering_close lingering;          // applied when the connection closes
    bool over_capacity = false;         // beyond the connection limit: its request is rejected at once
};

} // namespace harrierpass::proxy
