// SPDX-License-Identifier: Apache-2.0
// A cache server of a fleet, or the origin in aside mode, on a socket. The model decides what is answered and
// when; this gives it connections, and closes them as a process or a machine that dies would.
#pragma once

#include "testbed/loop/channel.hpp"
#include "testbed/model/servers.hpp"

#include <unordered_map>

namespace harrierpass::testbed {

// One server's listener and connections. `in` and `of` outlive it.
class server_port {
public:
    // `number`: the server's, or the fleet's size for the origin. Throws std::system_error where `at` is
    // taken.
    server_port(loop &in, fleet &of, index number, const address &at);
    ~server_port();
    server_port(const server_port &) = delete;
    server_port &operator=(const server_port &) = delete;
    std::string at() const { return to_text(at_); }
    void update_from_model(); // its state has changed: up, silent or another incarnation
    std::function<void(index server, bool begins)> on_connection; // one was accepted, or is over

private:
    // The attempt in flight on a connection.
    struct work {
        operation op;
        index attempt;
    };
    void listen();
    void accept();
    void set_backlog_full(bool begins);
    void message(const std::shared_ptr<channel> &on, const http_reader &request);
    void finish(const std::shared_ptr<channel> &on, bool write, std::string_view key, std::string_view id,
                const result &with);
    void on_attempt_over(std::uint64_t tag);
    void close_idle_connections();
    void connection(bool begins);

    loop &loop_;
    fleet &fleet_;
    const index number_;
    tcp_socket listening_;
    address at_;
    std::vector<tcp_socket> backlog_fillers_; // connections that nobody accepts, so that no other comes up
    std::unordered_map<std::uint64_t, std::shared_ptr<channel>> open_; // by tag
    std::unordered_map<std::uint64_t, work> in_flight_;                // by tag
    std::uint64_t next_ = 1, incarnation_ = 0;
    std::uint64_t malformed_responses_ = 0;
    std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

} // namespace harrierpass::testbed
