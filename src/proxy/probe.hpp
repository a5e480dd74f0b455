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
    prober(const configuration &given, desk &decides, upstream &servers, buffer_pool &buffers,
           counters &count)
        : limit_(2 * given.dial_limit), desk_(decides), upstream_(servers), buffers_(buffers),
          counters_(count) {}
    ~prober(); // waits for those that are out

    void start(index server);

private:
    bool probe(index server);
    void over(index server, std::optional<bool> answered);

    const double limit_; // s for the answer
    desk &desk_;
    upstream &upstream_;
    buffer_pool &buffers_;
    counters &counters_;
    std::atomic<int> out_ = 0;
};

} // namespace harrierpass::proxy
