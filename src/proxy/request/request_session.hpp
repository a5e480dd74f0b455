// SPDX-License-Identifier: Apache-2.0
// The life of one query, in the thread of its client's connection.
#pragma once

#include "base/counters.hpp"
#include "base/log.hpp"
#include "net/buffer_pool.hpp"
#include "proxy/configuration.hpp"
#include "proxy/operations/request_metrics.hpp"
#include "proxy/request/active_request_ids.hpp"
#include "proxy/request/dispatcher.hpp"
#include "proxy/request/request_guard.hpp"
#include "proxy/upstream/upstream_pool.hpp"

#include <atomic>

namespace harrierpass::proxy {

inline constexpr double never = forever * 10; // Unix time, s

// What all queries share.
struct proxy_context {
    dispatcher &routing;
    upstream_pool &upstreams;
    buffer_pool &buffers;
    counters &counts;
    log &logger;
    request_metrics &metrics;
    std::function<bool()> ready;
    active_request_ids ids = {};
    invariant_monitor invariants{counts, logger};
    // A planned stop, by its schedule; Unix times, s. They are set once, so that settings which come into
    // force later move nothing.
    std::atomic<double> draining_at = never;  // it began
    std::atomic<double> close_at = never;     // clients' connections close
    std::atomic<double> accept_until = never; // new ones are accepted at least until then
    std::atomic<double> respond_by = never;   // all is answered
    std::atomic<double> min_idle = 0;         // s at rest after which a connection closes

    std::atomic<double> disabled_at = never; // from when on operators send clients away

    std::atomic<bool> handed_over = false; // another process takes the clients; this one ends

    // Level of the lines about single requests and attempts: from the signal to end on all of them are
    // written, as what is in hand then is what a stop may lose.
    log_level request_level() const { return draining() ? log_level::info : log_level::debug; }
    // s since the signal to end; negative: there was none.
    double time_since_stop() const { return draining() ? routing.now() - draining_at.load() : -1; }

    bool draining() const { return routing.now() >= draining_at.load(); }
    bool is_closing() const { return routing.now() >= close_at.load(); }
    bool is_disabled() const { return routing.now() >= disabled_at.load(); }
    // Connections at rest end, too. Sent away, that is once the front has stopped sending new ones.
    bool closes_idle() const {
        return is_closing() || routing.now() >= disabled_at.load() + disabled_close_delay;
    }
    // s at rest after which a connection closes, once they do.
    double idle_close_delay() const { return draining() ? min_idle.load() : disabled_idle_delay; }
    static constexpr double disabled_idle_delay =
        0.25; // s; a connection used since may have a request on its way
    static constexpr double disabled_close_delay = 1; // s; the front asks every 0.1 s and goes on for 0.2 s
};

// For how long, and over how many bytes, a client's connection is released.
struct lingering_close {
    double limit = 0;          // s
    std::size_t max_bytes = 0; // bytes; 0: it closes at once
};

struct client_connection {
    tcp_socket socket;
    buffer_pool::buffer_handle buffer; // held between queries only with bytes of the next one in it
    std::size_t filled = 0;
    double connected_at = 0;            // when it connected, s
    index requests = 0;                 // begun on it, this one included
    index malformed_requests = 0;       // of them, that were none
    bool closes_after_response = false; // its next answer ends the connection, as there are many
    lingering_close lingering;          // at its end
    bool over_capacity = false;         // beyond what can be served: refused at once
};

// Null: the connection goes on; else why it ends.
const char *serve_request(proxy_context &with, client_connection &from);

} // namespace harrierpass::proxy
