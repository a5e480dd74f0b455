// SPDX-License-Identifier: Apache-2.0
// TCP sockets as values. Reads and writes never block; waiting is wait_on()'s (threads.hpp). Where a function
// returns an empty socket, errno tells why. Times are seconds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace harrierpass {

// Owns a socket's descriptor, or none.
class tcp_socket {
public:
    tcp_socket() = default;
    // Owns the descriptor from now on; -1: none.
    explicit tcp_socket(int fd) : fd_(fd) {}
    tcp_socket(const tcp_socket &) = delete;
    tcp_socket &operator=(const tcp_socket &) = delete;
    // A socket that was moved from owns none.
    tcp_socket(tcp_socket &&that) noexcept : fd_(std::exchange(that.fd_, -1)) {}
    // Exchanges the descriptors: `that` closes the one that was owned here.
    tcp_socket &operator=(tcp_socket &&that) noexcept {
        std::swap(fd_, that.fd_);
        return *this;
    }
    ~tcp_socket() { close(); }
    // Closes the descriptor, if there is one.
    void close();
    // The descriptor; -1 where there is none.
    int get() const { return fd_; }
    // Whether there is a descriptor.
    explicit operator bool() const { return fd_ >= 0; }

private:
    int fd_ = -1;
};

// An IP address with a port.
struct address {
    sockaddr_storage where{};
    socklen_t size = 0;
};

// From "127.0.0.1:9000" or "[::1]:9000"; names are not looked up.
std::optional<address> parse_address(std::string_view text);

// The address as "HOST:PORT", an IPv6 host without its brackets.
std::string to_text(const address &from);

// Whether a call failed for want of something on this machine (descriptor, buffer, memory, port, route),
// which says nothing of the other side. `error` is an errno.
bool is_local_shortage(int error);

// A socket for a later dial(), which then needs no descriptor.
tcp_socket socket_for(const address &to);

// Connects within `limit` s; a later connection counts as failed. `prepared`: from socket_for(), or none.
tcp_socket dial(const address &to, double limit, tcp_socket prepared = {});

// Listens without blocking. `shared`: other processes of this user may listen there, too.
tcp_socket listen_on(const address &at, bool shared = false);

// The address that the socket is bound to.
address local_address(const tcp_socket &connection);

// Accepts a connection; empty also where none is waiting.
tcp_socket accept_on(const tcp_socket &listener, address &peer);

// How one read or write, which does not wait, ended.
enum class io_status : std::uint8_t {
    progressed,  // bytes were read or written
    would_block, // none now: try again later
    closed,      // a read only: the other side closed, and no more bytes come
    failed       // the connection is broken
};

// The result of one read or write.
struct io_result {
    io_status status = io_status::failed;
    std::size_t size = 0; // bytes read or written; 0 unless it progressed
    int error = 0;        // an errno, where it would block or failed
};

// Writes what there is space for now, the head first, and takes it off both.
[[nodiscard]] io_result write_some(const tcp_socket &connection, std::string_view &head,
                                   std::string_view &body);

// Writes all of both within `limit` s; returns whether it could.
bool write_all(const tcp_socket &connection, std::string_view head, std::string_view body, double limit);

// Reads what is there now, up to `size` bytes.
[[nodiscard]] io_result read_some(const tcp_socket &connection, char *to, std::size_t size);

// A read's result as one number, for callers that pass it on: bytes; 0: closed; -1: failed; -2: would block.
[[nodiscard]] long as_number(const io_result &received);

// Closes a connection on which the other side may still read what it was sent: shuts our side down, and reads
// and drops what comes until the other side closes, for at most `limit` s and `max_dropped` bytes. Closing
// over unread bytes would reset the connection, which destroys the bytes on their way.
void close_gracefully(tcp_socket &connection, double limit, std::size_t max_dropped);

// What waits to be read.
enum class peek_result { empty, data, closed, reset };

// Looks without reading.
peek_result peek(const tcp_socket &connection);

} // namespace harrierpass
