// SPDX-License-Identifier: Apache-2.0
// The state shared by all client connections and requests of the process. The service owns it; its members
// are safe for use by several threads. Times are Unix times in seconds by the dispatcher's clock.
#pragma once

#include "base/counters.hpp"
#include "base/log.hpp"
#include "net/buffer_pool.hpp"
#include "proxy/operations/request_metrics.hpp"
#include "proxy/request/dispatcher.hpp"
#include "proxy/request/request_guard.hpp"
#include "proxy/request/request_id_table.hpp"
#include "proxy/upstream/upstream_pool.hpp"

#include <atomic>
#include <functional>

namespace harrierpass::proxy {

inline constexpr double never = forever * 10; // Unix time in seconds

// References to the proxy's components, and the state of a planned stop.
struct proxy_context {
    dispatcher &routing;
    upstream_pool &upstreams;
    buffer_pool &buffers;
    counters &counts;
    log &logger;
    request_metrics &metrics;
    std::function<bool()> ready; // whether the proxy has an endpoint list
    request_id_table ids = {};
    invariant_monitor invariants{counts, logger};

    // The schedule of a planned stop. Each time is set once, so that later changes of the settings do not
    // move it.
    std::atomic<double> draining_at = never;  // the stop begins
    std::atomic<double> close_at = never;     // clients' connections start to close
    std::atomic<double> accept_until = never; // new connections are accepted at least until then
    std::atomic<double> respond_by = never;   // every request must have its response
    std::atomic<double> min_idle = 0;         // idle seconds after which a connection closes

    std::atomic<double> disabled_at = never; // an operator disabled the proxy
    std::atomic<bool> handed_over = false;   // another process serves the clients; this one stops

    // Log level of lines about single requests and attempts. During a planned stop all of them are written,
    // as the stop may lose active requests.
    log_level request_level() const { return draining() ? log_level::info : log_level::debug; }
    // Returns the seconds since the stop began; negative without a stop.
    double time_since_stop() const { return draining() ? routing.now() - draining_at.load() : -1; }

    // Returns whether a planned stop has begun.
    bool draining() const { return routing.now() >= draining_at.load(); }
    // Returns whether clients' connections close now.
    bool is_closing() const { return routing.now() >= close_at.load(); }
    // Returns whether an operator has disabled the proxy.
    bool is_disabled() const { return routing.now() >= disabled_at.load(); }
    // Returns whether idle connections close, too. After an operator has disabled the proxy, they close once
    // clients no longer open new connections.
    bool closes_idle() const {
        return is_closing() || routing.now() >= disabled_at.load() + disabled_close_delay;
    }
    // Returns the idle seconds after which a connection closes while closes_idle().
    double idle_close_delay() const { return draining() ? min_idle.load() : disabled_idle_delay; }

    // In seconds. On a connection that was used more recently, another request may be on its way.
    static constexpr double disabled_idle_delay = 0.25;
    // In seconds. The load balancer in front checks every 0.1 s and keeps sending for 0.2 s.
    static constexpr double disabled_close_delay = 1;
};

} // namespace harrierpass::proxy
