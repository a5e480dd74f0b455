// SPDX-License-Identifier: Apache-2.0
// Probes of servers that the router asks for, each on a new connection and a short thread of its own.
#pragma once

#include "net/buffers.hpp"
#include "proxy/desk.hpp"
#include "proxy/settings.hpp"
#include "proxy/upstream.hpp"

#include <atomic>

namespace harrierpass::proxy {

class prober {
public:
    prober(desk &decides, upstream &servers, buffer_pool &buffers, counters &count)
        : desk_(decides), upstream_(servers), buffers_(buffers), counters_(count) {}
    ~prober(); // waits for those that are out

    void start(index server);

private:
    std::optional<bool> probe(index server); // empty: not made
    void over(index server, std::optional<bool> answered);

    desk &desk_;
    upstream &upstream_;
    buffer_pool &buffers_;
    counters &counters_;
    std::atomic<int> out_ = 0;
};

} // namespace harrierpass::proxy
