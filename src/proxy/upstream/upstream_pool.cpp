// SPDX-License-Identifier: Apache-2.0
#include "proxy/upstream/upstream_pool.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace harrierpass::proxy {
namespace {

constexpr double settling_time = 0.005; // s after a response within which a close by the endpoint would show

} // namespace

void upstream_pool::set_endpoint(endpoint_index endpoint, std::string_view id, std::string_view host_port,
                                 double started_at, double now) {
    const auto where = parse_address(host_port);
    if (!where)
        log_.warning("server ", id, " has no usable address: ", host_port);
    bool is_same = false;
    {
        const std::lock_guard hold(lock_);
        if (endpoint.value() >= endpoints_.size())
            endpoints_.resize(std::size_t{endpoint.value()} + 1);
        is_same = endpoints_[endpoint.value()].id == id;
    }
    // No request for the new endpoint may be written on a connection to the old one.
    if (!is_same)
        close_idle_of(endpoint, now, upstream_close_reason::endpoint_removed);
    const std::lock_guard hold(lock_);
    auto &slot = endpoints_[endpoint.value()];
    slot.id = id;
    slot.where = where;
    slot.started_at = started_at;
}

void upstream_pool::set_capacity(std::size_t capacity, double now) {
    capacity_ = capacity;
    while (open_connections() > capacity && close_oldest_idle(now)) {
    }
}

std::size_t upstream_pool::open_connections() {
    const std::lock_guard hold(lock_);
    return open_ + client_connections_;
}

void upstream_pool::set_disabled(endpoint_index endpoint, bool disabled) {
    const std::unique_lock no_writes(disabled_lock_);
    if (disabled)
        disabled_.insert(endpoint);
    else
        disabled_.erase(endpoint);
}

void upstream_pool::reserve_for_clients(std::size_t count, double now) {
    bool over_capacity = false;
    {
        const std::lock_guard hold(lock_);
        client_connections_ = count;
        over_capacity = open_ + client_connections_ > capacity_;
    }
    if (over_capacity)
        close_oldest_idle(now);
}

std::string upstream_pool::id_of(endpoint_index endpoint) {
    const std::lock_guard hold(lock_);
    return endpoints_.at(endpoint.value()).id;
}

// A connection that may have ended, or is to a process before the present one, would break under the request
// that is written to it, and nobody could tell whether that was executed.
bool upstream_pool::is_stale(const upstream_connection &connection, const endpoint_slot &slot,
                             double now) const {
    const double idle_time = now - connection.last_used_at;
    return idle_time > idle_timeout_ * idle_reuse_share || connection.connected_at < slot.started_at ||
           peek(connection.socket) != peek_result::empty;
}

upstream_connection upstream_pool::acquire(endpoint_index endpoint, double now, double limit) {
    auto idle = take_idle(endpoint, now);
    if (!idle)
        return connect_new(endpoint, now, limit);
    idle->idle_time = now - idle->last_used_at;
    counters_.add(counter::upstream_connections_reused);
    return std::move(*idle);
}

// An endpoint may close its connections right after a response. So the latest connection is taken that has
// been idle long enough to show it, else the one that has been idle longest.
std::optional<upstream_connection> upstream_pool::take_idle(endpoint_index endpoint, double now) {
    std::vector<closing_connection> stale;
    std::optional<upstream_connection> found;
    {
        const std::lock_guard hold(lock_);
        auto &slot = endpoints_.at(endpoint.value());
        while (!slot.idle.empty() && !found) {
            const auto settled = std::find_if(slot.idle.rbegin(), slot.idle.rend(), [&](const auto &each) {
                return now - each.last_used_at >= settling_time;
            });
            const auto chosen = settled == slot.idle.rend() ? slot.idle.begin() : std::prev(settled.base());
            if (is_stale(*chosen, slot, now))
                stale.push_back({std::move(*chosen), upstream_close_reason::stale});
            else
                found = std::move(*chosen);
            slot.idle.erase(chosen);
        }
    }
    close_all(stale, now);
    return found;
}

upstream_connection upstream_pool::connect_new(endpoint_index endpoint, double now, double limit) {
    std::optional<address> where;
    bool over_capacity = false;
    {
        const std::lock_guard hold(lock_);
        where = endpoints_.at(endpoint.value()).where;
        ++open_;
        over_capacity = open_ + client_connections_ > capacity_;
    }
    if (over_capacity)
        close_oldest_idle(now);
    upstream_connection connection;
    connection.endpoint = endpoint;
    connection.connected_at = connection.last_used_at = now;
    counters_.add(counter::upstream_connects);
    if (!where) {
        connect_failed(endpoint, "no address");
        return connection;
    }
    connection.socket = connect(*where, std::min(connect_timeout_.load(), limit), now);
    if (!connection.socket) {
        const int error = errno;
        connection.local_shortage = is_local_shortage(error);
        connect_failed(endpoint, std::strerror(error));
    }
    return connection;
}

// Tries once more where an idle connection could be closed to end a shortage on this machine. Without a
// connection errno tells why.
tcp_socket upstream_pool::connect(const address &where, double limit, double now) {
    tcp_socket socket = dial(where, limit);
    if (!socket && is_local_shortage(errno) && close_oldest_idle(now))
        socket = dial(where, limit);
    return socket;
}

void upstream_pool::connect_failed(endpoint_index endpoint, const char *error) {
    counters_.add(counter::upstream_connects_failed);
    const std::lock_guard hold(lock_);
    --open_;
    log_.debug("server-dial-failed server=", endpoints_[endpoint.value()].id, " error=", error);
}

void upstream_pool::release(upstream_connection connection, double now) {
    connection.last_used_at = now;
    const std::lock_guard hold(lock_);
    endpoints_.at(connection.endpoint.value()).idle.push_back(std::move(connection));
}

void upstream_pool::close_connection(upstream_connection connection, double now,
                                     upstream_close_reason reason) {
    std::vector<closing_connection> closing;
    closing.push_back({std::move(connection), reason});
    close_all(closing, now);
}

void upstream_pool::close_idle_of(endpoint_index endpoint, double now, upstream_close_reason reason) {
    std::vector<closing_connection> closing;
    {
        const std::lock_guard hold(lock_);
        auto &idle = endpoints_.at(endpoint.value()).idle;
        for (auto &each : idle)
            closing.push_back({std::move(each), reason});
        idle.clear();
    }
    close_all(closing, now);
}

void upstream_pool::close_stale(double now) {
    std::vector<closing_connection> closing;
    {
        const std::lock_guard hold(lock_);
        for (auto &slot : endpoints_)
            while (!slot.idle.empty() && is_stale(slot.idle.front(), slot, now)) {
                closing.push_back({std::move(slot.idle.front()), upstream_close_reason::stale});
                slot.idle.pop_front();
            }
    }
    close_all(closing, now);
}

bool upstream_pool::close_oldest_idle(double now) {
    std::vector<closing_connection> closing;
    {
        const std::lock_guard hold(lock_);
        endpoint_slot *oldest = nullptr;
        for (auto &slot : endpoints_) {
            if (slot.idle.empty())
                continue;
            if (oldest == nullptr || slot.idle.front().last_used_at < oldest->idle.front().last_used_at)
                oldest = &slot;
        }
        if (oldest != nullptr) {
            closing.push_back({std::move(oldest->idle.front()), upstream_close_reason::reclaimed});
            oldest->idle.pop_front();
        }
    }
    close_all(closing, now);
    return !closing.empty();
}

void upstream_pool::close_all(std::vector<closing_connection> &closing, double now) {
    for (auto &[connection, reason] : closing) {
        std::string id;
        {
            const std::lock_guard hold(lock_);
            --open_;
            id = endpoints_[connection.endpoint.value()].id;
        }
        connection.socket.close();
        if (reason == upstream_close_reason::stale)
            counters_.add(counter::upstream_connections_stale);
        log_.info("connection-end side=server server=", id, " executions=", connection.attempts,
                  " open=", now - connection.connected_at, " rested=", connection.idle_time,
                  " reason=", log_text(reason));
    }
}

} // namespace harrierpass::proxy
