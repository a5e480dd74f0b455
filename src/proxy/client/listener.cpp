// SPDX-License-Identifier: Apache-2.0
#include "proxy/client/listener.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <sys/socket.h>

namespace harrierpass::proxy {
namespace {

constexpr std::size_t refused_beyond = 32; // connections beyond the most whose queries are refused
constexpr double crowd_share = 0.9;    // of the most; beyond it connections end with an answer, not at rest
constexpr double look_period = 0.25;   // s between looks at what else there is to do
constexpr double short_pause = 0.005;  // s until a connection is tried again for want of a descriptor
constexpr double least_idle = 0.25;    // s; a connection used since likely has a query on its way
constexpr double least_silence = 0.05; // s; likewise, new; clients connect when they have a query to send
constexpr double silent_limit = 2.1;   // s without a first query; no client waits so long with one
constexpr double once_limit =
    2.2; // s at rest after one query where room is short; some ask once and never close
constexpr double no_thread_write_timeout = 0.05; // s for which one answer may hold up accepting
constexpr std::string_view no_thread_answer =
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
constexpr double roomy_share = 0.5; // of the most connections; up to it there is room
constexpr double rest_limit = 30;   // s at rest after more; its client may be gone without a word

} // namespace

void listener::run() {
    double tidied = 0;
    bool told_stop = false, told_close = false; // the connections at rest
    for (;;) {
        const bool takes = !has_successor();
        pollfd in{takes ? socket_.get() : -1, POLLIN, 0};
        const double now = context_.routing.now();
        wait_on({&in, 1}, context_.draining() ? short_pause : look_period);
        while (takes && !has_successor() && accept_one()) {
        }
        if (now - tidied > look_period) {
            tidied = now;
            context_.upstreams.close_stale(now);
        }
        // Told of the stop as well as of the close: from the first on each waits for the second by itself.
        const bool stop = context_.draining(), close = context_.closes_idle();
        if ((stop && !told_stop) || (close && !told_close))
            wake_all();
        told_stop = stop;
        told_close = close;
        if (context_.is_closing() && context_.routing.now() >= context_.accept_until && connections() == 0)
            break;
    }
    // Whoever connected since the last look is served still, also while the last ones end.
    const auto take_all = [this] {
        while (!has_successor() && accept_one()) {
        }
    };
    for (take_all(); connections() > 0; take_all())
        wait_on({}, short_pause);
    socket_.close();
}

// False: none is waiting, or none can be had now.
bool listener::accept_one() {
    const auto open = connections();
    // Guards clients whose own limit is a third of the descriptors: what others leave at rest must not fill
    // it.
    const bool made_room = open >= reclaim_threshold_ && close_one_idle();
    if (!made_room && open >= max_connections_ + refused_beyond) {
        wait_on({}, short_pause);
        return false;
    }
    address peer;
    client_connection from;
    from.socket = accept_on(socket_, peer);
    if (!from.socket) {
        const int why = errno;
        if (why == EAGAIN || why == EWOULDBLOCK || why == ECONNABORTED || why == EINTR)
            return why != EAGAIN && why != EWOULDBLOCK;
        context_.logger.warning("accept-failed error=", std::strerror(why));
        if (is_local_shortage(why) && !close_one_idle())
            context_.upstreams.close_oldest_idle(context_.routing.now());
        wait_on({}, short_pause);
        return false;
    }
    context_.counts.add(counter::client_connections_accepted);
    context_.upstreams.reserve_for_clients(connections() + 1, context_.routing.now());
    connection_entry *me = nullptr;
    try {
        {
            const std::lock_guard hold(lock_);
            // Guards against refusing a query while an idle connection, told to make room, is on its way out.
            const auto ending =
                std::count_if(entries_.begin(), entries_.end(),
                              [](const connection_entry &each) { return each.must_close.load(); });
            from.over_capacity = entries_.size() >= max_connections_ + static_cast<std::size_t>(ending);
            me = &entries_.emplace_back();
        }
        const auto shared = std::make_shared<client_connection>(std::move(from));
        if (start_detached([this, me, shared, at = to_text(peer)] { serve(*me, std::move(*shared), at); }))
            return true;
        // The client may have sent its request already, so it has a whole answer.
        write_all(shared->socket, no_thread_answer, {}, no_thread_write_timeout);
        close_gracefully(shared->socket, short_pause, buffer_size);
    } catch (const std::bad_alloc &) { // ends as for want of a thread
    }
    context_.logger.warning("connection-end side=client peer=", to_text(peer),
                            " queries=0 open=0 reason=no_thread");
    close_one_idle(); // whose thread is free then
    context_.counts.add(counter::client_connections_closed);
    const std::lock_guard hold(lock_);
    entries_.remove_if([&](const connection_entry &each) { return &each == me; });
    return false;
}

void listener::serve(connection_entry &me, client_connection from, const std::string &peer) {
    {
        const std::lock_guard hold(lock_);
        me.thread = pthread_self();
        me.started = true;
    }
    from.connected_at = context_.routing.now();
    const char *reason = nullptr;
    try {
        while (reason == nullptr) {
            if (!from.buffer)
                reason = await_request(me, from);
            if (reason == nullptr) {
                from.closes_after_response = me.must_close || fuller_than(crowd_share);
                ++from.requests;
                reason = serve_request(context_, from);
            }
        }
    } catch (const std::bad_alloc &) {
        reason = "no_memory";
    } catch (const std::exception &failed) {
        context_.logger.error("query-failed error=", failed.what());
        reason = "failed";
    }
    from.socket.close();
    from.buffer.reset();
    context_.upstreams.reserve_for_clients(connections() - 1, context_.routing.now());
    context_.counts.add(counter::client_connections_closed);
    context_.logger.info("connection-end side=client peer=", peer, " queries=", from.requests,
                         " open=", context_.routing.now() - from.connected_at, " rested=", me.rested,
                         " stopping-for=", context_.time_since_stop(), " reason=", reason);
    const std::lock_guard hold(lock_);
    entries_.remove_if([&](const connection_entry &each) { return &each == &me; });
}

// Rests without a buffer until bytes come (null) or the connection is to end.
const char *listener::await_request(connection_entry &me, client_connection &from) {
    set_idle(me, true);
    me.has_sent_request = from.requests > 0;
    const double since = context_.routing.now();
    const double limit = from.requests == 0 ? silent_limit : rest_limit;
    const char *reason = nullptr;
    auto there = peek(from.socket);
    while (there == peek_result::empty && reason == nullptr) {
        const bool closing = context_.closes_idle();
        const double rested = context_.routing.now() - since;
        if (me.must_close)
            reason = "reclaimed";
        else if (closing && rested >= context_.idle_close_delay())
            reason = "draining";
        else if (rested >= limit)
            reason = from.requests == 0 ? "silent" : "idle";
        // Guards clients whose other connections all end: while there is room, one query may be the first of
        // many.
        else if (from.requests == 1 && rested >= once_limit && fuller_than(roomy_share))
            reason = "idle";
        pollfd in{from.socket.get(), POLLIN, 0};
        // Cut short, as a call that tells it to end may be lost.
        const double until_close = context_.draining() ? std::max(context_.close_at - context_.routing.now(),
                                                                  context_.idle_close_delay() - rested)
                                                       : look_period;
        wait_on({&in, 1}, reason != nullptr ? 0 : std::min({look_period, until_close, limit - rested}));
        // Guards "no query is lost": whatever the cause to end, bytes are looked for after it and once more.
        there = peek(from.socket);
    }
    set_idle(me, false);
    me.rested = context_.routing.now() - since;
    return there == peek_result::data     ? nullptr
           : there == peek_result::closed ? "client_closed"
           : there == peek_result::reset  ? "client_reset"
                                          : reason;
}

void listener::set_idle(connection_entry &me, bool idle) {
    const std::lock_guard hold(lock_);
    me.idle = idle;
    me.idle_since = context_.routing.now();
}

// Tells one connection at rest to end: first those that never asked, as they may be silent for ever, then the
// one that has rested longest. False: there is none.
bool listener::close_one_idle() {
    const double now = context_.routing.now();
    const std::lock_guard hold(lock_);
    connection_entry *longest = nullptr;
    for (auto &each : entries_)
        if (each.idle && !each.must_close &&
            now - each.idle_since > (each.has_sent_request ? least_idle : least_silence) &&
            (longest == nullptr || std::pair(each.has_sent_request.load(), each.idle_since) <
                                       std::pair(longest->has_sent_request.load(), longest->idle_since)))
            longest = &each;
    if (longest == nullptr)
        return false;
    longest->must_close = true;
    wake_thread(longest->thread);
    return true;
}

void listener::wake_all() {
    const std::lock_guard hold(lock_);
    for (auto &each : entries_)
        if (each.started)
            wake_thread(each.thread);
}

bool listener::fuller_than(double share) {
    return static_cast<double>(connections()) > static_cast<double>(max_connections_) * share;
}

std::size_t listener::connections() {
    const std::lock_guard hold(lock_);
    return entries_.size();
}

} // namespace harrierpass::proxy
