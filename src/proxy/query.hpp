// SPDX-License-Identifier: Apache-2.0
// The life of one query, in the thread of its client's connection.
#pragma once

#include "base/counters.hpp"
#include "base/log.hpp"
#include "net/buffers.hpp"
#include "proxy/desk.hpp"
#include "proxy/figures.hpp"
#include "proxy/open_ids.hpp"
#include "proxy/request_guard.hpp"
#include "proxy/settings.hpp"
#include "proxy/upstream.hpp"

#include <atomic>

namespace harrierpass::proxy {

inline constexpr double never = forever * 10; // Unix time, s

// What all queries share.
struct engine {
    desk &decides;
    upstream &servers;
    buffer_pool &buffers;
    counters &count;
    log &lines;
    figures &shown;
    std::function<bool()> ready;
    open_ids ids = {};
    invariant_monitor invariants{count, lines};
    // A planned stop, by its schedule; Unix times, s. They are set once, so that settings which come into
    // force later move nothing.
    std::atomic<double> drain_at = never;     // it began
    std::atomic<double> close_at = never;     // clients' connections close
    std::atomic<double> accept_until = never; // new ones are accepted at least until then
    std::atomic<double> answer_by = never;    // all is answered
    std::atomic<double> least_idle = 0;       // s at rest after which a connection closes

    std::atomic<double> away_at = never; // from when on operators send clients away

    std::atomic<bool> handed_over = false; // another process takes the clients; this one ends

    // Level of the lines about single requests and attempts: from the signal to end on all of them are
    // written, as what is in hand then is what a stop may lose.
    level request_level() const { return draining() ? level::info : level::debug; }
    // s since the signal to end; negative: there was none.
    double stopping_for() const { return draining() ? decides.now() - drain_at.load() : -1; }

    bool draining() const { return decides.now() >= drain_at.load(); }
    bool ending() const { return decides.now() >= close_at.load(); }
    bool away() const { return decides.now() >= away_at.load(); }
    // Connections at rest end, too. Sent away, that is once the front has stopped sending new ones.
    bool closing() const { return ending() || decides.now() >= away_at.load() + away_pause; }
    // s at rest after which a connection closes, once they do.
    double idle_before_close() const { return draining() ? least_idle.load() : away_idle; }
    static constexpr double away_idle = 0.25; // s; a connection used since may have a request on its way
    static constexpr double away_pause = 1;   // s; the front asks every 0.1 s and goes on for 0.2 s
};

// For how long, and over how many bytes, a client's connection is released.
struct linger_terms {
    double limit = 0;     // s
    std::size_t most = 0; // bytes; 0: it closes at once
};

struct client {
    tcp_socket socket;
    buffer_pool::lease buffer; // held between queries only with bytes of the next one in it
    std::size_t filled = 0;
    double since = 0;     // when it connected, s
    index queries = 0;    // begun on it, this one included
    index refused = 0;    // of them, that were none
    bool last = false;    // its next answer ends the connection, as there are many
    linger_terms lingers; // at its end
    bool crowded = false; // beyond what can be served: refused at once
};

// Null: the connection goes on; else why it ends.
const char *serve_query(engine &with, client &from);

} // namespace harrierpass::proxy
