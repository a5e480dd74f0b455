// SPDX-License-Identifier: Apache-2.0
#include "proxy/upstream/upstream_pool.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace harrierpass::proxy {
namespace {

constexpr double settle = 0.005; // s after an answer in which its server's end of the connection would show

} // namespace

void upstream_pool::set_endpoint(index server, std::string_view id, std::string_view host_port,
                                 double started, double now) {
    const auto at = parse_address(host_port);
    if (!at)
        log_.warning("server ", id, " has no usable address: ", host_port);
    bool known;
    {
        const std::lock_guard hold(lock_);
        if (server >= endpoints_.size())
            endpoints_.resize(server + 1);
        known = endpoints_[server].id == id;
    }
    if (!known) // guards against a new server's queries on an old one's connections
        close_idle_of(server, now, "gone");
    const std::lock_guard hold(lock_);
    auto &to = endpoints_[server];
    to.id = id;
    to.at = at;
    to.started = started;
}

void upstream_pool::set_capacity(std::size_t most, double now) {
    most_ = most;
    while (open_connections() > most && close_oldest_idle(now)) {
    }
}

std::size_t upstream_pool::open_connections() {
    const std::lock_guard hold(lock_);
    return open_ + clients_;
}

void upstream_pool::set_disabled(index server, bool out) {
    const std::unique_lock alone(gate_);
    if (out)
        disabled_.insert(server);
    else
        disabled_.erase(server);
}

void upstream_pool::reserve_for_clients(std::size_t count, double now) {
    bool crowded;
    {
        const std::lock_guard hold(lock_);
        clients_ = count;
        crowded = open_ + clients_ > most_;
    }
    if (crowded)
        close_oldest_idle(now);
}

std::string upstream_pool::id_of(index server) {
    const std::lock_guard hold(lock_);
    return endpoints_.at(server).id;
}

// Guards "no effect twice": a connection that may have ended, or is of a process before the present one,
// would break under the query that is written to it, and nobody could tell whether that ran.
bool upstream_pool::is_stale(const upstream_connection &one, const endpoint_slot &to, double now) const {
    return now - one.last_used_at > idle_limit_ * idle_reuse_share || one.connected_at < to.started ||
           peek(one.socket) != peek_result::empty;
}

upstream_connection upstream_pool::acquire(index server, double now, double most) {
    closed_connections gone;
    upstream_connection found;
    {
        const std::lock_guard hold(lock_);
        auto &idle = endpoints_.at(server).idle;
        while (!idle.empty() && !found.socket) {
            // Guards against a server that ends its connections right after an answer: the latest that has
            // rested long enough to show it, else the one that has rested longest.
            const auto rested = std::find_if(idle.rbegin(), idle.rend(), [&](const auto &each) {
                return now - each.last_used_at >= settle;
            });
            const auto one = rested == idle.rend() ? idle.begin() : std::prev(rested.base());
            if (is_stale(*one, endpoints_[server], now))
                gone.emplace_back(std::move(*one), "stale");
            else
                found = std::move(*one);
            idle.erase(one);
        }
    }
    close(gone, now);
    if (!found.socket)
        return connect_new(server, now, most);
    found.idle_time = now - found.last_used_at;
    counters_.add(counter::upstream_connections_reused);
    return found;
}

upstream_connection upstream_pool::connect_new(index server, double now, double most) {
    std::optional<address> at;
    bool crowded;
    {
        const std::lock_guard hold(lock_);
        at = endpoints_.at(server).at;
        crowded = ++open_ + clients_ > most_;
    }
    if (crowded)
        close_oldest_idle(now);
    upstream_connection made;
    made.endpoint = server;
    made.connected_at = made.last_used_at = now;
    counters_.add(counter::upstream_connects);
    const double limit = std::min(dial_limit_.load(), most);
    if (at)
        made.socket = dial(*at, limit);
    if (at && !made.socket && is_local_shortage(errno) && close_oldest_idle(now))
        made.socket = dial(*at, limit);
    if (!made.socket) {
        const int why = errno;
        made.local_shortage = at && is_local_shortage(why);
        counters_.add(counter::upstream_connects_failed);
        const std::lock_guard hold(lock_);
        --open_;
        log_.debug("server-dial-failed server=", endpoints_[server].id,
                   " error=", at ? std::strerror(why) : "no address");
    }
    return made;
}

void upstream_pool::release(upstream_connection from, double now) {
    from.last_used_at = now;
    const std::lock_guard hold(lock_);
    endpoints_.at(from.endpoint).idle.push_back(std::move(from));
}

void upstream_pool::close_connection(upstream_connection from, double now, const char *reason) {
    closed_connections one;
    one.emplace_back(std::move(from), reason);
    close(one, now);
}

void upstream_pool::close_idle_of(index server, double now, const char *reason) {
    closed_connections gone;
    {
        const std::lock_guard hold(lock_);
        for (auto &each : endpoints_.at(server).idle)
            gone.emplace_back(std::move(each), reason);
        endpoints_[server].idle.clear();
    }
    close(gone, now);
}

void upstream_pool::close_stale(double now) {
    closed_connections gone;
    {
        const std::lock_guard hold(lock_);
        for (auto &to : endpoints_)
            while (!to.idle.empty() && is_stale(to.idle.front(), to, now)) {
                gone.emplace_back(std::move(to.idle.front()), "stale");
                to.idle.pop_front();
            }
    }
    close(gone, now);
}

bool upstream_pool::close_oldest_idle(double now) {
    closed_connections gone;
    {
        const std::lock_guard hold(lock_);
        endpoint_slot *oldest = nullptr;
        for (auto &to : endpoints_)
            if (!to.idle.empty() &&
                (oldest == nullptr || to.idle.front().last_used_at < oldest->idle.front().last_used_at))
                oldest = &to;
        if (oldest != nullptr) {
            gone.emplace_back(std::move(oldest->idle.front()), "reclaimed");
            oldest->idle.pop_front();
        }
    }
    close(gone, now);
    return !gone.empty();
}

void upstream_pool::close(closed_connections &those, double now) {
    for (auto &[one, reason] : those) {
        std::string id;
        {
            const std::lock_guard hold(lock_);
            --open_;
            id = endpoints_[one.endpoint].id;
        }
        one.socket.close();
        if (std::string_view(reason) == "stale")
            counters_.add(counter::upstream_connections_stale);
        log_.info("connection-end side=server server=", id, " executions=", one.attempts,
                  " open=", now - one.connected_at, " rested=", one.idle_time, " reason=", reason);
    }
}

} // namespace harrierpass::proxy
