// SPDX-License-Identifier: Apache-2.0
// Computes the intervals at which the proxies of a fleet poll the discovery service, so that polls are spread
// over time. They depend on the proxy count, the capacity of the service and the maximum time until a
// drain is noticed. Pure functions; times are in seconds.
#pragma once

#include "router/types.hpp"

namespace harrierpass::discovery {

// Kind of service that responds to polls.
enum class list_service_kind : std::uint8_t {
    agent, // one local to each proxy: polls are not spread, and every list is plausible
    shared // one for all proxies
};

// Poll settings of a deployment (docs/cold-start.md).
struct poll_settings {
    list_service_kind service = list_service_kind::agent;
    index proxy_count = 1;             // proxies in the fleet
    double snapshots_per_second = 20;  // capacity of the service
    double max_poll_interval = 0;      // s without a poll after which changes count as notified; 0: unknown
    double agent_watch_timeout = 1;    // s that a watch waits at an agent
    double agent_response_timeout = 1; // s for the agent's response after the watch timeout
};

// Intervals between polls and timeouts of polls, in seconds.
struct poll_intervals {
    double initial_poll_window = 0;  // spreads the first polls of the fleet after a start
    double rejected_poll_window = 0; // spreads retries of rejected polls, after their Retry-After
    double min_backoff = 0;          // maximum delay after a first failure
    double max_backoff = 0;          // limit of the delay, which doubles with each further failure
    double watch_timeout = 1;        // time that a watch waits at the service
    double response_timeout = 1;     // time for the response after the watch timeout
    double max_watch_delay = 0;      // maximum delay between a response and the next watch
};

// Computes the intervals for a deployment.
poll_intervals compute_poll_intervals(const poll_settings &settings);

} // namespace harrierpass::discovery
