// SPDX-License-Identifier: Apache-2.0
// One HTTP/1.1 connection in a loop, of a client or a server: reads whole messages, writes text, never
// blocks. An idle connection holds no buffer. Used from the loop's thread only.
#pragma once

#include "net/http.hpp"
#include "net/sockets.hpp"
#include "testbed/loop/loop.hpp"

#include <memory>
#include <string>

namespace harrierpass::testbed {

// Owned by shared_ptr, as its callbacks may end it.
class channel : public std::enable_shared_from_this<channel> {
public:
    // How the other side ended it; `failed`: the connection did not come up.
    enum class ending { closed, reset, malformed, failed };

    // `reads`: requests on a server's side, responses on a client's.
    channel(loop &in, tcp_socket socket, http_reader::message_kind reads)
        : loop_(in), socket_(std::move(socket)), reads_(reads) {}
    ~channel();
    channel(const channel &) = delete;
    channel &operator=(const channel &) = delete;

    // Called from the loop; each may end the channel.
    std::function<void(const std::shared_ptr<channel> &, const http_reader &)> on_message;
    std::function<void(const std::shared_ptr<channel> &, ending)> on_end; // by the other side; once
    std::function<void(const std::shared_ptr<channel> &)> on_peer_closed_while_frozen;

    // Watches the socket. `connecting`: it is not connected yet, and what is sent waits for that.
    void start(bool connecting);
    void send(std::string_view text);
    // While frozen it neither reads nor writes, like a machine that is gone. If the other side closes
    // meanwhile, on_peer_closed_while_frozen is called; the connection ends, unread, once it is unfrozen.
    void set_frozen(bool frozen);
    void end(bool reset); // on_end is not called
    bool open() const { return static_cast<bool>(socket_); }
    bool has_partial_message() const { return partial_message_; } // part of a message has come

    // The owner's: its name for the connection, and when it was last used, s.
    std::uint64_t tag = 0;
    double used = 0;
    std::uint64_t messages = 0; // that were read whole

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
    std::string out_;
    bool connecting_ = false, frozen_ = false, partial_message_ = false, peer_gone_ = false;
};

// An IPv4 address from its number in host order (0x7f000001) and a port; the port of one.
address ipv4(std::uint32_t where, int port);
int port_of(const address &of);

// Starts to connect without waiting; empty where there are no descriptors or no route.
tcp_socket start_connecting(const address &to);

} // namespace harrierpass::testbed
