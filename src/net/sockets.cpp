// SPDX-License-Identifier: Apache-2.0
#include "net/sockets.hpp"

#include "net/threads.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <fcntl.h>
#include <netdb.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

namespace harrierpass {
namespace {

constexpr int listen_backlog = 1024; // connections

void set_flag(int fd, int level, int name) {
    const int enabled = 1;
    setsockopt(fd, level, name, &enabled, sizeof enabled);
}

// Waits for a connection attempt to finish; returns its errno, or 0 on success.
int connect_result(const tcp_socket &connection, double limit) {
    pollfd writable{connection.get(), POLLOUT, 0};
    const double deadline = steady_now() + limit;
    do {
        const double left = deadline - steady_now();
        if (left <= 0)
            return ETIMEDOUT;
        wait_on({&writable, 1}, left);
    } while (writable.revents == 0);
    return finish_dial(connection);
}

// Limits the duration of connect() and of blocking writes.
void set_send_timeout(const tcp_socket &connection, double limit) {
    constexpr suseconds_t min_timeout = 1000; // us; 0 would mean no limit
    timeval timeout{};
    timeout.tv_sec = static_cast<time_t>(limit);
    timeout.tv_usec =
        std::max<suseconds_t>(min_timeout, static_cast<suseconds_t>((limit - timeout.tv_sec) * 1e6));
    setsockopt(connection.get(), SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
}

// Whether a call may succeed if repeated: it was interrupted, would block, or the system had no buffer space.
bool is_transient(int error) {
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR || error == ENOBUFS || error == ENOMEM;
}

// The result of a call that failed with this errno.
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
                reinterpret_cast<char *>(&result.storage));
    result.size = found->ai_addrlen;
    freeaddrinfo(found);
    return result;
}

std::string to_text(const address &value) {
    char host[INET6_ADDRSTRLEN] = "?", port[8] = "?";
    getnameinfo(reinterpret_cast<const sockaddr *>(&value.storage), value.size, host, sizeof host, port,
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
    case EPERM: // forbidden by a rule of this machine
    case EACCES:
        return true;
    default:
        return false;
    }
}

tcp_socket socket_for(const address &target) {
    return tcp_socket(::socket(target.storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0));
}

tcp_socket dial(const address &target, double limit, tcp_socket prepared) {
    tcp_socket connection = prepared ? std::move(prepared) : socket_for(target);
    if (!connection)
        return connection;
    set_flag(connection.get(), IPPROTO_TCP, TCP_NODELAY);
    set_send_timeout(connection, limit);
    if (::connect(connection.get(), reinterpret_cast<const sockaddr *>(&target.storage), target.size) == 0)
        return connection;
    int error = errno;
    if (error == EINTR) // the connection attempt continues asynchronously (connect(2))
        error = connect_result(connection, limit);
    else if (error == EAGAIN) // no local port is free
        error = EADDRNOTAVAIL;
    if (error != 0)
        connection.close();
    errno = error;
    return connection;
}

tcp_socket start_dial(const address &target, tcp_socket prepared) {
    tcp_socket connection = prepared ? std::move(prepared) : socket_for(target);
    if (!connection)
        return connection;
    set_flag(connection.get(), IPPROTO_TCP, TCP_NODELAY);
    ::fcntl(connection.get(), F_SETFL, ::fcntl(connection.get(), F_GETFL) | O_NONBLOCK);
    if (::connect(connection.get(), reinterpret_cast<const sockaddr *>(&target.storage), target.size) == 0 ||
        errno == EINPROGRESS || errno == EINTR) // interrupted: it continues asynchronously (connect(2))
        return connection;
    const int error = errno == EAGAIN ? EADDRNOTAVAIL : errno; // EAGAIN: no local port is free
    connection.close();
    errno = error;
    return connection;
}

int finish_dial(const tcp_socket &connection) {
    int error = 0;
    socklen_t size = sizeof error;
    return ::getsockopt(connection.get(), SOL_SOCKET, SO_ERROR, &error, &size) == 0 ? error : errno;
}

tcp_socket listen_on(const address &local, bool shared) {
    tcp_socket listener(::socket(local.storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    if (!listener)
        return listener;
    set_flag(listener.get(), SOL_SOCKET, SO_REUSEADDR); // a restart binds the same address again
    if (shared)
        set_flag(listener.get(), SOL_SOCKET, SO_REUSEPORT);
    if (::bind(listener.get(), reinterpret_cast<const sockaddr *>(&local.storage), local.size) != 0 ||
        ::listen(listener.get(), listen_backlog) != 0) {
        const int error = errno;
        listener.close();
        errno = error;
    }
    return listener;
}

address local_address(const tcp_socket &socket) {
    address local;
    local.size = sizeof local.storage;
    getsockname(socket.get(), reinterpret_cast<sockaddr *>(&local.storage), &local.size);
    return local;
}

tcp_socket accept_on(const tcp_socket &listener, address &peer) {
    peer.size = sizeof peer.storage;
    tcp_socket connection(
        ::accept4(listener.get(), reinterpret_cast<sockaddr *>(&peer.storage), &peer.size, SOCK_CLOEXEC));
    if (connection) {
        set_flag(connection.get(), IPPROTO_TCP, TCP_NODELAY);
        set_flag(connection.get(), SOL_SOCKET, SO_KEEPALIVE); // detects a peer machine that failed while idle
    }
    return connection;
}

bool io_result::lacks_buffer() const {
    return error == ENOBUFS || error == ENOMEM;
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
    const std::size_t head_bytes = std::min(size, head.size());
    head.remove_prefix(head_bytes);
    body.remove_prefix(size - head_bytes);
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
        pollfd writable{connection.get(), POLLOUT, 0};
        const double left = deadline - steady_now();
        if (left <= 0)
            return false;
        if (written.lacks_buffer())
            wait_on({}, std::min(no_buffer_retry, left));
        else
            wait_on({&writable, 1}, left);
    }
    return true;
}

io_result read_some(const tcp_socket &connection, char *buffer, std::size_t size) {
    const auto received = ::recv(connection.get(), buffer, size, MSG_DONTWAIT);
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

std::optional<std::size_t> receive_buffer_size(const tcp_socket &connection) {
    int size = 0;
    socklen_t length = sizeof size;
    if (::getsockopt(connection.get(), SOL_SOCKET, SO_RCVBUF, &size, &length) != 0 || size <= 0)
        return std::nullopt;
    return static_cast<std::size_t>(size);
}

// A wake-up may end the first check.
bool peer_has_disconnected(const tcp_socket &connection) {
    pollfd hangup{connection.get(), POLLRDHUP, 0};
    const int ready = wait_on({&hangup, 1}, 0);
    return ready > 0 || (ready < 0 && wait_on({&hangup, 1}, 0) > 0);
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
