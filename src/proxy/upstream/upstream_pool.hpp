// SPDX-License-Identifier: Apache-2.0
// The addresses of the endpoints, and the idle connections to them that are kept for later attempts. Every
// function may be called from any thread. Times are Unix times in seconds; endpoints are identified by the
// router's indices.
#pragma once

#include "base/counters.hpp"
#include "base/log.hpp"
#include "net/sockets.hpp"
#include "net/threads.hpp"
#include "proxy/upstream/upstream_close_reason.hpp"
#include "router/types.hpp"

#include <atomic>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <set>
#include <shared_mutex>
#include <string>
#include <string_view>
#include <vector>

namespace harrierpass::proxy {

// A connection to an endpoint, owned by the attempt that uses it or by the pool. Times are Unix times in
// seconds.
struct upstream_connection {
    tcp_socket socket; // empty: no connection was established
    endpoint_index endpoint = none;
    std::uint32_t address_version = 0; // of the endpoint when the connection was made
    double connected_at = 0;
    double last_used_at = 0;     // arrival of its last response
    double idle_time = 0;        // seconds that it was idle before its current attempt
    index attempts = 0;          // attempts made on it
    bool local_shortage = false; // no socket, because this machine lacks resources
};

// Owns the idle connections of all endpoints and counts those in use.
class upstream_pool {
public:
    // Timeouts are in seconds. `capacity`: file descriptors for clients' connections and for upstream
    // connections, both in use and idle.
    upstream_pool(double connect_timeout, double idle_timeout, std::size_t capacity, counters &counts,
                  log &logger)
        : connect_timeout_(connect_timeout), idle_timeout_(idle_timeout), capacity_(capacity),
          counters_(counts), log_(logger) {}

    // Changes the timeouts, in seconds; applies to connections that are idle already, too.
    void set_timeouts(double connect_timeout, double idle_timeout) {
        connect_timeout_ = connect_timeout;
        idle_timeout_ = idle_timeout;
    }
    // Closes idle connections beyond the new capacity.
    void set_capacity(std::size_t capacity, double now);
    // Returns the number of open connections, including those of clients and the further ones to discovery.
    std::size_t open_connections();
    // Sets the number of file descriptors that clients use now. Closes an idle connection if that exceeds the
    // capacity.
    void reserve_for_clients(std::size_t connections, double now);
    // The same for connections to discovery beyond the one that is always open.
    void reserve_for_discovery(std::size_t connections, double now);

    // Sets the address of an endpoint and the start time of its process. The index may have belonged to
    // another endpoint, which is no longer referenced.
    void set_endpoint(endpoint_index endpoint, std::string_view id, std::string_view host_port,
                      double started_at, double now);
    // Returns whether the connection leads to the address that its endpoint has now.
    bool leads_to_endpoint(const upstream_connection &connection);
    // Returns the id that was passed to set_endpoint().
    std::string id_of(endpoint_index endpoint);

    // Disables or enables an endpoint. No new request is written to a disabled endpoint after the return.
    void set_disabled(endpoint_index endpoint, bool disabled);
    // Calls `write`, the first write of an attempt or health check, which must not block. Returns false
    // without calling it if the endpoint is disabled.
    template <typename Write> bool write_unless_disabled(endpoint_index endpoint, Write write) {
        const std::shared_lock guard(disabled_lock_);
        if (disabled_.contains(endpoint))
            return false;
        write();
        return true;
    }

    // Returns an idle connection or a new one. It has no socket if none was established within `max_wait`
    // seconds or the connect timeout, whichever is shorter.
    upstream_connection acquire(endpoint_index endpoint, double now, double max_wait = forever);
    // Like acquire(), but always returns a new connection.
    upstream_connection connect_new(endpoint_index endpoint, double now, double max_wait = forever);
    // Returns a connection to the pool for later attempts.
    void release(upstream_connection connection, double now);
    // Closes an acquired connection.
    void close_connection(upstream_connection connection, double now, upstream_close_reason reason);

    // Closes all idle connections to the endpoint.
    void close_idle_of(endpoint_index endpoint, double now, upstream_close_reason reason);
    // Closes the idle connections that must not be reused.
    void close_stale(double now);
    // Closes the connection that has been idle longest, to free its file descriptor. Returns false if none is
    // idle.
    bool close_oldest_idle(double now);

private:
    // An endpoint and its idle connections.
    struct endpoint_slot {
        std::string id;
        std::string host_port;
        std::optional<address> remote_address; // empty: the endpoint list has no usable address
        std::uint32_t address_version = 0;     // changes with the id and with the address
        double started_at = 0;
        std::deque<upstream_connection> idle; // in order of last_used_at, latest last
    };
    // A connection that is closed after the lock is released.
    struct closing_connection {
        upstream_connection connection;
        upstream_close_reason reason;
    };

    // The descriptors in use. The caller holds lock_.
    [[nodiscard]] std::size_t used_descriptors() const {
        return open_ + client_connections_ + discovery_connections_;
    }
    // Sets the number of connections of a user outside the pool: `user` is one of the members for them.
    void reserve(std::size_t &user, std::size_t connections, double now);
    // Returns an idle connection that can be reused; closes the stale ones that it finds first.
    std::optional<upstream_connection> take_idle(endpoint_index endpoint, double now);
    // Connects within `timeout` seconds. If the socket is empty, errno is the reason.
    tcp_socket connect(const address &remote_address, double timeout, double now);
    // Counts and logs that no connection was established.
    void connect_failed(endpoint_index endpoint, const char *error);
    // Returns whether an idle connection must not be reused.
    bool is_stale(const upstream_connection &connection, const endpoint_slot &slot, double now) const;
    // Closes and logs the connections. The caller holds no lock.
    void close_all(std::vector<closing_connection> &connections, double now);

    std::atomic<double> connect_timeout_;
    std::atomic<double> idle_timeout_;
    std::atomic<std::size_t> capacity_;
    counters &counters_;
    log &log_;

    std::shared_mutex disabled_lock_; // held shared during a first write, exclusively by set_disabled()
    std::set<endpoint_index> disabled_;

    std::mutex lock_;                     // protects the members below
    std::deque<endpoint_slot> endpoints_; // by index
    std::size_t open_ = 0;                // upstream connections, in use and idle
    std::size_t client_connections_ = 0, discovery_connections_ = 0;
};

} // namespace harrierpass::proxy
