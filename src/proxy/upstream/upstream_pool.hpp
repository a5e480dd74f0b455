// SPDX-License-Identifier: Apache-2.0
// Where the endpoints are, and the idle connections to them that are kept for the next attempt. All functions
// may be called by several threads. Times are Unix times in seconds; an endpoint is named by the router's
// index.
#pragma once

#include "base/counters.hpp"
#include "base/log.hpp"
#include "net/sockets.hpp"
#include "net/threads.hpp"
#include "proxy/upstream/upstream_close_reason.hpp"
#include "router/types.hpp"

#include <atomic>
#include <deque>
#include <mutex>
#include <optional>
#include <set>
#include <shared_mutex>
#include <string>
#include <string_view>
#include <vector>

namespace harrierpass::proxy {

struct upstream_connection {
    tcp_socket socket; // empty: no connection came up
    endpoint_index endpoint = none;
    double connected_at = 0;
    double last_used_at = 0;     // when its last response came
    double idle_time = 0;        // s that it was idle before its present attempt
    index attempts = 0;          // made on it
    bool local_shortage = false; // without a socket: for a shortage on this machine
};

class upstream_pool {
public:
    // Limits in seconds. `capacity`: descriptors for clients' connections and for these, in use and idle.
    upstream_pool(double connect_timeout, double idle_timeout, std::size_t capacity, counters &count,
                  log &logger)
        : connect_timeout_(connect_timeout), idle_timeout_(idle_timeout), capacity_(capacity),
          counters_(count), log_(logger) {}

    // Other limits from now on, s; they hold for connections that are idle, too.
    void set_timeouts(double connect_timeout, double idle_timeout) {
        connect_timeout_ = connect_timeout;
        idle_timeout_ = idle_timeout;
    }
    // Closes idle connections beyond the new capacity.
    void set_capacity(std::size_t capacity, double now);
    // How many there are, the clients' included.
    std::size_t open_connections();
    // Clients have so many descriptors now. Closes an idle connection where that makes too many.
    void reserve_for_clients(std::size_t count, double now);

    // Sets where an endpoint is and when its process started. Its index may have been another endpoint's, to
    // which nothing refers any more.
    void set_endpoint(endpoint_index endpoint, std::string_view id, std::string_view host_port,
                      double started_at, double now);
    std::string id_of(endpoint_index endpoint);

    // When this returns, nothing new is written to a disabled endpoint.
    void set_disabled(endpoint_index endpoint, bool disabled);
    // Calls `write`, the first write of an attempt or health check, which must not wait. False, without a
    // call: the endpoint is disabled.
    template <typename Write> bool unless_disabled(endpoint_index endpoint, Write write) {
        const std::shared_lock writing(disabled_lock_);
        if (disabled_.contains(endpoint))
            return false;
        write();
        return true;
    }

    // An idle connection or a new one; without a socket where none came up within `limit` seconds or the
    // connect timeout, whichever is shorter.
    upstream_connection acquire(endpoint_index endpoint, double now, double limit = forever);
    upstream_connection connect_new(endpoint_index endpoint, double now, double limit = forever);
    // Gives a connection back for the next attempt.
    void release(upstream_connection connection, double now);
    void close_connection(upstream_connection connection, double now, upstream_close_reason reason);

    // Closes all that are idle at the endpoint.
    void close_idle_of(endpoint_index endpoint, double now, upstream_close_reason reason);
    // Closes the idle ones that cannot be used again.
    void close_stale(double now);
    // Closes the connection that has been idle longest, for its descriptor. False: none is idle.
    bool close_oldest_idle(double now);

private:
    struct endpoint_slot {
        std::string id;
        std::optional<address> where; // empty: the endpoint list names no usable address
        double started_at = 0;
        std::deque<upstream_connection> idle; // by last_used_at, the latest at the back
    };
    struct closing_connection {
        upstream_connection connection;
        upstream_close_reason reason;
    };

    std::optional<upstream_connection> take_idle(endpoint_index endpoint, double now);
    tcp_socket connect(const address &where, double limit, double now);
    void connect_failed(endpoint_index endpoint, const char *error);
    bool is_stale(const upstream_connection &connection, const endpoint_slot &slot, double now) const;
    void close_all(std::vector<closing_connection> &closing, double now);

    std::atomic<double> connect_timeout_;
    std::atomic<double> idle_timeout_;
    std::atomic<std::size_t> capacity_;
    counters &counters_;
    log &log_;

    std::shared_mutex disabled_lock_; // shared while a first write is made
    std::set<endpoint_index> disabled_;

    std::mutex lock_;                     // guards what follows
    std::deque<endpoint_slot> endpoints_; // by index
    std::size_t open_ = 0;                // these connections, in use and idle
    std::size_t client_connections_ = 0;
};

} // namespace harrierpass::proxy
