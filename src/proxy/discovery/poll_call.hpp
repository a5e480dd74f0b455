// SPDX-License-Identifier: Apache-2.0
// A poll that was sent to the discovery service: connects, writes the request and reads the response without
// blocking, so that several calls can be open at a time.
#pragma once

#include "discovery/poll_schedule.hpp"
#include "net/http.hpp"
#include "net/sockets.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <poll.h>
#include <string>
#include <string_view>
#include <utility>

namespace harrierpass::proxy {

// Owned and used by the polling thread. Times are in seconds of the dispatcher's clock.
class poll_call {
public:
    // The progress of the call.
    enum class state : std::uint8_t {
        connecting,
        sending,
        receiving,
        complete, // the response is whole
        failed    // the connection is broken, or the response is malformed or too large
    };

    // A call on an open connection, or, with `connect_timeout`, on one that start_dial() has returned and
    // that may take so long to be established. Throws std::bad_alloc.
    poll_call(tcp_socket connection, std::string request, const discovery::endpoint_poll &poll, double now,
              std::optional<double> connect_timeout = std::nullopt);
    ~poll_call() = default;
    poll_call(const poll_call &) = delete;
    poll_call &operator=(const poll_call &) = delete;

    // Does what is possible without waiting. Does nothing once the call is complete or has failed.
    state advance(double now);
    // What to wait for before the next advance(). The descriptor is -1 if only time helps.
    [[nodiscard]] pollfd awaited() const;

    [[nodiscard]] const discovery::endpoint_poll &poll() const { return poll_; }
    [[nodiscard]] double started_at() const { return started_at_; }
    // When the call counts as failed unless it is complete.
    [[nodiscard]] double deadline() const { return deadline_; }
    // Valid once the call is complete.
    [[nodiscard]] const http_head &head() const { return reader_.head(); }
    [[nodiscard]] std::string_view body() const { return reader_.body(); }
    // The connection of a complete call, for the next one. Leaves none.
    [[nodiscard]] tcp_socket take_connection() { return std::move(connection_); }

    static constexpr std::size_t max_response_size = 1024UL * 1024; // bytes; about 8,000 entries

private:
    void finish_connecting(double now);
    void send_request();
    void read_response();

    tcp_socket connection_;
    const std::string request_;
    std::string_view unsent_;
    const discovery::endpoint_poll poll_;
    const double started_at_;
    double deadline_;
    state state_;
    bool lacks_buffer_ = false; // the system had no buffer for the request: polling the socket would spin
    std::unique_ptr<char[]> buffer_; // not initialized, so that only what is received takes memory
    http_reader reader_;
};

} // namespace harrierpass::proxy
