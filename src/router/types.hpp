// SPDX-License-Identifier: Apache-2.0
// Plain types shared by the router and its fronts. Times are seconds, ids are small indices.
#pragma once

#include <cstdint>
#include <limits>
#include <string_view>
#include <vector>

namespace harrierpass {

using index = std::uint32_t;
inline constexpr index none = std::numeric_limits<index>::max();

// Of the time for which a server keeps an idle connection, that a proxy keeps it; the rest is room for the
// server's clock and the way.
inline constexpr double idle_reuse_share = 0.7;

enum class effect_kind : std::uint8_t { idempotent, deduplicated, non_idempotent };
enum class deduplication_scope : std::uint8_t { all, zone, cell };

struct request_class {
    effect_kind effect = effect_kind::non_idempotent;
    deduplication_scope scope =
        deduplication_scope::cell;   // which servers drop repeats of a deduplicated query
    double deduplication_window = 0; // how long they remember it, s
    double latency_objective = 1;
    double priority_weight = 1;
    double late_value_share = 0; // share of the importance left after the SLO time
};

// What a deployment allows and asks of its proxies.
struct deployment_constraints {
    bool may_cancel = false;
    bool may_check_health = false;
    bool watch_required = false;      // the list tells changes only to those who asked
    double max_poll_interval = 3600;  // s without asking after which the list counts as told
    bool removal_is_advisory = false; // one that the list drops without having told of a drain may be sent to
    bool weights_are_dynamic = false;
    index max_attempts = 1;
    double max_retry_after = 0; // s, the longest wait that a rejection may advise; 0: none
};

struct slow_start_settings {
    double initial_capacity_share = 1; // share of its capacity that a started server has at least
    double warm_up_time = 0;           // s until it is warm at the latest
};

struct router_settings {
    deployment_constraints constraints;
    slow_start_settings slow_start;
    std::vector<request_class> request_classes;
    std::vector<double> tenant_quotas; // queries a second inside each tenant's share, over all proxies
    double over_quota_weight_share =
        1;                            // what a query beyond the share is worth, as a share of its importance
    index local_zone = none;          // where this proxy is
    double cross_zone_cost = 0;       // of an execution that crosses zones, as a share of a query's worth
    double origin_fetch_cost = 0;     // of a fetch from the origin, likewise
    index proxy_count = 1;            // proxies in all, this one included
    index proxy_index = none;         // this one's number among them, from 0; none: not told
    double handshake_cost = 0;        // of a new connection to a server, as a share of a query's worth
    double upstream_idle_timeout = 0; // s that a server keeps an idle connection; 0: not told
    index origin_kind = none;         // aside mode: the kind of the list's origin entry
    double event_batch_interval = 0.005; // shortest time between two batches of events
};

// Which part of the servers a proxy uses now, where it prefers some (subsets/chooser.hpp).
struct subset_view {
    index ready_endpoints = 0, selected_endpoints = 0; // servers that are ready; of them those in use
    index level = 0;                                   // one of 2^level parts is preferred
    std::uint64_t endpoints_added = 0, endpoints_removed = 0, widened_for_availability = 0,
                  widened_for_capacity = 0; // servers; times, for want of servers, of room
};

enum class endpoint_state : std::uint8_t { ready, draining, removed };
enum class endpoint_update_kind : std::uint8_t {
    delta,
    snapshot,
    cached_snapshot, // whole, from before the start
    poll_failed,     // the call for it; the entries are empty
    local // changes by this proxy's own choice or its operators', which say nothing of the list service
};
inline bool is_snapshot(endpoint_update_kind kind) {
    return kind == endpoint_update_kind::snapshot || kind == endpoint_update_kind::cached_snapshot;
}

struct endpoint_info {
    index endpoint = none; // small index that the front gave to the id
    std::string_view id;   // needed for its ring points
    double started_at = 0; // when its process started; 0: long ago
    index kind = none;
    index zone = none;
    index cell = none;
    double weight = 1;
    endpoint_state state = endpoint_state::ready;
};

struct request_info {
    index request = none; // small index chosen by the front; free again after its `release`
    index class_id = 0;
    index tenant = 0;
    bool has_key = false;
    bool is_write = false;
    std::uint64_t key = 0;
    double deadline = 0;       // when the client gives up
    bool streams_body = false; // its long body goes to the server while it comes; written() tells its end
};

enum class outcome : std::uint8_t {
    completed,
    error,
    overloaded,
    timed_out,
    connect_error,
    reset,
    canceled,
    discarded_unread,
    cache_miss
};

// Such an execution is known not to have run.
inline bool known_not_executed(outcome result) {
    return result == outcome::connect_error || result == outcome::overloaded ||
           result == outcome::discarded_unread || result == outcome::cache_miss;
}

// What a server said of its own load, with an answer or a probe's; negative: not told.
struct load_report {
    double in_flight = -1; // queries in hand
};

// The server itself spoke, so it is alive.
inline bool is_answer(outcome result) {
    return result == outcome::completed || result == outcome::error || result == outcome::overloaded ||
           result == outcome::cache_miss;
}

enum class action_kind : std::uint8_t {
    start_attempt,
    cancel_attempt,
    reject_request,
    fail_request,
    release_request,
    check_health,
    set_timer,
    watch_endpoints
};

struct action {
    action_kind kind;
    index request = none;
    index endpoint = none;
    index attempt = 0;
    double time = 0; // wake: when; reject: advised wait
};

} // namespace harrierpass
