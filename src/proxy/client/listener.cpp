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

// Connections accepted above the maximum; their requests are rejected.
constexpr std::size_t max_rejected_connections = 32;
// Above this share of the maximum, each response closes its connection.
constexpr double close_after_response_share = 0.9;
// Above this share of the maximum, connections are closed early if idle after their first request.
constexpr double early_idle_close_share = 0.5;
constexpr double check_interval = 0.25; // s between checks of conditions that no event reports
constexpr double retry_pause = 0.005;   // s before accepting is retried
// A connection may be reclaimed after this idle time in s. A connection that is new or was used more recently
// is likely to have a request on its way.
constexpr double min_idle_after_request = 0.25;
constexpr double min_idle_when_new = 0.05;
constexpr double first_request_timeout = 2.1; // s; clients' deadlines are shorter
// s; applies if capacity is short. Some clients send one request and never close.
constexpr double second_request_timeout = 2.2;
constexpr double idle_timeout = 30;              // s; a client may disappear without closing its connection
constexpr double no_thread_write_timeout = 0.05; // s for which one response may delay accepting

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
    // Connections that arrived after the last accept_all() are still served, as are those that arrive while
    // the last ones close.
    for (accept_all(); connections() > 0; accept_all())
        wait_on({}, retry_pause);
    before_close();
    socket_.close();
}

// When a stop begins, the waiting threads have to recompute their timeouts from the time of closing.
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
    const bool reclaimed = open >= reclaim_threshold_ && close_one_idle();
    if (!reclaimed && open >= max_connections_ + max_rejected_connections) {
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
                [this, entry, shared, client = to_text(peer)] { serve(*entry, std::move(*shared), client); }))
            return true;
    } catch (const std::bad_alloc &) { // rejected below, as without a thread
    }
    // NOLINTNEXTLINE(bugprone-use-after-move): `connection` was moved only if `shared` is set
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
    // Connections being closed to free capacity do not count: no request is rejected while they are closing.
    const auto closing = std::count_if(entries_.begin(), entries_.end(),
                                       [](const connection_entry &entry) { return entry.must_close.load(); });
    connection.over_capacity = entries_.size() >= max_connections_ + static_cast<std::size_t>(closing);
    return entries_.emplace_back();
}

void listener::remove_entry(const connection_entry &entry) {
    const std::lock_guard guard(lock_);
    entries_.remove_if([&](const connection_entry &each) { return &each == &entry; });
}

// Writes a complete response, as the client may have sent its request already. Closes an idle connection to
// free its thread and memory. Does not throw, as memory may have run out.
void listener::reject_without_thread(tcp_socket &client, const connection_entry *entry, const address &peer) {
    write_fallback_response(client, fallback_response::unavailable, no_thread_write_timeout);
    close_gracefully(client, retry_pause, buffer_size);
    try {
        context_.logger.warning("connection-end side=client peer=", to_text(peer),
                                " queries=0 open=0 reason=", log_text(close_reason::no_thread));
    } catch (const std::bad_alloc &) { // no log line, but accepting continues
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
            connection.closes_after_response = entry.must_close || exceeds(close_after_response_share);
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
    auto peeked = peek(connection.socket);
    while (peeked == peek_result::empty && !reason) {
        const double idle_for = context_.routing.now() - since;
        reason = idle_close_reason(entry, connection, idle_for);
        pollfd incoming{connection.socket.get(), POLLIN, 0};
        // The wait is bounded, as a wake-up may be missed.
        const double until_close = context_.draining() ? std::max(context_.close_at - context_.routing.now(),
                                                                  context_.idle_close_delay() - idle_for)
                                                       : check_interval;
        wait_on({&incoming, 1}, reason ? 0 : std::min({check_interval, until_close, timeout - idle_for}));
        // A request that has arrived meanwhile is served even if there is a reason to close.
        peeked = peek(connection.socket);
    }
    set_idle(entry, false);
    entry.idle_before = context_.routing.now() - since;
    switch (peeked) {
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
    if (connection.requests == 1 && idle_for >= second_request_timeout && exceeds(early_idle_close_share))
        return close_reason::idle;
    return std::nullopt;
}

void listener::set_idle(connection_entry &entry, bool idle) {
    const std::lock_guard guard(lock_);
    entry.idle = idle;
    entry.idle_since = context_.routing.now();
}

// Prefers connections that have never sent a request, as they may never send one; then the one that has been
// idle longest.
bool listener::close_one_idle() {
    const double now = context_.routing.now();
    const auto rank = [](const connection_entry &entry) {
        return std::pair(entry.has_sent_request.load(), entry.idle_since);
    };
    const std::lock_guard guard(lock_);
    connection_entry *chosen = nullptr;
    for (auto &candidate : entries_) {
        const double min_idle = candidate.has_sent_request ? min_idle_after_request : min_idle_when_new;
        const bool closable =
            candidate.idle && !candidate.must_close && now - candidate.idle_since > min_idle;
        if (closable && (chosen == nullptr || rank(candidate) < rank(*chosen)))
            chosen = &candidate;
    }
    if (chosen == nullptr)
        return false;
    chosen->must_close = true;
    wake_thread(chosen->thread);
    return true;
}

void listener::wake_all() {
    const std::lock_guard guard(lock_);
    for (auto &entry : entries_)
        if (entry.started)
            wake_thread(entry.thread);
}

bool listener::exceeds(double share) {
    return static_cast<double>(connections()) > static_cast<double>(max_connections_) * share;
}

std::size_t listener::connections() {
    const std::lock_guard guard(lock_);
    return entries_.size();
}

} // namespace harrierpass::proxy
