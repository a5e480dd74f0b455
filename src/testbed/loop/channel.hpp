// SPDX-License-Identifier: Apache-2.0
// One HTTP/1.1 connection of a client or a server in an event loop. Reads whole messages and writes text
// without blocking. An idle connection has no buffer. Used from the loop's thread only.
#pragma once

#include "net/http.hpp"
#include "net/sockets.hpp"
#include "testbed/loop/loop.hpp"

#include <memory>
#include <string>

namespace harrierpass::testbed {

// Owned by shared_ptr, because its callbacks may end it.
class channel : public std::enable_shared_from_this<channel> {
public:
    // How the peer ended the connection; `failed`: it was never established.
    enum class ending { closed, reset, malformed, failed };

    // `reads`: requests for a server, responses for a client.
    channel(loop &event_loop, tcp_socket socket, http_reader::message_kind reads)
        : loop_(event_loop), socket_(std::move(socket)), reads_(reads) {}
    ~channel();
    channel(const channel &) = delete;
    channel &operator=(const channel &) = delete;

    // Called from the loop. Each of them may end the channel.
    std::function<void(const std::shared_ptr<channel> &, const http_reader &)> on_message;
    std::function<void(const std::shared_ptr<channel> &, ending)>
        on_end; // called once, if the peer ends the connection
    std::function<void(const std::shared_ptr<channel> &)> on_peer_closed_while_frozen;

    // Watches the socket. `connecting`: it may not be connected yet; send() queues text until it is.
    void start(bool connecting);
    void send(std::string_view text);
    // While frozen, the channel neither reads nor writes, like an unreachable machine. If the peer closes
    // meanwhile, on_peer_closed_while_frozen is called; the connection ends without another read when it is
    // unfrozen.
    void set_frozen(bool frozen);
    void end(bool reset); // on_end is not called
    bool open() const { return static_cast<bool>(socket_); }
    bool has_partial_message() const { return partial_message_; } // part of a message has been received

    // Set by the owner: its number for the connection, and the time of its last use, in seconds.
    std::uint64_t tag = 0;
    double used = 0;
    std::uint64_t messages = 0; // messages read completely

private:
    void on_events(std::uint32_t events);
    void read();
    void write();
    void end_by_peer(ending how);
    void update_interest();

    loop &loop_;
    tcp_socket socket_;
    const http_reader::message_kind reads_;
    std::unique_ptr<char[]> buffer_;
    std::unique_ptr<http_reader> reader_;
    std::string output_;
    bool connecting_ = false, frozen_ = false, partial_message_ = false, peer_closed_ = false;
};

// An IPv4 socket address from the host address in host order (0x7f000001) and a port; the port of one.
address ipv4(std::uint32_t host, int port);
int port_of(const address &socket_address);

} // namespace harrierpass::testbed
