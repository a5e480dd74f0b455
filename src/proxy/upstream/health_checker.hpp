// SPDX-License-Identifier: Apache-2.0
// Probes of servers that the router asks for, each on a new connection and a short thread of its own.
#pragma once

#include "net/buffer_pool.hpp"
#include "proxy/configuration.hpp"
#include "proxy/request/dispatcher.hpp"
#include "proxy/upstream/upstream_pool.hpp"

#include <atomic>

namespace harrierpass::proxy {

class health_checker {
public:
    health_checker(dispatcher &decides, upstream_pool &servers, buffer_pool &buffers, counters &count)
        : dispatcher_(decides), upstream_(servers), buffers_(buffers), counters_(count) {}
    ~health_checker(); // waits for those that are out

    void start(index server);

private:
    std::optional<bool> check(index server); // empty: not made
    void finished(index server, std::optional<bool> answered);

    dispatcher &dispatcher_;
    upstream_pool &upstream_;
    buffer_pool &buffers_;
    counters &counters_;
    std::atomic<int> out_ = 0;
};

} // namespace harrierpass::proxy
