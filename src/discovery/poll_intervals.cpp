// SPDX-License-Identifier: Apache-2.0
#include "discovery/poll_intervals.hpp"

#include <algorithm>

namespace harrierpass::discovery {
namespace {

// Multiple of the service's snapshot capacity that the first polls of a fleet may request. It may exceed 1
// because most proxies have a cached list and only watch, and a rejected poll gets a Retry-After.
constexpr double initial_overload = 5;
constexpr double min_backoff = 0.5;          // in seconds
constexpr double default_poll_interval = 30; // in seconds; also the maximum
constexpr double watch_share = 0.7;          // share of the poll interval that a watch waits
constexpr double response_share = 0.3;       // share of the poll interval for the response
constexpr double max_watch_timeout = 20;     // in seconds; a silently broken connection is detected after it
constexpr double max_response_timeout = 5;   // in seconds
constexpr double min_watch_delay_limit = 0.15; // in seconds; the protocol continues a watch within 0.2 s
constexpr double max_watch_delay_limit = 1;    // in seconds; half of a common drain time
constexpr double watches_per_snapshot = 20;    // watches that the service opens in the time of one snapshot

// Sets only the timeouts, as polls of a local agent are not spread.
poll_intervals agent_intervals(const poll_settings &settings) {
    poll_intervals intervals;
    intervals.watch_timeout = settings.agent_watch_timeout;
    intervals.response_timeout = settings.agent_response_timeout;
    return intervals;
}

} // namespace

poll_intervals compute_poll_intervals(const poll_settings &settings) {
    if (settings.service == list_service_kind::agent)
        return agent_intervals(settings);
    const double poll_interval = settings.max_poll_interval > 0
                                     ? std::min(settings.max_poll_interval, default_poll_interval)
                                     : default_poll_interval;
    // Seconds that the service needs to send a snapshot to every proxy.
    const double fleet_snapshot_time = settings.proxy_count / settings.snapshots_per_second;
    poll_intervals intervals;
    intervals.watch_timeout = std::min(max_watch_timeout, poll_interval * watch_share);
    intervals.response_timeout = std::min(max_response_timeout, poll_interval * response_share);
    intervals.initial_poll_window = std::min(fleet_snapshot_time / initial_overload, poll_interval / 2);
    intervals.rejected_poll_window = fleet_snapshot_time;
    intervals.min_backoff = std::max(min_backoff, intervals.initial_poll_window);
    intervals.max_backoff = std::max(intervals.min_backoff, poll_interval);
    intervals.max_watch_delay =
        std::clamp(fleet_snapshot_time / watches_per_snapshot, min_watch_delay_limit, max_watch_delay_limit);
    return intervals;
}

} // namespace harrierpass::discovery
