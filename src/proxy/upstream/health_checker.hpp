// SPDX-License-Identifier: Apache-2.0
// Health checks of endpoints on request of the router. Each uses a new connection and a short-lived thread of
// its own.
#pragma once

#include "base/counters.hpp"
#include "net/buffer_pool.hpp"
#include "proxy/request/dispatcher.hpp"
#include "proxy/upstream/upstream_pool.hpp"

#include <atomic>
#include <optional>
#include <string_view>

namespace harrierpass::proxy {

// Starts health checks; any thread may call it. The number of checks in flight is bounded.
class health_checker {
public:
    // All arguments must outlive the checker.
    health_checker(dispatcher &routing, upstream_pool &upstreams, buffer_pool &buffers, counters &counts)
        : routing_(routing), upstreams_(upstreams), buffers_(buffers), counters_(counts) {}
    // Waits for the checks in flight.
    ~health_checker();
    health_checker(const health_checker &) = delete;
    health_checker &operator=(const health_checker &) = delete;

    // Starts a check of the endpoint. Its result is always reported to the dispatcher.
    void start(endpoint_index endpoint);

private:
    // Whether the endpoint is healthy; empty: the check was not made.
    using check_result = std::optional<bool>;

    // Makes one check in the calling thread.
    check_result check(endpoint_index endpoint);
    // Writes the unsent rest of the request and reads the response. Returns whether the endpoint is healthy,
    // which it reports with status 200.
    bool exchange(upstream_connection connection, std::string_view unsent);
    // Reports the result to the dispatcher and ends the check.
    void report(endpoint_index endpoint, check_result is_healthy);

    dispatcher &routing_;
    upstream_pool &upstreams_;
    buffer_pool &buffers_;
    counters &counters_;
    std::atomic<int> in_flight_ = 0; // checks that are started but not reported
};

} // namespace harrierpass::proxy
