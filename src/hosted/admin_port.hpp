// SPDX-License-Identifier: Apache-2.0
// The administration API on a listener of its own: HTTP/1.1, with TLS or, where none is set, on loopback
// only. A thread for each connection, few of them, and limits on all that a caller may take of time and
// memory.
#pragma once

#include "admin/api.hpp"
#include "base/log.hpp"
#include "hosted/admin_limits.hpp"
#include "hosted/admin_session.hpp"
#include "hosted/event_counters.hpp"
#include "hosted/tls.hpp"
#include "net/threads.hpp"

#include <atomic>
#include <map>
#include <optional>

namespace harrierpass::hosted {

// The listener and its accepting thread. The destructor returns once every connection has ended.
class admin_port {
public:
    // Throws std::system_error where it cannot listen, invalid_identity for a plain listener that is not on
    // loopback. `as` may be null: plain.
    admin_port(admin::api &calls, const identity *as, const address &where, log &lines,
               const admin_limits &limits = {});
    ~admin_port(); // answers what is in hand
    admin_port(const admin_port &) = delete;
    admin_port &operator=(const admin_port &) = delete;

    // Where it listens.
    address at() const { return at_; }
    // How often each thing happened, by its word in the log.
    std::map<std::string, std::uint64_t> event_counts() const { return counters_.counts(); }

private:
    // The accepting thread: accepts until the destructor says to stop, then waits for the connections to end.
    void run();
    // Accepts a connection if one is waiting, and starts its thread.
    void accept_one();
    // False: there was no thread or no memory for one; the connection is still in `socket`.
    bool start_serving(tcp_socket &socket, const address &peer);
    // On the accepting thread, so each step has a short limit.
    void reject_without_thread(tcp_socket socket, const address &peer);
    // A connection's thread, from handshake to end.
    void serve(tcp_socket socket, const std::string &peer);
    // Answers a connection whose thread cannot go on.
    static void answer_failure(stream &with, request_progress progress);
    // Logs an exception; without memory for that, nothing.
    void log_failure(const std::string &peer, const char *what);
    // Counts and logs it; without memory for that, neither.
    void record_end(const std::string &peer, std::uint64_t requests, const char *reason);

    admin::api &api_;
    const identity *const identity_;
    log &log_;
    const admin_limits limits_;
    tcp_socket socket_;
    address at_;
    std::atomic<bool> stopping_ = false;
    std::atomic<std::size_t> open_connections_ = 0;
    event_counters counters_;
    std::optional<joined_thread> acceptor_;
};

} // namespace harrierpass::hosted
