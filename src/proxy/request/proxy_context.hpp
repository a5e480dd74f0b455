// SPDX-License-Identifier: Apache-2.0
// What all client connections and requests of the process share. The service owns it; its parts are safe for
// use by several threads. Times are Unix times in seconds, as the dispatcher's clock gives them.
#pragma once

#include "base/counters.hpp"
#include "base/log.hpp"
#include "net/buffer_pool.hpp"
#include "proxy/operations/request_metrics.hpp"
#include "proxy/request/active_request_ids.hpp"
#include "proxy/request/dispatcher.hpp"
#include "proxy/request/request_guard.hpp"
#include "proxy/upstream/upstream_pool.hpp"

#include <atomic>
#include <functional>

namespace harrierpass::proxy {

inline constexpr double never = forever * 10; // Unix time, s

// References to the parts, and the state of a planned stop.
struct proxy_context {
    dispatcher &routing;
    upstream_pool &upstreams;
    buffer_pool &buffers;
    counters &counts;
    log &logger;
    request_metrics &metrics;
    std::function<bool()> ready; // whether an endpoint list is there
    active_request_ids ids = {};
    invariant_monitor invariants{counts, logger};

    // The schedule of a planned stop. Each time is set once, so that settings which come into force later
    // move none of them.
    std::atomic<double> draining_at = never;  // the stop begins
    std::atomic<double> close_at = never;     // clients' connections close
    std::atomic<double> accept_until = never; // new connections are accepted at least until then
    std::atomic<double> respond_by = never;   // every request has its response
    std::atomic<double> min_idle = 0;         // s idle after which a connection closes

    std::atomic<double> disabled_at = never; // from when on operators send clients away
    std::atomic<bool> handed_over = false;   // another process takes the clients; this one ends

    // Level of the lines about single requests and attempts. During a stop all of them are written, as the
    // active requests are what a stop may lose.
    log_level request_level() const { return draining() ? log_level::info : log_level::debug; }
    // s since the stop began; negative: there is none.
    double time_since_stop() const { return draining() ? routing.now() - draining_at.load() : -1; }

    // Whether a planned stop has begun.
    bool draining() const { return routing.now() >= draining_at.load(); }
    // Whether clients' connections close now.
    bool is_closing() const { return routing.now() >= close_at.load(); }
    // Whether operators send clients away.
    bool is_disabled() const { return routing.now() >= disabled_at.load(); }
    // Whether idle connections close, too. After a disabling that is once clients have stopped sending new
    // connections.
    bool closes_idle() const {
        return is_closing() || routing.now() >= disabled_at.load() + disabled_close_delay;
    }
    // s idle after which a connection closes, once they do.
    double idle_close_delay() const { return draining() ? min_idle.load() : disabled_idle_delay; }

    // s; a connection used since then may have a request on its way.
    static constexpr double disabled_idle_delay = 0.25;
    // s; the load balancer in front checks every 0.1 s and goes on for 0.2 s.
    static constexpr double disabled_close_delay = 1;
};

} // namespace harrierpass::proxy
