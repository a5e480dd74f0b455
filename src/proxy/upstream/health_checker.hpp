// SPDX-License-Identifier: Apache-2.0
// Health checks of endpoints, as the router asks for them: each on a new connection and in a short thread of
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

class health_checker {
public:
    health_checker(dispatcher &routing, upstream_pool &upstreams, buffer_pool &buffers, counters &count)
        : routing_(routing), upstreams_(upstreams), buffers_(buffers), counters_(count) {}
    // Waits for the checks that are in flight.
    ~health_checker();
    health_checker(const health_checker &) = delete;
    health_checker &operator=(const health_checker &) = delete;

    // Starts a check of the endpoint. Its result goes to the dispatcher, always.
    void start(endpoint_index endpoint);

private:
    // What a check found; empty: it was not made, which says nothing of the endpoint.
    using check_result = std::optional<bool>;

    check_result check(endpoint_index endpoint);
    bool exchange(upstream_connection connection, std::string_view unsent);
    void report(endpoint_index endpoint, check_result is_healthy);

    dispatcher &routing_;
    upstream_pool &upstreams_;
    buffer_pool &buffers_;
    counters &counters_;
    std::atomic<int> in_flight_ = 0; // checks started and not reported
};

} // namespace harrierpass::proxy
