// SPDX-License-Identifier: Apache-2.0
// One HTTP connection in a loop, either side of it: whole messages come out, text goes in, nothing blocks. A
// connection at rest holds no buffer.
#pragma once

#include "net/http.hpp"
#include "net/sockets.hpp"
#include "testbed/loop/loop.hpp"

#include <memory>
#include <string>

namespace harrierpass::testbed {

class channel : public std::enable_shared_from_this<channel> {
public:
    enum class ending { closed, reset, malformed, failed };

    channel(loop &in, tcp_socket socket, http_reader::message_kind reads)
        : loop_(in), socket_(std::move(socket)), reads_(reads) {}
    ~channel();
    channel(const channel &) = delete;
    channel &operator=(const channel &) = delete;

    // Called from the loop; each may end the channel.
    std::function<void(const std::shared_ptr<channel> &, const http_reader &)> on_message;
    std::function<void(const std::shared_ptr<channel> &, ending)> on_end; // the other side's doing; once
    std::function<void(const std::shared_ptr<channel> &)> on_peer_closed_while_frozen; // while it stands

    void start(bool connecting); // watches; connecting: until it is up, what is sent waits
    void send(std::string_view text);
    // Neither reads nor writes, as a machine that is gone. That the other side has closed meanwhile is told
    // by on_gone; the connection ends, with what waits in it unread, when this stands no longer.
    void set_frozen(bool frozen);
    void end(bool reset); // without on_end
    bool open() const { return static_cast<bool>(socket_); }
    bool has_partial_message() const { return partial_message_; } // part of a message has come

    // The owner's: what it knows the connection by, and when it was last used, s.
    std::uint64_t tag = 0;
    double used = 0;
    std::uint64_t messages = 0; // that came

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

// An IPv4 address by its number, as 0x7f000001, and a port; the port of one.
address ipv4(std::uint32_t where, int port);
int port_of(const address &of);

// Starts to connect; without a socket where none can be had.
tcp_socket start_connecting(const address &to);

} // namespace harrierpass::testbed
