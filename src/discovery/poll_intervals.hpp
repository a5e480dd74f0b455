// SPDX-License-Identifier: Apache-2.0
// How a fleet of proxies spreads its polls over the discovery service: intervals that follow from the fleet's
// size, from what the service can do, and from how long a drain may go unnoticed. Pure functions; times are
// in seconds.
#pragma once

#include "router/types.hpp"

namespace harrierpass::discovery {

// Who answers polls.
enum class list_service_kind : std::uint8_t {
    agent, // one beside each proxy, free to ask: polls are not spread, and every list is plausible
    shared // one service for all proxies
};

// What a deployment configures (docs/cold-start.md).
struct poll_settings {
    list_service_kind service = list_service_kind::agent;
    index proxy_count = 1;             // of the whole fleet
    double snapshots_per_second = 20;  // that the service can make
    double max_poll_interval = 0;      // s without a poll after which changes count as notified; 0: not known
    double agent_watch_timeout = 1;    // s that a watch of an agent waits
    double agent_response_timeout = 1; // s for an agent's response beyond that
};

// When to poll; all in seconds.
struct poll_intervals {
    double initial_poll_window = 0;  // after a start, over which the fleet's first polls are spread
    double rejected_poll_window = 0; // over which rejected polls are spread, beyond their Retry-After
    double min_backoff = 0;          // a first failure is followed by a poll within this, ...
    double max_backoff = 0;          // ... further ones within twice the last, up to this
    double watch_timeout = 1;        // that a watch waits at the service
    double response_timeout = 1;     // for the response beyond that
    double max_watch_delay = 0;      // between a response and the next watch
};

// The intervals for a deployment.
poll_intervals compute_poll_intervals(const poll_settings &settings);

} // namespace harrierpass::discovery
