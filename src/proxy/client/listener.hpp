// SPDX-License-Identifier: Apache-2.0
// Accepts clients' connections and gives each a thread of its own; closes idle ones when there is little room
// left for further ones.
#pragma once

#include "proxy/client/close_reason.hpp"
#include "proxy/request/request_session.hpp"

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <optional>
#include <string>

namespace harrierpass::proxy {

// One listening socket and the connections that came from it. run() is the accepting thread.
class listener {
public:
    // At `max_connections` further connections have their requests rejected, and somewhat above it they are
    // not accepted. From `reclaim_threshold` on one idle connection is closed for each that is accepted.
    listener(proxy_context &context, tcp_socket listening, std::size_t max_connections,
             std::size_t reclaim_threshold)
        : context_(context), socket_(std::move(listening)), max_connections_(max_connections),
          reclaim_threshold_(std::min(max_connections, reclaim_threshold)) {}

    // Changes both limits, as another process of this proxy holds other connections. Any thread.
    void set_capacity(std::size_t max_connections, std::size_t reclaim_threshold) {
        max_connections_ = max_connections;
        reclaim_threshold_ = std::min(max_connections, reclaim_threshold);
    }

    // Whether another process accepts the connections now; asked before each one. Set before run().
    std::function<bool()> has_successor = [] { return false; };

    // The listening socket.
    [[nodiscard]] const tcp_socket &socket() const { return socket_; }

    // How many connections are open. Any thread.
    [[nodiscard]] std::size_t connections();

    // The accepting thread's loop. Returns once connections are to close and none is left.
    void run();

private:
    // A connection as the accepting thread knows it. Removed by the connection's thread at its end.
    struct connection_entry {
        pthread_t thread{};     // valid once `started`
        bool started = false;   // with the next two under lock_
        bool idle = false;      // its thread waits for a request
        double idle_since = 0;  // Unix time, s
        double idle_before = 0; // s idle before its latest request or its end; its thread's own
        std::atomic<bool> has_sent_request = false;
        std::atomic<bool> must_close = false; // to make room
    };

    bool accept_one(); // false: none is waiting, or none can be accepted now
    // Accepts until none is waiting, or none can be accepted now.
    void accept_all();
    bool on_accept_failed(int error); // true: another may be accepted at once
    // Adds an entry, and sets whether the connection is beyond the maximum. Throws std::bad_alloc.
    connection_entry &add_entry(client_connection &connection);
    // Removes the entry of a connection that has ended.
    void remove_entry(const connection_entry &entry);
    // Answers and closes a connection for which there was no thread or no memory. `entry`: null where there
    // was no memory for one.
    void reject_without_thread(tcp_socket &client, const connection_entry *entry, const address &peer);
    // Wakes the connections' threads as a stop begins, and as idle connections are to close.
    void notify_of_stop();
    // Wakes the threads of all connections.
    void wake_all();
    // The thread of a connection: serves its requests, closes and logs it, and removes its entry.
    void serve(connection_entry &entry, client_connection connection, const std::string &peer);
    // Serves requests until the connection is to close.
    close_reason serve_requests(connection_entry &entry, client_connection &connection);
    // Waits, without a buffer, for the first bytes of a request; why the connection is to close instead.
    std::optional<close_reason> await_request(connection_entry &entry, client_connection &connection);
    // Why a connection that has been idle for so many s is to close; empty: it stays.
    std::optional<close_reason> idle_close_reason(const connection_entry &entry,
                                                  const client_connection &connection, double idle_for);
    // Records when the connection became idle or busy.
    void set_idle(connection_entry &entry, bool idle);
    // Tells one idle connection to close; false: there is none.
    bool close_one_idle();
    bool exceeds(double share); // more connections are open than this share of the maximum

    proxy_context &context_;
    tcp_socket socket_;
    std::atomic<std::size_t> max_connections_, reclaim_threshold_;
    bool notified_of_drain_ = false, notified_of_close_ = false; // the accepting thread's own
    std::mutex lock_;                                            // protects entries_
    std::list<connection_entry> entries_;
};

} // namespace harrierpass::proxy
