// SPDX-License-Identifier: Apache-2.0
// Where the servers are, and the connections to them that are kept for the next execution.
#pragma once

#include "base/counters.hpp"
#include "base/log.hpp"
#include "net/sockets.hpp"
#include "net/threads.hpp"
#include "router/types.hpp"

#include <atomic>
#include <deque>
#include <mutex>
#include <set>
#include <shared_mutex>
#include <vector>

namespace harrierpass::proxy {

struct upstream_connection {
    tcp_socket socket;
    index endpoint = none;
    double connected_at = 0; // when it came up, s
    double last_used_at = 0; // when its last answer came, s
    double idle_time = 0;    // s that it idled before its last execution
    index attempts = 0;
    bool local_shortage = false; // without a socket: for want of something on this machine
};

class upstream_pool {
public:
    // `most`: descriptors, for connections in use, kept ones and clients' together.
    upstream_pool(double dial_limit, double idle_limit, std::size_t most, counters &count, log &lines)
        : dial_limit_(dial_limit), idle_limit_(idle_limit), most_(most), counters_(count), log_(lines) {}

    // Other limits from now on, s; for connections that idle, too.
    void set_timeouts(double dial, double idle) {
        dial_limit_ = dial;
        idle_limit_ = idle;
    }
    // Another process holds some: so many are left for all connections together.
    void set_capacity(std::size_t most, double now);
    std::size_t open_connections(); // connections, clients' ones too
    // So many descriptors are clients' now; what is kept beyond the rest ends.
    void reserve_for_clients(std::size_t count, double now);
    // Where a server is. The index may have been another's, to which nothing refers any more.
    void set_endpoint(index server, std::string_view id, std::string_view host_port, double started,
                      double now);

    std::string id_of(index server);

    // Nothing new is written to a server that is out by hand. When set_out() returns nothing new can be.
    void set_disabled(index server, bool out);
    // Does `write`, the first of an execution or probe, unless the server is out (false).
    template <typename Write> bool unless_disabled(index server, Write write) {
        const std::shared_lock pass(gate_);
        if (disabled_.contains(server))
            return false;
        write();
        return true;
    }

    // One that is kept, or a new one; without a socket where none came up in time. `most`: s that the caller
    // has for it, where that is less than the dial limit.
    upstream_connection acquire(index server, double now, double most = forever);
    upstream_connection connect_new(index server, double now, double most = forever);
    void release(upstream_connection from, double now);
    void close_connection(upstream_connection from, double now, const char *reason);
    void close_idle_of(index server, double now, const char *reason); // all that idle there
    void close_stale(double now);
    bool close_oldest_idle(double now); // gives a descriptor back; false: none idles

private:
    struct endpoint_slot {
        std::string id;
        std::optional<address> at;
        double started = 0;
        std::deque<upstream_connection> idle; // the latest used last
    };
    using closed_connections = std::vector<std::pair<upstream_connection, const char *>>;
    bool is_stale(const upstream_connection &one, const endpoint_slot &to, double now) const;
    void close(closed_connections &those, double now);

    std::atomic<double> dial_limit_, idle_limit_;
    std::atomic<std::size_t> most_;
    counters &counters_;
    log &log_;
    std::shared_mutex gate_; // held over first writes, none of which waits
    std::set<index> disabled_;
    std::mutex lock_;
    std::deque<endpoint_slot> endpoints_; // by index
    std::size_t open_ = 0, clients_ = 0;
};

} // namespace harrierpass::proxy
