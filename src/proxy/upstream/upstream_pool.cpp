// SPDX-License-Identifier: Apache-2.0
#include "proxy/upstream/upstream_pool.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace harrierpass::proxy {
namespace {

// Seconds after a response within which a close by the endpoint is detected.
constexpr double close_detection_delay = 0.005;

} // namespace

void upstream_pool::set_endpoint(endpoint_index endpoint, std::string_view id, std::string_view host_port,
                                 double started_at, double now) {
    const auto remote_address = parse_address(host_port);
    if (!remote_address)
        log_.warning("server ", id, " has no usable address: ", host_port);
    bool is_moved = false;
    {
        const std::lock_guard guard(lock_);
        if (endpoint.value() >= endpoints_.size())
            endpoints_.resize(std::size_t{endpoint.value()} + 1);
        const auto &slot = endpoints_[endpoint.value()];
        is_moved = slot.id != id || slot.host_port != host_port;
    }
    // Closes the connections to the old endpoint or address, on which no request for the new one may be
    // written. Those in use are not reused.
    if (is_moved)
        close_idle_of(endpoint, now, upstream_close_reason::endpoint_removed);
    const std::lock_guard guard(lock_);
    auto &slot = endpoints_[endpoint.value()];
    slot.id = id;
    slot.host_port = host_port;
    slot.address_version += is_moved ? 1 : 0;
    slot.remote_address = remote_address;
    slot.started_at = started_at;
}

bool upstream_pool::leads_to_endpoint(const upstream_connection &connection) {
    const std::lock_guard guard(lock_);
    return endpoints_.at(connection.endpoint.value()).address_version == connection.address_version;
}

void upstream_pool::set_capacity(std::size_t capacity, double now) {
    capacity_ = capacity;
    while (open_connections() > capacity && close_oldest_idle(now)) {
    }
}

std::size_t upstream_pool::open_connections() {
    const std::lock_guard guard(lock_);
    return used_descriptors();
}

void upstream_pool::set_disabled(endpoint_index endpoint, bool disabled) {
    const std::unique_lock guard(disabled_lock_);
    if (disabled)
        disabled_.insert(endpoint);
    else
        disabled_.erase(endpoint);
}

void upstream_pool::reserve_for_clients(std::size_t connections, double now) {
    reserve(client_connections_, connections, now);
}

void upstream_pool::reserve_for_discovery(std::size_t connections, double now) {
    reserve(discovery_connections_, connections, now);
}

void upstream_pool::reserve(std::size_t &user, std::size_t connections, double now) {
    bool over_capacity = false;
    {
        const std::lock_guard guard(lock_);
        user = connections;
        over_capacity = used_descriptors() > capacity_;
    }
    if (over_capacity)
        close_oldest_idle(now);
}

std::string upstream_pool::id_of(endpoint_index endpoint) {
    const std::lock_guard guard(lock_);
    return endpoints_.at(endpoint.value()).id;
}

// A connection that may be closed, or that belongs to an earlier process of the endpoint, could break while a
// request is written, and it would be unknown whether the request was executed.
bool upstream_pool::is_stale(const upstream_connection &connection, const endpoint_slot &slot,
                             double now) const {
    const double idle_time = now - connection.last_used_at;
    return idle_time > idle_timeout_ * idle_reuse_share || connection.connected_at < slot.started_at ||
           connection.address_version != slot.address_version ||
           peek(connection.socket) != peek_result::empty;
}

upstream_connection upstream_pool::acquire(endpoint_index endpoint, double now, double max_wait) {
    auto idle = take_idle(endpoint, now);
    if (!idle)
        return connect_new(endpoint, now, max_wait);
    idle->idle_time = now - idle->last_used_at;
    counters_.add(counter::upstream_connections_reused);
    return std::move(*idle);
}

// An endpoint may close its connections right after a response. Selects the most recently used connection
// that has been idle long enough for such a close to be detected; if there is none, the one idle longest.
std::optional<upstream_connection> upstream_pool::take_idle(endpoint_index endpoint, double now) {
    std::vector<closing_connection> stale;
    std::optional<upstream_connection> reusable;
    {
        const std::lock_guard guard(lock_);
        auto &slot = endpoints_.at(endpoint.value());
        while (!slot.idle.empty() && !reusable) {
            const auto settled =
                std::find_if(slot.idle.rbegin(), slot.idle.rend(), [&](const auto &connection) {
                    return now - connection.last_used_at >= close_detection_delay;
                });
            const auto candidate =
                settled == slot.idle.rend() ? slot.idle.begin() : std::prev(settled.base());
            if (is_stale(*candidate, slot, now))
                stale.push_back({std::move(*candidate), upstream_close_reason::stale});
            else
                reusable = std::move(*candidate);
            slot.idle.erase(candidate);
        }
    }
    close_all(stale, now);
    return reusable;
}

upstream_connection upstream_pool::connect_new(endpoint_index endpoint, double now, double max_wait) {
    std::optional<address> remote_address;
    std::uint32_t address_version = 0;
    bool over_capacity = false;
    {
        const std::lock_guard guard(lock_);
        remote_address = endpoints_.at(endpoint.value()).remote_address;
        address_version = endpoints_[endpoint.value()].address_version;
        ++open_;
        over_capacity = used_descriptors() > capacity_;
    }
    if (over_capacity)
        close_oldest_idle(now);
    upstream_connection connection;
    connection.endpoint = endpoint;
    connection.address_version = address_version;
    connection.connected_at = connection.last_used_at = now;
    counters_.add(counter::upstream_connects);
    if (!remote_address) {
        connect_failed(endpoint, "no address");
        return connection;
    }
    connection.socket = connect(*remote_address, std::min(connect_timeout_.load(), max_wait), now);
    if (!connection.socket) {
        const int error = errno;
        connection.local_shortage = is_local_shortage(error);
        connect_failed(endpoint, std::strerror(error));
    }
    return connection;
}

// Retries once if this machine lacks resources and an idle connection could be closed to free some.
tcp_socket upstream_pool::connect(const address &remote_address, double timeout, double now) {
    tcp_socket socket = dial(remote_address, timeout);
    if (!socket && is_local_shortage(errno) && close_oldest_idle(now))
        socket = dial(remote_address, timeout);
    return socket;
}

void upstream_pool::connect_failed(endpoint_index endpoint, const char *error) {
    counters_.add(counter::upstream_connects_failed);
    const std::lock_guard guard(lock_);
    --open_;
    log_.debug("server-dial-failed server=", endpoints_[endpoint.value()].id, " error=", error);
}

void upstream_pool::release(upstream_connection connection, double now) {
    connection.last_used_at = now;
    const std::lock_guard guard(lock_);
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
        const std::lock_guard guard(lock_);
        auto &idle = endpoints_.at(endpoint.value()).idle;
        for (auto &connection : idle)
            closing.push_back({std::move(connection), reason});
        idle.clear();
    }
    close_all(closing, now);
}

void upstream_pool::close_stale(double now) {
    std::vector<closing_connection> closing;
    {
        const std::lock_guard guard(lock_);
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
        const std::lock_guard guard(lock_);
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

void upstream_pool::close_all(std::vector<closing_connection> &connections, double now) {
    for (auto &[connection, reason] : connections) {
        std::string id;
        {
            const std::lock_guard guard(lock_);
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
