// SPDX-License-Identifier: Apache-2.0
// Accepts client connections and serves each in its own thread; closes idle connections when capacity for new
// ones is short.
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

// A listening socket and the connections accepted from it. run() is the body of the accepting thread.
class listener {
public:
    // The requests of connections above `max_connections` are rejected; further above it, connections are not
    // accepted. From `reclaim_threshold` on, an idle connection is closed for each new one.
    listener(proxy_context &context, tcp_socket listening_socket, std::size_t max_connections,
             std::size_t reclaim_threshold)
        : context_(context), socket_(std::move(listening_socket)), max_connections_(max_connections),
          reclaim_threshold_(std::min(max_connections, reclaim_threshold)) {}

    // Changes both limits, which depend on the connections of other processes of this proxy. Any thread.
    void set_capacity(std::size_t max_connections, std::size_t reclaim_threshold) {
        max_connections_ = max_connections;
        reclaim_threshold_ = std::min(max_connections, reclaim_threshold);
    }

    // Whether another process accepts connections now; called before each accept. Set before run().
    std::function<bool()> has_successor = [] { return false; };

    // Called by the accepting thread before it closes the listening socket. Set before run().
    std::function<void()> before_close = [] {};

    // The listening socket.
    [[nodiscard]] const tcp_socket &socket() const { return socket_; }

    // The number of open connections. Any thread.
    [[nodiscard]] std::size_t connections();

    // The loop of the accepting thread. Returns once the stop has reached its closing time and no connection
    // is left.
    void run();

private:
    // An open connection. Removed by the thread that serves the connection.
    struct connection_entry {
        pthread_t thread{};     // valid once `started`
        bool started = false;   // `started`, `idle` and `idle_since` are protected by lock_
        bool idle = false;      // its thread waits for a request
        double idle_since = 0;  // Unix time, s
        double idle_before = 0; // s idle before the latest request or the close; used by its thread only
        std::atomic<bool> has_sent_request = false;
        std::atomic<bool> must_close = false; // closed to free capacity
    };

    // Accepts one connection. Returns false if none is waiting or none can be accepted now.
    bool accept_one();
    // Accepts until no connection is waiting or none can be accepted now.
    void accept_all();
    // Handles an errno of accept(). Returns whether accepting can continue at once.
    bool on_accept_failed(int error);
    // Adds an entry, and sets the connection's over_capacity. Throws std::bad_alloc.
    connection_entry &add_entry(client_connection &connection);
    // Removes the entry of a closed connection.
    void remove_entry(const connection_entry &entry);
    // Rejects and closes a connection for which no thread or no memory was available. `entry`: null if there
    // was no memory for an entry.
    void reject_without_thread(tcp_socket &client, const connection_entry *entry, const address &peer);
    // Wakes the connections' threads when a stop begins and when idle connections have to close.
    void notify_of_stop();
    // Wakes the threads of all connections.
    void wake_all();
    // Body of a connection's thread: serves its requests, closes and logs it, and removes its entry.
    void serve(connection_entry &entry, client_connection connection, const std::string &peer);
    // Serves requests until the connection has to close; returns the reason.
    close_reason serve_requests(connection_entry &entry, client_connection &connection);
    // Waits, without a buffer, for the first bytes of a request. Returns the reason if the connection has to
    // close instead.
    std::optional<close_reason> await_request(connection_entry &entry, client_connection &connection);
    // The reason to close a connection that has been idle for `idle_for` s; empty: it stays open.
    std::optional<close_reason> idle_close_reason(const connection_entry &entry,
                                                  const client_connection &connection, double idle_for);
    // Records when the connection became idle or busy.
    void set_idle(connection_entry &entry, bool idle);
    // Makes one idle connection close. Returns false if there is none.
    bool close_one_idle();
    // Whether more connections are open than this share of the maximum.
    bool exceeds(double share);

    proxy_context &context_;
    tcp_socket socket_;
    std::atomic<std::size_t> max_connections_, reclaim_threshold_;
    bool notified_of_drain_ = false, notified_of_close_ = false; // used by the accepting thread only
    std::mutex lock_;                                            // protects entries_
    std::list<connection_entry> entries_;
};

} // namespace harrierpass::proxy
