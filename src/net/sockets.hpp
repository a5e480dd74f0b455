// SPDX-License-Identifier: Apache-2.0
// TCP sockets as value types. Reads and writes never block; wait_on() (threads.hpp) waits. If a function
// returns an empty socket, errno has the error. Times are in seconds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace harrierpass {

// Owns a file descriptor, or none.
class tcp_socket {
public:
    tcp_socket() = default;
    // Takes ownership of the descriptor; -1 means none.
    explicit tcp_socket(int fd) : fd_(fd) {}
    tcp_socket(const tcp_socket &) = delete;
    tcp_socket &operator=(const tcp_socket &) = delete;
    // A moved-from socket owns no descriptor.
    tcp_socket(tcp_socket &&other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    // Swaps the descriptors: `other` closes the previous descriptor of this socket.
    tcp_socket &operator=(tcp_socket &&other) noexcept {
        std::swap(fd_, other.fd_);
        return *this;
    }
    ~tcp_socket() { close(); }
    // Closes the descriptor if there is one.
    void close();
    // The descriptor, or -1.
    int get() const { return fd_; }
    explicit operator bool() const { return fd_ >= 0; }

private:
    int fd_ = -1;
};

// An IP address with a port.
struct address {
    sockaddr_storage storage{};
    socklen_t size = 0;
};

// Parses "127.0.0.1:9000" or "[::1]:9000"; host names are not resolved.
std::optional<address> parse_address(std::string_view text);

// Formats the address as "HOST:PORT"; an IPv6 host has no brackets.
std::string to_text(const address &value);

// Whether a system call failed because of a shortage on this machine (descriptor, buffer, memory, port,
// route), which does not indicate a fault of the peer. `error` is an errno.
bool is_local_shortage(int error);

// Creates an unconnected socket for a later dial(), which then needs no new descriptor.
tcp_socket socket_for(const address &target);

// Connects within `limit` s, otherwise fails. `prepared` is an empty socket or one from socket_for().
tcp_socket dial(const address &target, double limit, tcp_socket prepared = {});

// Begins to connect without waiting; the socket, which is an empty one or one from socket_for(), does not
// block from then on. Returns an empty socket, with errno set, if the attempt has failed already. Once the
// socket is writable, finish_dial() returns the errno of the attempt, 0 if the connection is established.
[[nodiscard]] tcp_socket start_dial(const address &target, tcp_socket prepared = {});
[[nodiscard]] int finish_dial(const tcp_socket &connection);

// Creates a non-blocking listening socket. With `shared`, other processes of this user may listen on the same
// address.
tcp_socket listen_on(const address &local, bool shared = false);

// The address to which the socket is bound.
address local_address(const tcp_socket &socket);

// Accepts a connection; returns an empty socket also if none is waiting.
tcp_socket accept_on(const tcp_socket &listener, address &peer);

// The status of one non-blocking read or write.
enum class io_status : std::uint8_t {
    progressed,  // bytes were read or written
    would_block, // no bytes now: try again later
    closed,      // of a read: the peer closed the connection, no more bytes will arrive
    failed       // the connection is broken
};

// The result of one read or write.
struct io_result {
    io_status status = io_status::failed;
    std::size_t size = 0; // bytes read or written; 0 unless `progressed`
    int error = 0;        // an errno if `would_block` or `failed`

    // Whether the system has no buffers. The socket may be writable then, so polling it would return at once.
    bool lacks_buffer() const;
};

// Seconds between two attempts to write while the system has no buffers.
inline constexpr double no_buffer_retry = 0.002;

// Writes as many bytes as the socket accepts now, the head first, and removes them from `head` and `body`.
[[nodiscard]] io_result write_some(const tcp_socket &connection, std::string_view &head,
                                   std::string_view &body);

// Writes the whole head and body within `limit` s; returns whether it succeeded.
bool write_all(const tcp_socket &connection, std::string_view head, std::string_view body, double limit);

// Reads the available bytes, `size` at most.
[[nodiscard]] io_result read_some(const tcp_socket &connection, char *buffer, std::size_t size);

// Encodes the result of a read as one number: bytes read, 0 if closed, -1 if failed, -2 if it would block.
[[nodiscard]] long as_number(const io_result &received);

// Closes a connection whose peer may still be reading: shuts down the sending direction, then reads and drops
// bytes until the peer closes, for at most `limit` s and `max_dropped` bytes. A close with unread bytes would
// reset the connection and destroy the bytes in transit to the peer.
void close_gracefully(tcp_socket &connection, double limit, std::size_t max_dropped);

// The most bytes that the system keeps of a connection before they are read; nothing if it is unknown.
std::optional<std::size_t> receive_buffer_size(const tcp_socket &connection);

// Whether the peer has closed the connection or its sending direction, even if bytes of it are unread. Does
// not wait.
bool peer_has_disconnected(const tcp_socket &connection);

// The state of the receiving direction.
enum class peek_result { empty, data, closed, reset };

// Determines the state without consuming bytes.
peek_result peek(const tcp_socket &connection);

} // namespace harrierpass
