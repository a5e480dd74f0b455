// SPDX-License-Identifier: Apache-2.0
#include "proxy/upstream.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace harrierpass::proxy {
namespace {

constexpr double settle = 0.005; // s after an answer in which its server's end of the connection would show

} // namespace

void upstream::place(index server, std::string_view id, std::string_view host_port, double started,
                     double now) {
    const auto at = parse_address(host_port);
    if (!at)
        log_.warning("server ", id, " has no usable address: ", host_port);
    bool known;
    {
        const std::lock_guard hold(lock_);
        if (server >= sites_.size())
            sites_.resize(server + 1);
        known = sites_[server].id == id;
    }
    if (!known) // guards against a new server's queries on an old one's connections
        end_kept(server, now, "gone");
    const std::lock_guard hold(lock_);
    auto &to = sites_[server];
    to.id = id;
    to.at = at;
    to.started = started;
}

void upstream::use_most(std::size_t most, double now) {
    most_ = most;
    while (in_use() > most && end_oldest(now)) {
    }
}

std::size_t upstream::in_use() {
    const std::lock_guard hold(lock_);
    return open_ + clients_;
}

void upstream::set_out(index server, bool out) {
    const std::unique_lock alone(gate_);
    if (out)
        out_.insert(server);
    else
        out_.erase(server);
}

void upstream::leave_to_clients(std::size_t count, double now) {
    bool crowded;
    {
        const std::lock_guard hold(lock_);
        clients_ = count;
        crowded = open_ + clients_ > most_;
    }
    if (crowded)
        end_oldest(now);
}

std::string upstream::id_of(index server) {
    const std::lock_guard hold(lock_);
    return sites_.at(server).id;
}

// Guards "no effect twice": a connection that may have ended, or is of a process before the present one,
// would break under the query that is written to it, and nobody could tell whether that ran.
bool upstream::stale(const server_connection &one, const site &to, double now) const {
    return now - one.used > idle_limit_ * kept_idle_share || one.since < to.started ||
           peek(one.socket) != waiting::nothing;
}

server_connection upstream::take(index server, double now, double most) {
    ended gone;
    server_connection found;
    {
        const std::lock_guard hold(lock_);
        auto &idle = sites_.at(server).idle;
        while (!idle.empty() && !found.socket) {
            // Guards against a server that ends its connections right after an answer: the latest that has
            // rested long enough to show it, else the one that has rested longest.
            const auto rested = std::find_if(idle.rbegin(), idle.rend(),
                                             [&](const auto &each) { return now - each.used >= settle; });
            const auto one = rested == idle.rend() ? idle.begin() : std::prev(rested.base());
            if (stale(*one, sites_[server], now))
                gone.emplace_back(std::move(*one), "stale");
            else
                found = std::move(*one);
            idle.erase(one);
        }
    }
    close(gone, now);
    if (!found.socket)
        return dial_new(server, now, most);
    found.rested = now - found.used;
    counters_.add(count::server_kept_used);
    return found;
}

server_connection upstream::dial_new(index server, double now, double most) {
    std::optional<address> at;
    bool crowded;
    {
        const std::lock_guard hold(lock_);
        at = sites_.at(server).at;
        crowded = ++open_ + clients_ > most_;
    }
    if (crowded)
        end_oldest(now);
    server_connection made;
    made.server = server;
    made.since = made.used = now;
    counters_.add(count::server_dials);
    const double limit = std::min(dial_limit_.load(), most);
    if (at)
        made.socket = dial(*at, limit);
    if (at && !made.socket && is_own_shortage(errno) && end_oldest(now))
        made.socket = dial(*at, limit);
    if (!made.socket) {
        const int why = errno;
        made.own_shortage = at && is_own_shortage(why);
        counters_.add(count::server_dials_failed);
        const std::lock_guard hold(lock_);
        --open_;
        log_.debug("server-dial-failed server=", sites_[server].id,
                   " error=", at ? std::strerror(why) : "no address");
    }
    return made;
}

void upstream::keep(server_connection from, double now) {
    from.used = now;
    const std::lock_guard hold(lock_);
    sites_.at(from.server).idle.push_back(std::move(from));
}

void upstream::end(server_connection from, double now, const char *reason) {
    ended one;
    one.emplace_back(std::move(from), reason);
    close(one, now);
}

void upstream::end_kept(index server, double now, const char *reason) {
    ended gone;
    {
        const std::lock_guard hold(lock_);
        for (auto &each : sites_.at(server).idle)
            gone.emplace_back(std::move(each), reason);
        sites_[server].idle.clear();
    }
    close(gone, now);
}

void upstream::end_stale(double now) {
    ended gone;
    {
        const std::lock_guard hold(lock_);
        for (auto &to : sites_)
            while (!to.idle.empty() && stale(to.idle.front(), to, now)) {
                gone.emplace_back(std::move(to.idle.front()), "stale");
                to.idle.pop_front();
            }
    }
    close(gone, now);
}

bool upstream::end_oldest(double now) {
    ended gone;
    {
        const std::lock_guard hold(lock_);
        site *oldest = nullptr;
        for (auto &to : sites_)
            if (!to.idle.empty() && (oldest == nullptr || to.idle.front().used < oldest->idle.front().used))
                oldest = &to;
        if (oldest != nullptr) {
            gone.emplace_back(std::move(oldest->idle.front()), "reclaimed");
            oldest->idle.pop_front();
        }
    }
    close(gone, now);
    return !gone.empty();
}

void upstream::close(ended &those, double now) {
    for (auto &[one, reason] : those) {
        std::string id;
        {
            const std::lock_guard hold(lock_);
            --open_;
            id = sites_[one.server].id;
        }
        one.socket.close();
        if (std::string_view(reason) == "stale")
            counters_.add(count::server_kept_stale);
        log_.info("connection-end side=server server=", id, " executions=", one.executions,
                  " open=", now - one.since, " rested=", one.rested, " reason=", reason);
    }
}

} // namespace harrierpass::proxy
