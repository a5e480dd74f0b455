// SPDX-License-Identifier: Apache-2.0
#include "proxy/client/listener.hpp"

#include "proxy/client/response_writer.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <memory>
#include <new>
#include <sys/socket.h>
#include <utility>

namespace harrierpass::proxy {
namespace {

constexpr std::size_t max_rejected_connections = 32; // beyond the maximum; their requests are rejected
constexpr double crowded_share = 0.9;   // of the maximum; beyond it each answer closes its connection
constexpr double spacious_share = 0.5;  // of the maximum; up to it there is room for idle connections
constexpr double check_interval = 0.25; // s between looks for what no event announces
constexpr double retry_pause = 0.005;   // s until a connection is accepted again that could not be
// s idle after which a connection may be reclaimed: one used since, or a new one, likely has a request on its
// way.
constexpr double min_idle_after_request = 0.25;
constexpr double min_idle_when_new = 0.05;
constexpr double first_request_timeout = 2.1; // s; clients' deadlines are shorter
constexpr double second_request_timeout =
    2.2;                            // s, where room is short; some send one request and never close
constexpr double idle_timeout = 30; // s; a client may vanish without closing
constexpr double no_thread_write_timeout = 0.05; // s for which one answer may hold up accepting

} // namespace

void listener::run() {
    double stale_closed_at = 0;
    do {
        const bool accepts = !has_successor();
        pollfd incoming{accepts ? socket_.get() : -1, POLLIN, 0};
        const double now = context_.routing.now();
        wait_on({&incoming, 1}, context_.draining() ? retry_pause : check_interval);
        if (accepts)
            accept_all();
        if (now - stale_closed_at > check_interval) {
            stale_closed_at = now;
            context_.upstreams.close_stale(now);
        }
        notify_of_stop();
    } while (!context_.is_closing() || context_.routing.now() < context_.accept_until || connections() > 0);
    // Connections that came since the last look are still served, also while the last ones end.
    for (accept_all(); connections() > 0; accept_all())
        wait_on({}, retry_pause);
    socket_.close();
}

// When a stop begins, each thread has to wait for the time of closing instead.
void listener::notify_of_stop() {
    const bool draining = context_.draining(), closing = context_.closes_idle();
    if ((draining && !notified_of_drain_) || (closing && !notified_of_close_))
        wake_all();
    notified_of_drain_ = draining;
    notified_of_close_ = closing;
}

void listener::accept_all() {
    while (!has_successor() && accept_one()) {
    }
}

bool listener::accept_one() {
    const auto open = connections();
    const bool made_room = open >= reclaim_threshold_ && close_one_idle();
    if (!made_room && open >= max_connections_ + max_rejected_connections) {
        wait_on({}, retry_pause);
        return false;
    }
    address peer;
    client_connection connection;
    connection.socket = accept_on(socket_, peer);
    if (!connection.socket)
        return on_accept_failed(errno);
    context_.counts.add(counter::client_connections_accepted);
    connection_entry *entry = nullptr;
    std::shared_ptr<client_connection> shared;
    try {
        context_.upstreams.reserve_for_clients(connections() + 1, context_.routing.now());
        entry = &add_entry(connection);
        shared = std::make_shared<client_connection>(std::move(connection));
        if (start_detached(
                [this, entry, shared, at = to_text(peer)] { serve(*entry, std::move(*shared), at); }))
            return true;
    } catch (const std::bad_alloc &) { // rejected as for want of a thread
    }
    // NOLINTNEXTLINE(bugprone-use-after-move): it was moved only where `shared` is there
    reject_without_thread(shared ? shared->socket : connection.socket, entry, peer);
    return false;
}

bool listener::on_accept_failed(int error) {
    if (error == EAGAIN || error == EWOULDBLOCK)
        return false;
    if (error == ECONNABORTED || error == EINTR)
        return true;
    context_.logger.warning("accept-failed error=", std::strerror(error));
    if (is_local_shortage(error) && !close_one_idle())
        context_.upstreams.close_oldest_idle(context_.routing.now());
    wait_on({}, retry_pause);
    return false;
}

listener::connection_entry &listener::add_entry(client_connection &connection) {
    const std::lock_guard guard(lock_);
    // Those that close to make room do not count: a request is not rejected while they are on their way out.
    const auto closing = std::count_if(entries_.begin(), entries_.end(),
                                       [](const connection_entry &each) { return each.must_close.load(); });
    connection.over_capacity = entries_.size() >= max_connections_ + static_cast<std::size_t>(closing);
    return entries_.emplace_back();
}

void listener::remove_entry(const connection_entry &entry) {
    const std::lock_guard guard(lock_);
    entries_.remove_if([&](const connection_entry &each) { return &each == &entry; });
}

// The client may have sent its request already, so it has a whole answer. Closes an idle connection, whose
// thread and memory are then free. Throws nothing, as memory may have run out.
void listener::reject_without_thread(tcp_socket &client, const connection_entry *entry, const address &peer) {
    write_fallback_response(client, fallback_response::unavailable, no_thread_write_timeout);
    close_gracefully(client, retry_pause, buffer_size);
    try {
        context_.logger.warning("connection-end side=client peer=", to_text(peer),
                                " queries=0 open=0 reason=", log_text(close_reason::no_thread));
    } catch (const std::bad_alloc &) { // there is no line, but accepting goes on
    }
    close_one_idle();
    context_.counts.add(counter::client_connections_closed);
    if (entry != nullptr)
        remove_entry(*entry);
}

void listener::serve(connection_entry &entry, client_connection connection, const std::string &peer) {
    {
        const std::lock_guard guard(lock_);
        entry.thread = pthread_self();
        entry.started = true;
    }
    connection.connected_at = context_.routing.now();
    const close_reason reason = serve_requests(entry, connection);
    connection.socket.close();
    connection.buffer.reset();
    context_.upstreams.reserve_for_clients(connections() - 1, context_.routing.now());
    context_.counts.add(counter::client_connections_closed);
    context_.logger.info("connection-end side=client peer=", peer, " queries=", connection.requests,
                         " open=", context_.routing.now() - connection.connected_at,
                         " rested=", entry.idle_before, " stopping-for=", context_.time_since_stop(),
                         " reason=", log_text(reason));
    remove_entry(entry);
}

close_reason listener::serve_requests(connection_entry &entry, client_connection &connection) {
    try {
        for (;;) {
            if (!connection.buffer)
                if (const auto reason = await_request(entry, connection))
                    return *reason;
            connection.closes_after_response = entry.must_close || exceeds(crowded_share);
            ++connection.requests;
            if (const close_decision decision = serve_request(context_, connection))
                return *decision;
        }
    } catch (const std::bad_alloc &) {
        return close_reason::out_of_memory;
    } catch (const std::exception &error) {
        context_.logger.error("query-failed error=", error.what());
        return close_reason::internal_error;
    }
}

std::optional<close_reason> listener::await_request(connection_entry &entry, client_connection &connection) {
    set_idle(entry, true);
    entry.has_sent_request = connection.requests > 0;
    const double since = context_.routing.now();
    const double timeout = connection.requests == 0 ? first_request_timeout : idle_timeout;
    std::optional<close_reason> reason;
    auto found = peek(connection.socket);
    while (found == peek_result::empty && !reason) {
        const double idle_for = context_.routing.now() - since;
        reason = idle_close_reason(entry, connection, idle_for);
        pollfd incoming{connection.socket.get(), POLLIN, 0};
        // Bounded, as a wake-up may be missed.
        const double until_close = context_.draining() ? std::max(context_.close_at - context_.routing.now(),
                                                                  context_.idle_close_delay() - idle_for)
                                                       : check_interval;
        wait_on({&incoming, 1}, reason ? 0 : std::min({check_interval, until_close, timeout - idle_for}));
        // Whatever the reason to close, a request that has come meanwhile goes first.
        found = peek(connection.socket);
    }
    set_idle(entry, false);
    entry.idle_before = context_.routing.now() - since;
    switch (found) {
    case peek_result::data:
        return std::nullopt;
    case peek_result::closed:
        return close_reason::client_closed;
    case peek_result::reset:
        return close_reason::client_reset;
    case peek_result::empty:
        break;
    }
    return reason;
}

std::optional<close_reason> listener::idle_close_reason(const connection_entry &entry,
                                                        const client_connection &connection,
                                                        double idle_for) {
    if (entry.must_close)
        return close_reason::reclaimed;
    if (context_.closes_idle() && idle_for >= context_.idle_close_delay())
        return close_reason::shutting_down;
    if (connection.requests == 0)
        return idle_for >= first_request_timeout ? std::optional(close_reason::silent) : std::nullopt;
    if (idle_for >= idle_timeout)
        return close_reason::idle;
    if (connection.requests == 1 && idle_for >= second_request_timeout && exceeds(spacious_share))
        return close_reason::idle;
    return std::nullopt;
}

void listener::set_idle(connection_entry &entry, bool idle) {
    const std::lock_guard guard(lock_);
    entry.idle = idle;
    entry.idle_since = context_.routing.now();
}

// First those that never sent a request, as they may be silent for ever, then the one that has been idle the
// longest.
bool listener::close_one_idle() {
    const double now = context_.routing.now();
    const auto rank = [](const connection_entry &entry) {
        return std::pair(entry.has_sent_request.load(), entry.idle_since);
    };
    const std::lock_guard guard(lock_);
    connection_entry *chosen = nullptr;
    for (auto &each : entries_) {
        const double min_idle = each.has_sent_request ? min_idle_after_request : min_idle_when_new;
        const bool closable = each.idle && !each.must_close && now - each.idle_since > min_idle;
        if (closable && (chosen == nullptr || rank(each) < rank(*chosen)))
            chosen = &each;
    }
    if (chosen == nullptr)
        return false;
    chosen->must_close = true;
    wake_thread(chosen->thread);
    return true;
}

void listener::wake_all() {
    const std::lock_guard guard(lock_);
    for (auto &each : entries_)
        if (each.started)
            wake_thread(each.thread);
}

bool listener::exceeds(double share) {
    return static_cast<double>(connections()) > static_cast<double>(max_connections_) * share;
}

std::size_t listener::connections() {
    const std::lock_guard guard(lock_);
    return entries_.size();
}

} // namespace harrierpass::proxy
