// SPDX-License-Identifier: Apache-2.0
// An endpoint whose bytes and pauses a test controls, and helpers to read and write on its connections.
#pragma once

#include "support/helpers.hpp"

#include "net/sockets.hpp"

#include <doctest/doctest.h>
#include <netinet/tcp.h>
#include <sys/time.h>
#include <vector>

namespace harrierpass::test {

// Limits the bytes that the system takes for the endpoint while it reads nothing. With small segments the
// system also gives the sender a small buffer.
inline void use_small_buffers(int listening_socket) {
    const int receive_buffer_size = 16384; // bytes
    const int segment_size = 536;          // bytes
    ::setsockopt(listening_socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer_size, sizeof receive_buffer_size);
    ::setsockopt(listening_socket, IPPROTO_TCP, TCP_MAXSEG, &segment_size, sizeof segment_size);
}

// An endpoint that passes each accepted connection to a function, which reads and writes its bytes.
class raw_endpoint {
public:
    raw_endpoint(const raw_endpoint &) = delete;
    raw_endpoint &operator=(const raw_endpoint &) = delete;
    explicit raw_endpoint(std::function<void(int fd)> handle_connection, bool has_small_buffers = false)
        : handle_connection_(std::move(handle_connection)),
          listening_socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
        if (has_small_buffers)
            use_small_buffers(listening_socket_);
        auto bound_address = loopback_address(0);
        socklen_t size = sizeof bound_address;
        if (::bind(listening_socket_, reinterpret_cast<sockaddr *>(&bound_address), size) != 0 ||
            ::listen(listening_socket_, 8) != 0)
            throw std::runtime_error("no port");
        ::getsockname(listening_socket_, reinterpret_cast<sockaddr *>(&bound_address), &size);
        port = ntohs(bound_address.sin_port);
        thread_ = std::thread([this] {
            for (int fd; (fd = ::accept(listening_socket_, nullptr, nullptr)) >= 0;) {
                handle_connection_(fd);
                ::close(fd);
            }
        });
    }
    ~raw_endpoint() {
        ::shutdown(listening_socket_, SHUT_RDWR);
        thread_.join();
        ::close(listening_socket_);
    }
    int port = 0;

private:
    std::function<void(int)> handle_connection_;
    int listening_socket_;
    std::thread thread_;
};

// Reads byte by byte until the end of a message's head, which it returns.
inline std::string read_head(int fd) {
    std::string head;
    for (char byte; head.find("\r\n\r\n") == std::string::npos && ::recv(fd, &byte, 1, 0) == 1;)
        head += byte;
    return head;
}

inline void write_filler(int fd, std::size_t size) {
    const std::string part(65536, 'v');
    for (; size > 0; size -= std::min(size, part.size()))
        send_all(fd, part.substr(0, std::min(size, part.size())));
}

// Returns how many bytes were read before the end of the connection, `size` at most.
inline std::size_t read_bytes(int fd, std::size_t size) {
    std::vector<char> part(65536);
    std::size_t received = 0;
    for (long count; received < size; received += static_cast<std::size_t>(count))
        if ((count = ::recv(fd, part.data(), std::min(part.size(), size - received), 0)) <= 0)
            break;
    return received;
}

// Reads until the peer closes the connection or its time limit passes.
inline std::string read_to_end(int fd) {
    std::string received;
    std::vector<char> part(65536);
    for (long count; (count = ::recv(fd, part.data(), part.size(), 0)) > 0;)
        received.append(part.data(), static_cast<std::size_t>(count));
    return received;
}

inline int connect_to_port(int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const auto peer = loopback_address(port);
    REQUIRE(::connect(fd, reinterpret_cast<const sockaddr *>(&peer), sizeof peer) == 0);
    return fd;
}

// A client whose reads and writes end after some seconds, so that a missing response fails the test instead
// of blocking it.
inline tcp_socket connect_with_time_limit(int port, time_t seconds = 3) {
    tcp_socket client(connect_to_port(port));
    const timeval limit{seconds, 0};
    ::setsockopt(client.get(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::setsockopt(client.get(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    return client;
}

// The head of an upload whose body is framed by `framing_field`.
inline std::string upload_head(const std::string &deadline, const std::string &framing_field) {
    return "PUT /book/1 HTTP/1.1\r\nX-Request-Id: 1\r\nIdempotency-Key: k\r\nX-Deadline: " + deadline +
           "\r\n" + framing_field + "\r\n\r\n";
}

} // namespace harrierpass::test
