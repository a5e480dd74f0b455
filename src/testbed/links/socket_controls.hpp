// SPDX-License-Identifier: Apache-2.0
// Socket options with which the relay imitates network failures. The functions keep no state.
#pragma once

#include "net/sockets.hpp"

namespace harrierpass::testbed {

// Makes the next close() of the socket send a reset.
void reset_on_close(const tcp_socket &socket);

// Whether the peer has shut down its sending side, or the connection is closed.
[[nodiscard]] bool peer_has_ended(const tcp_socket &socket);

// Attaches a filter that drops all packets to a listener, or detaches it. With the filter, the system does
// not respond to connection attempts, as if the host were unreachable. Throws std::system_error.
void set_drop_filter(const tcp_socket &listener, bool drops);

} // namespace harrierpass::testbed
