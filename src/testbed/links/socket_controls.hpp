// SPDX-License-Identifier: Apache-2.0
// Socket options by which the relay imitates a network that fails. Without
// state of their own.
#pragma once

#include "net/sockets.hpp"

namespace harrierpass::testbed {

// The next close() of the socket sends a reset instead of an orderly end.
void reset_on_close(const tcp_socket &socket);

// Whether the other side has ended its sending, or the connection is over.
[[nodiscard]] bool peer_has_ended(const tcp_socket &socket);

// Attaches to a listener, or detaches from it, a filter that drops every
// packet: the system then answers no connection, as if nobody were there.
// Throws std::system_error.
void set_drop_filter(const tcp_socket &listener, bool drops);

} // namespace harrierpass::testbed
