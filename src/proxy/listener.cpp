// SPDX-License-Identifier: Apache-2.0
#include "proxy/listener.hpp"

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
constexpr std::string_view no_thread_answer =
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
constexpr double roomy_share = 0.5; // of the most connections; up to it there is room
constexpr double rest_limit = 30;   // s at rest after more; its client may be gone without a word

} // namespace

void listener::run() {
    double tidied = 0;
    bool told_stop = false, told_close = false; // the connections at rest
    for (;;) {
        const bool takes = !succeeded();
        pollfd in{takes ? socket_.get() : -1, POLLIN, 0};
        const double now = with_.decides.now();
        wait_on({&in, 1}, with_.draining() ? short_pause : look_period);
        while (takes && !succeeded() && take_one()) {
        }
        if (now - tidied > look_period) {
            tidied = now;
            with_.servers.end_stale(now);
        }
        // Told of the stop as well as of the close: from the first on each waits for the second by itself.
        const bool stop = with_.draining(), close = with_.closing();
        if ((stop && !told_stop) || (close && !told_close))
            wake_all();
        told_stop = stop;
        told_close = close;
        if (with_.ending() && with_.decides.now() >= with_.accept_until && connections() == 0)
            break;
    }
    // Whoever connected since the last look is served still, also while the last ones end.
    const auto take_all = [this] {
        while (!succeeded() && take_one()) {
        }
    };
    for (take_all(); connections() > 0; take_all())
        wait_on({}, short_pause);
    socket_.close();
}

// False: none is waiting, or none can be had now.
bool listener::take_one() {
    const auto open = connections();
    // Guards clients whose own limit is a third of the descriptors: what others leave at rest must not fill
    // it.
    const bool made_room = open >= tight_ && end_one_idle();
    if (!made_room && open >= most_ + refused_beyond) {
        wait_on({}, short_pause);
        return false;
    }
    address peer;
    client from;
    from.socket = accept_on(socket_, peer);
    if (!from.socket) {
        const int why = errno;
        if (why == EAGAIN || why == EWOULDBLOCK || why == ECONNABORTED || why == EINTR)
            return why != EAGAIN && why != EWOULDBLOCK;
        with_.lines.warning("accept-failed error=", std::strerror(why));
        if (is_own_shortage(why) && !end_one_idle())
            with_.servers.end_oldest(with_.decides.now());
        wait_on({}, short_pause);
        return false;
    }
    with_.count.add(count::clients_accepted);
    with_.servers.leave_to_clients(connections() + 1, with_.decides.now());
    entry *me = nullptr;
    try {
        {
            const std::lock_guard hold(lock_);
            // Guards against refusing a query while an idle connection, told to make room, is on its way out.
            const auto ending = std::count_if(entries_.begin(), entries_.end(),
                                              [](const entry &each) { return each.to_end.load(); });
            from.crowded = entries_.size() >= most_ + static_cast<std::size_t>(ending);
            me = &entries_.emplace_back();
        }
        const auto shared = std::make_shared<client>(std::move(from));
        if (start_detached([this, me, shared, at = to_text(peer)] { serve(*me, std::move(*shared), at); }))
            return true;
        // Guards a client that has written its request: it is told to come back, not cut off.
        std::string_view answer = no_thread_answer, nothing;
        write_some(shared->socket, answer, nothing);
        release(shared->socket, short_pause, buffer_size);
    } catch (const std::bad_alloc &) { // ends as for want of a thread
    }
    with_.lines.warning("connection-end side=client peer=", to_text(peer),
                        " queries=0 open=0 reason=no_thread");
    end_one_idle(); // whose thread is free then
    with_.count.add(count::clients_ended);
    const std::lock_guard hold(lock_);
    entries_.remove_if([&](const entry &each) { return &each == me; });
    return false;
}

void listener::serve(entry &me, client from, const std::string &peer) {
    {
        const std::lock_guard hold(lock_);
        me.thread = pthread_self();
        me.started = true;
    }
    from.since = with_.decides.now();
    const char *reason = nullptr;
    try {
        while (reason == nullptr) {
            if (!from.buffer)
                reason = await_query(me, from);
            if (reason == nullptr) {
                from.last = me.to_end || fuller_than(crowd_share);
                ++from.queries;
                reason = serve_query(with_, from);
            }
        }
    } catch (const std::bad_alloc &) {
        reason = "no_memory";
    } catch (const std::exception &failed) {
        with_.lines.error("query-failed error=", failed.what());
        reason = "failed";
    }
    from.socket.close();
    from.buffer.reset();
    with_.servers.leave_to_clients(connections() - 1, with_.decides.now());
    with_.count.add(count::clients_ended);
    with_.lines.info("connection-end side=client peer=", peer, " queries=", from.queries,
                     " open=", with_.decides.now() - from.since, " rested=", me.rested,
                     " stopping-for=", with_.stopping_for(), " reason=", reason);
    const std::lock_guard hold(lock_);
    entries_.remove_if([&](const entry &each) { return &each == &me; });
}

// Rests without a buffer until bytes come (null) or the connection is to end.
const char *listener::await_query(entry &me, client &from) {
    set_idle(me, true);
    me.asked = from.queries > 0;
    const double since = with_.decides.now();
    const double limit = from.queries == 0 ? silent_limit : rest_limit;
    const char *reason = nullptr;
    auto there = peek(from.socket);
    while (there == waiting::nothing && reason == nullptr) {
        const bool closing = with_.closing();
        const double rested = with_.decides.now() - since;
        if (me.to_end)
            reason = "reclaimed";
        else if (closing && rested >= with_.idle_before_close())
            reason = "draining";
        else if (rested >= limit)
            reason = from.queries == 0 ? "silent" : "idle";
        // Guards clients whose other connections all end: while there is room, one query may be the first of
        // many.
        else if (from.queries == 1 && rested >= once_limit && fuller_than(roomy_share))
            reason = "idle";
        pollfd in{from.socket.get(), POLLIN, 0};
        // Cut short, as a call that tells it to end may be lost.
        const double until_close = with_.draining() ? std::max(with_.close_at - with_.decides.now(),
                                                               with_.idle_before_close() - rested)
                                                    : look_period;
        wait_on({&in, 1}, reason != nullptr ? 0 : std::min({look_period, until_close, limit - rested}));
        // Guards "no query is lost": whatever the cause to end, bytes are looked for after it and once more.
        there = peek(from.socket);
    }
    set_idle(me, false);
    me.rested = with_.decides.now() - since;
    return there == waiting::bytes   ? nullptr
           : there == waiting::close ? "client_closed"
           : there == waiting::reset ? "client_reset"
                                     : reason;
}

void listener::set_idle(entry &me, bool idle) {
    const std::lock_guard hold(lock_);
    me.idle = idle;
    me.idle_since = with_.decides.now();
}

// Tells one connection at rest to end: first those that never asked, as they may be silent for ever, then the
// one that has rested longest. False: there is none.
bool listener::end_one_idle() {
    const double now = with_.decides.now();
    const std::lock_guard hold(lock_);
    entry *longest = nullptr;
    for (auto &each : entries_)
        if (each.idle && !each.to_end && now - each.idle_since > (each.asked ? least_idle : least_silence) &&
            (longest == nullptr || std::pair(each.asked.load(), each.idle_since) <
                                       std::pair(longest->asked.load(), longest->idle_since)))
            longest = &each;
    if (longest == nullptr)
        return false;
    longest->to_end = true;
    call(longest->thread);
    return true;
}

void listener::wake_all() {
    const std::lock_guard hold(lock_);
    for (auto &each : entries_)
        if (each.started)
            call(each.thread);
}

bool listener::fuller_than(double share) {
    return static_cast<double>(connections()) > static_cast<double>(most_) * share;
}

std::size_t listener::connections() {
    const std::lock_guard hold(lock_);
    return entries_.size();
}

} // namespace harrierpass::proxy
