// SPDX-License-Identifier: Apache-2.0
// How a tier of proxies spreads its calls over the list service: times that follow from the tier's size, from
// what the service can do, and from how long a drain may go unheard. No I/O. Times are seconds.
#pragma once

#include "router/types.hpp"

namespace harrierpass::discovery {

enum class list_service_kind : std::uint8_t {
    agent, // one beside each proxy, at no cost: what it has counts as told, so nothing is spread or doubted
    shared // one service for all proxies
};

// What a deployment tells (docs/cold-start.md).
struct poll_settings {
    list_service_kind service = list_service_kind::agent;
    index proxy_count = 1;             // proxies in all
    double snapshots_per_second = 20;  // whole lists that the service makes in a second
    double max_poll_interval = 0;      // s without asking after which the list counts as told; 0: not told
    double agent_watch_timeout = 1;    // s that a watch of an agent waits
    double agent_response_timeout = 1; // s for an agent to answer beside that
};

struct poll_intervals {
    double initial_poll_window = 0; // s after a start over which the tier's first calls are spread
    double rejected_poll_window =
        0;                    // s over which those are spread that were refused, beyond what they were told
    double min_backoff = 0;   // s; a loss is followed by a call within this, then twice it, ...
    double max_backoff = 0;   // ... at most this
    double watch_timeout = 1; // s that a watch waits at the service
    double response_timeout = 1; // s for an answer beside that
    double max_watch_delay = 0;  // s between an answer and the next watch, at most
};

poll_intervals compute_poll_intervals(const poll_settings &given);

} // namespace harrierpass::discovery
