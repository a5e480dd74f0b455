// SPDX-License-Identifier: Apache-2.0
// Local (AF_UNIX) sockets between the processes of one proxy: messages that arrive whole and in order, each
// with at most one descriptor. Nothing here blocks.
#pragma once

#include "net/sockets.hpp" // tcp_socket can own any descriptor

#include <cstddef>
#include <string>
#include <sys/types.h>

namespace harrierpass::proxy {

// Opens a socket that listens under the name. It is bound under `temporary_name` and renamed, so that nobody
// finds a socket that does not listen yet; a file of that name is replaced. Returns an empty socket on
// failure.
[[nodiscard]] tcp_socket listen_locally(const std::string &directory, const std::string &name,
                                        const std::string &temporary_name, int backlog);

// Connects to the socket of a process of the same user; returns an empty socket on failure.
[[nodiscard]] tcp_socket connect_locally(const std::string &directory, const std::string &name);

// Whether a process listens under the name, even if it does not accept connections now.
[[nodiscard]] bool is_listening_locally(const std::string &directory, const std::string &name);

// Accepts the connection of a process of the same user. Returns an empty socket if none is waiting.
[[nodiscard]] tcp_socket accept_locally(const tcp_socket &listener);

// The process at the other end, or 0 if it is not visible. For a connected socket, the process that listens.
[[nodiscard]] pid_t peer_process(const tcp_socket &socket);

// Whether the process is stopped, by a signal or a debugger. False if this is not known.
[[nodiscard]] bool is_stopped(pid_t process);

// Sends one message, and the descriptor `passed_fd` unless it is -1. Returns false if it was not sent.
[[nodiscard]] bool send_locally(const tcp_socket &socket, const std::string &text, int passed_fd = -1);

// Receives one message and the descriptor passed with it, if any. Returns an empty text if no message is
// available (errno is EAGAIN) or the peer has closed.
[[nodiscard]] std::string receive_locally(const tcp_socket &socket, tcp_socket &passed_descriptor);

// Whether both descriptors refer to the same socket.
[[nodiscard]] bool is_same_socket(int first, int second);

inline constexpr std::size_t max_local_message_size = 128UL * 1024; // bytes

} // namespace harrierpass::proxy
