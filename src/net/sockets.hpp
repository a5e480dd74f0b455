// SPDX-License-Identifier: Apache-2.0
// TCP sockets as values. They block; time limits are the socket's own or wait_on()'s.
#pragma once

#include <netinet/in.h>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace harrierpass {

class tcp_socket {
public:
    tcp_socket() = default;
    explicit tcp_socket(int fd) : fd_(fd) {}
    tcp_socket(tcp_socket &&that) noexcept : fd_(std::exchange(that.fd_, -1)) {}
    tcp_socket &operator=(tcp_socket &&that) noexcept {
        std::swap(fd_, that.fd_);
        return *this;
    }
    ~tcp_socket() { close(); }
    void close();
    int get() const { return fd_; }
    explicit operator bool() const { return fd_ >= 0; }

private:
    int fd_ = -1;
};

struct address {
    sockaddr_storage where{};
    socklen_t size = 0;
};

// From "127.0.0.1:9000" or "[::1]:9000"; names are not looked up.
std::optional<address> parse_address(std::string_view text);
std::string to_text(const address &from);

// Whether a call failed for want of something on this machine (descriptor, buffer, memory, port, route): it
// says nothing of the other side.
bool is_local_shortage(int error);

// A socket for dial(), made beforehand: a descriptor that nobody else can take. Empty: errno tells why.
tcp_socket socket_for(const address &to);
// Empty: errno tells why. A connection that is not up within the limit never came up. `by`: see above.
tcp_socket dial(const address &to, double limit, tcp_socket by = {});
tcp_socket listen_on(const address &at, bool shared = false); // shared: others of this user may listen, too
address local_address(const tcp_socket &of);

// Empty when none is waiting or none can be had; errno tells.
tcp_socket accept_on(const tcp_socket &from, address &peer);

// Writes what there is room for now, the head first, and leaves the rest in them; how much; -1: broken.
long write_some(const tcp_socket &to, std::string_view &head, std::string_view &body);
// Writes all of it, or false; `limit` (s) is for the whole.
bool write_all(const tcp_socket &to, std::string_view head, std::string_view body, double limit);

// Bytes read; 0: the other side ended; -1: broken; -2: nothing there now.
long read_some(const tcp_socket &from, char *to, std::size_t size);

// An orderly release, for a connection on which the other side may still read what it was sent: our side
// ends, and what comes is read and dropped until the other side ends, for `limit` s and `most` bytes. Then it
// closes. Guards the last bytes on their way: closing over bytes unread is a reset, which destroys them.
void close_gracefully(tcp_socket &connection, double limit, std::size_t most);

// What waits to be read.
enum class peek_result { empty, data, closed, reset };
peek_result peek(const tcp_socket &from);

} // namespace harrierpass
