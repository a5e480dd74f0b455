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

constexpr double no_buffer_retry = 0.002; // s, for want of the system's memory
constexpr int listen_backlog = 1024;      // connections

void set_flag(int fd, int level, int name) {
    const int enabled = 1;
    setsockopt(fd, level, name, &enabled, sizeof enabled);
}

// Waits for a connection that is being set up; its error number, 0 once it is up.
int connect_result(const tcp_socket &connection, double limit) {
    pollfd writable{connection.get(), POLLOUT, 0};
    const double deadline = steady_now() + limit;
    do {
        const double left = deadline - steady_now();
        if (left <= 0)
            return ETIMEDOUT;
        wait_on({&writable, 1}, left);
    } while (writable.revents == 0);
    int error = 0;
    socklen_t size = sizeof error;
    return ::getsockopt(connection.get(), SOL_SOCKET, SO_ERROR, &error, &size) == 0 ? error : errno;
}

// Limits the time of connect() and of blocking writes.
void set_send_timeout(const tcp_socket &connection, double limit) {
    constexpr suseconds_t min_timeout = 1000; // us; 0 would mean no limit
    timeval timeout{};
    timeout.tv_sec = static_cast<time_t>(limit);
    timeout.tv_usec =
        std::max<suseconds_t>(min_timeout, static_cast<suseconds_t>((limit - timeout.tv_sec) * 1e6));
    setsockopt(connection.get(), SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
}

// Whether a call may succeed when it is made again: interrupted, or no space in the system's buffers.
bool is_transient(int error) {
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR || error == ENOBUFS || error == ENOMEM;
}

// The result of a call that ended with this errno.
io_result io_error(int error) {
    return {.status = is_transient(error) ? io_status::would_block : io_status::failed, .error = error};
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
    addrinfo hints{};
    hints.ai_socktype = SOCK_STREAM;
    hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
    addrinfo *found = nullptr;
    if (host.empty() || port.empty() || getaddrinfo(host.c_str(), port.c_str(), &hints, &found) != 0)
        return std::nullopt;
    address result;
    std::copy_n(reinterpret_cast<const char *>(found->ai_addr), found->ai_addrlen,
                reinterpret_cast<char *>(&result.where));
    result.size = found->ai_addrlen;
    freeaddrinfo(found);
    return result;
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

tcp_socket dial(const address &to, double limit, tcp_socket prepared) {
    tcp_socket connection = prepared ? std::move(prepared) : socket_for(to);
    if (!connection)
        return connection;
    set_flag(connection.get(), IPPROTO_TCP, TCP_NODELAY);
    set_send_timeout(connection, limit);
    if (::connect(connection.get(), reinterpret_cast<const sockaddr *>(&to.where), to.size) == 0)
        return connection;
    int error = errno;
    if (error == EINTR) // it goes on by itself (connect(2))
        error = connect_result(connection, limit);
    else if (error == EAGAIN) // no port of this machine is free
        error = EADDRNOTAVAIL;
    if (error != 0)
        connection.close();
    errno = error;
    return connection;
}

tcp_socket listen_on(const address &at, bool shared) {
    tcp_socket listener(::socket(at.where.ss_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    if (!listener)
        return listener;
    set_flag(listener.get(), SOL_SOCKET, SO_REUSEADDR); // the address is the same after a restart
    if (shared)
        set_flag(listener.get(), SOL_SOCKET, SO_REUSEPORT);
    if (::bind(listener.get(), reinterpret_cast<const sockaddr *>(&at.where), at.size) != 0 ||
        ::listen(listener.get(), listen_backlog) != 0) {
        const int error = errno;
        listener.close();
        errno = error;
    }
    return listener;
}

address local_address(const tcp_socket &connection) {
    address at;
    at.size = sizeof at.where;
    getsockname(connection.get(), reinterpret_cast<sockaddr *>(&at.where), &at.size);
    return at;
}

tcp_socket accept_on(const tcp_socket &listener, address &peer) {
    peer.size = sizeof peer.where;
    tcp_socket connection(
        ::accept4(listener.get(), reinterpret_cast<sockaddr *>(&peer.where), &peer.size, SOCK_CLOEXEC));
    if (connection) {
        set_flag(connection.get(), IPPROTO_TCP, TCP_NODELAY);
        set_flag(connection.get(), SOL_SOCKET, SO_KEEPALIVE); // a client's machine may vanish while idle
    }
    return connection;
}

io_result write_some(const tcp_socket &connection, std::string_view &head, std::string_view &body) {
    iovec parts[2] = {{const_cast<char *>(head.data()), head.size()},
                      {const_cast<char *>(body.data()), body.size()}};
    msghdr message{};
    message.msg_iov = parts;
    message.msg_iovlen = 2;
    const auto written = ::sendmsg(connection.get(), &message, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (written < 0)
        return io_error(errno);
    const auto size = static_cast<std::size_t>(written);
    const std::size_t of_head = std::min(size, head.size());
    head.remove_prefix(of_head);
    body.remove_prefix(size - of_head);
    return {.status = size > 0 ? io_status::progressed : io_status::would_block, .size = size};
}

bool write_all(const tcp_socket &connection, std::string_view head, std::string_view body, double limit) {
    const double deadline = steady_now() + limit;
    while (!head.empty() || !body.empty()) {
        const io_result written = write_some(connection, head, body);
        if (written.status == io_status::failed)
            return false;
        if (written.status == io_status::progressed)
            continue;
        // Without system memory the socket itself has space, so that waiting for it would end at once.
        const bool no_buffer = written.error == ENOBUFS || written.error == ENOMEM;
        pollfd writable{connection.get(), POLLOUT, 0};
        const double left = deadline - steady_now();
        if (left <= 0)
            return false;
        if (no_buffer)
            wait_on({}, std::min(no_buffer_retry, left));
        else
            wait_on({&writable, 1}, left);
    }
    return true;
}

io_result read_some(const tcp_socket &connection, char *to, std::size_t size) {
    const auto received = ::recv(connection.get(), to, size, MSG_DONTWAIT);
    if (received < 0)
        return io_error(errno);
    if (received == 0)
        return {.status = io_status::closed};
    return {.status = io_status::progressed, .size = static_cast<std::size_t>(received)};
}

long as_number(const io_result &received) {
    constexpr long failed = -1, would_block = -2;
    switch (received.status) {
    case io_status::progressed:
        return static_cast<long>(received.size);
    case io_status::closed:
        return 0;
    case io_status::would_block:
        return would_block;
    case io_status::failed:
        break;
    }
    return failed;
}

void close_gracefully(tcp_socket &connection, double limit, std::size_t max_dropped) {
    ::shutdown(connection.get(), SHUT_WR);
    const double deadline = steady_now() + limit;
    std::array<char, 4096> buffer;
    for (std::size_t dropped = 0; dropped < max_dropped;) {
        const io_result received = read_some(connection, buffer.data(), buffer.size());
        if (received.status == io_status::closed || received.status == io_status::failed)
            break;
        if (received.status == io_status::progressed) {
            dropped += received.size;
            continue;
        }
        pollfd readable{connection.get(), POLLIN, 0};
        const double left = deadline - steady_now();
        if (left <= 0)
            break;
        wait_on({&readable, 1}, left);
    }
    connection.close();
}

peek_result peek(const tcp_socket &connection) {
    char byte;
    const auto received = ::recv(connection.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (received > 0)
        return peek_result::data;
    if (received == 0)
        return peek_result::closed;
    return is_transient(errno) ? peek_result::empty : peek_result::reset;
}

} // namespace harrierpass
