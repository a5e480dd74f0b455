// SPDX-License-Identifier: Apache-2.0
#include "net/sockets.hpp"

#include "net/threads.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netdb.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

namespace harrierpass {
namespace {

constexpr double buffer_pause = 0.002; // s until a write is tried again for want of the system's memory
constexpr int backlog = 1024;          // connections; a burst that all its clients open at once

void set_flag(int fd, int level, int name) {
    const int on = 1;
    setsockopt(fd, level, name, &on, sizeof on);
}

// What becomes of a connection that comes up by itself, as an error number; 0: it is up.
int connect_result(const tcp_socket &of, double limit) {
    pollfd up{of.get(), POLLOUT, 0};
    const double end = steady_now() + limit;
    do {
        const double left = end - steady_now();
        if (left <= 0)
            return ETIMEDOUT;
        wait_on({&up, 1}, left);
    } while (up.revents == 0);
    int error = 0;
    socklen_t size = sizeof error;
    return ::getsockopt(of.get(), SOL_SOCKET, SO_ERROR, &error, &size) == 0 ? error : errno;
}

// A call that may succeed when it is made again shortly: interrupted, or no room in the system's buffers.
bool may_pass(int error) {
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR || error == ENOBUFS || error == ENOMEM;
}

} // namespace

void tcp_socket::close() {
    if (fd_ >= 0)
        ::close(std::exchange(fd_, -1));
}

std::optional<address> parse_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string host(text.substr(0, colon));
    const std::string port(text.substr(colon + 1));
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    addrinfo how{};
    how.ai_socktype = SOCK_STREAM;
    how.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
    addrinfo *found = nullptr;
    if (host.empty() || port.empty() || getaddrinfo(host.c_str(), port.c_str(), &how, &found) != 0)
        return std::nullopt;
    address made;
    std::copy_n(reinterpret_cast<const char *>(found->ai_addr), found->ai_addrlen,
                reinterpret_cast<char *>(&made.where));
    made.size = found->ai_addrlen;
    freeaddrinfo(found);
    return made;
}

std::string to_text(const address &from) {
    char host[INET6_ADDRSTRLEN] = "?", port[8] = "?";
    getnameinfo(reinterpret_cast<const sockaddr *>(&from.where), from.size, host, sizeof host, port,
                sizeof port, NI_NUMERICHOST | NI_NUMERICSERV);
    return std::string(host) + ":" + port;
}

bool is_local_shortage(int error) {
    switch (error) {
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case EADDRNOTAVAIL: // no port is free
    case EADDRINUSE:
    case ENETUNREACH: // no route from here
    case ENETDOWN:
    case EPERM: // a rule of this machine's
    case EACCES:
        return true;
    default:
        return false;
    }
}

tcp_socket socket_for(const address &to) {
    return tcp_socket(::socket(to.where.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0));
}

tcp_socket dial(const address &to, double limit, tcp_socket by) {
    tcp_socket made = by ? std::move(by) : socket_for(to);
    if (!made)
        return made;
    set_flag(made.get(), IPPROTO_TCP, TCP_NODELAY);
    timeval most{};
    most.tv_sec = static_cast<time_t>(limit);
    most.tv_usec = std::max<suseconds_t>(1000, static_cast<suseconds_t>((limit - most.tv_sec) * 1e6));
    setsockopt(made.get(), SOL_SOCKET, SO_SNDTIMEO, &most, sizeof most); // binds connect() too
    if (::connect(made.get(), reinterpret_cast<const sockaddr *>(&to.where), to.size) == 0)
        return made;
    // Interrupted, it goes on by itself (connect(2)), and what comes of it is told by the socket.
    const int why = errno == EINTR    ? connect_result(made, limit)
                    : errno == EAGAIN ? EADDRNOTAVAIL // no port of this machine's is free
                                      : errno;
    if (why != 0)
        made.close();
    errno = why;
    return made;
}

tcp_socket listen_on(const address &at, bool shared) {
    tcp_socket made(::socket(at.where.ss_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    if (!made)
        return made;
    set_flag(made.get(), SOL_SOCKET, SO_REUSEADDR); // the address is the same after a restart
    if (shared)
        set_flag(made.get(), SOL_SOCKET, SO_REUSEPORT);
    if (::bind(made.get(), reinterpret_cast<const sockaddr *>(&at.where), at.size) != 0 ||
        ::listen(made.get(), backlog) != 0) {
        const int why = errno;
        made.close();
        errno = why;
    }
    return made;
}

address local_address(const tcp_socket &of) {
    address at;
    at.size = sizeof at.where;
    getsockname(of.get(), reinterpret_cast<sockaddr *>(&at.where), &at.size);
    return at;
}

tcp_socket accept_on(const tcp_socket &from, address &peer) {
    peer.size = sizeof peer.where;
    tcp_socket made(
        ::accept4(from.get(), reinterpret_cast<sockaddr *>(&peer.where), &peer.size, SOCK_CLOEXEC));
    if (made) {
        set_flag(made.get(), IPPROTO_TCP, TCP_NODELAY);
        set_flag(made.get(), SOL_SOCKET, SO_KEEPALIVE); // a client's machine may vanish while it rests
    }
    return made;
}

long write_some(const tcp_socket &to, std::string_view &head, std::string_view &body) {
    iovec parts[2] = {{const_cast<char *>(head.data()), head.size()},
                      {const_cast<char *>(body.data()), body.size()}};
    msghdr message{};
    message.msg_iov = parts;
    message.msg_iovlen = 2;
    const auto wrote = ::sendmsg(to.get(), &message, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (wrote < 0)
        return may_pass(errno) ? 0 : -1;
    const auto of_head = std::min(static_cast<std::size_t>(wrote), head.size());
    head.remove_prefix(of_head);
    body.remove_prefix(static_cast<std::size_t>(wrote) - of_head);
    return wrote;
}

bool write_all(const tcp_socket &to, std::string_view head, std::string_view body, double limit) {
    const double end = steady_now() + limit;
    while (!head.empty() || !body.empty()) {
        const long wrote = write_some(to, head, body);
        if (wrote == 0) {
            pollfd room{to.get(), POLLOUT, 0};
            const double left = end - steady_now();
            if (left <= 0)
                return false;
            const bool no_buffer = errno == ENOBUFS || errno == ENOMEM;
            if (no_buffer) // the socket itself has room, so that it would not wait
                wait_on({}, std::min(buffer_pause, left));
            else
                wait_on({&room, 1}, left);
            continue;
        }
        if (wrote < 0)
            return false;
    }
    return true;
}

long read_some(const tcp_socket &from, char *to, std::size_t size) {
    const auto got = ::recv(from.get(), to, size, MSG_DONTWAIT);
    return got >= 0 ? got : may_pass(errno) ? -2 : -1;
}

void close_gracefully(tcp_socket &connection, double limit, std::size_t most) {
    ::shutdown(connection.get(), SHUT_WR);
    const double end = steady_now() + limit;
    std::array<char, 4096> dropped;
    for (std::size_t read = 0; read < most;) {
        const long got = read_some(connection, dropped.data(), dropped.size());
        if (got == 0 || got == -1)
            break;
        if (got > 0) {
            read += static_cast<std::size_t>(got);
            continue;
        }
        pollfd in{connection.get(), POLLIN, 0};
        const double left = end - steady_now();
        if (left <= 0)
            break;
        wait_on({&in, 1}, left);
    }
    connection.close();
}

peek_result peek(const tcp_socket &from) {
    char byte;
    const auto got = ::recv(from.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got > 0           ? peek_result::data
           : got == 0        ? peek_result::closed
           : may_pass(errno) ? peek_result::empty
                             : peek_result::reset;
}

} // namespace harrierpass
