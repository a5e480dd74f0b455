// SPDX-License-Identifier: Apache-2.0
// Two connected sockets, whose buffers and ends a test controls.
#pragma once

#include "net/sockets.hpp"

#include <array>
#include <doctest/doctest.h>
#include <string>
#include <sys/socket.h>

namespace harrierpass::test {

struct socket_pair {
    socket_pair() {
        std::array<int, 2> ends{};
        REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()) == 0);
        proxy_end = tcp_socket(ends[0]);
        peer_end = tcp_socket(ends[1]);
    }
    // Writes until the proxy's socket accepts no more; returns the number of bytes written.
    std::size_t fill() const {
        const std::string filling(4096, 'f');
        std::size_t written = 0;
        for (const std::size_t part : {filling.size(), std::size_t{1}})
            for (ssize_t size = 0; (size = ::send(proxy_end.get(), filling.data(), part, MSG_DONTWAIT)) > 0;)
                written += static_cast<std::size_t>(size);
        return written;
    }
    void send_from_peer(const std::string &text) const {
        REQUIRE(::send(peer_end.get(), text.data(), text.size(), 0) == static_cast<ssize_t>(text.size()));
    }
    // Returns the bytes that the peer can read: up to the end of the connection, or those that are there now.
    std::string read_as_peer(int flags) const {
        std::string all;
        std::array<char, 4096> part{};
        for (ssize_t size = 0; (size = ::recv(peer_end.get(), part.data(), part.size(), flags)) > 0;)
            all.append(part.data(), static_cast<std::size_t>(size));
        return all;
    }
    std::string read_to_end() const { return read_as_peer(0); }
    std::size_t readable_size() const { return read_as_peer(MSG_DONTWAIT).size(); }

    tcp_socket proxy_end;
    tcp_socket peer_end;
};

} // namespace harrierpass::test
