// SPDX-License-Identifier: Apache-2.0
// Types shared by the router and its callers. Times and durations are in seconds on the caller's clock. The
// caller assigns a small dense index to each name.
#pragma once

#include "router/typed_index.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace harrierpass {

/// Index of a request in the request table; reusable after release_request.
using request_index = typed_index<struct request_index_tag>;
/// Index of an endpoint; reusable once the endpoint is removed and no request refers to it.
using endpoint_index = typed_index<struct endpoint_index_tag>;
/// Position in router_settings::request_classes.
using class_index = typed_index<struct class_index_tag>;
/// Position in router_settings::tenant_quotas.
using tenant_index = typed_index<struct tenant_index_tag>;
/// Index of an availability zone.
using zone_index = typed_index<struct zone_index_tag>;
/// Index of a deployment cell. Deduplication may cover the endpoints of one cell only.
using cell_index = typed_index<struct cell_index_tag>;
/// Index of an endpoint kind, such as the origin's.
using kind_index = typed_index<struct kind_index_tag>;
/// Number of an attempt within its request, from 0 in the order of starts.
using attempt_number = typed_index<struct attempt_number_tag>;

/// Share of the upstream idle timeout during which a proxy reuses an idle connection. The rest allows for
/// clock differences and network latency.
inline constexpr double idle_reuse_share = 0.7;

/// Effect of executing a request a second time on the system behind the endpoints.
enum class effect_kind : std::uint8_t { idempotent, deduplicated, non_idempotent };
/// Endpoints that recognize a retry of a deduplicated request: all, those of one zone, or those of one cell.
enum class deduplication_scope : std::uint8_t { all, zone, cell };

/// Settings shared by all requests of one class.
struct request_class {
    effect_kind effect = effect_kind::non_idempotent;
    deduplication_scope scope = deduplication_scope::cell; ///< Endpoints that recognize a retry.
    double deduplication_window = 0;                       ///< Time for which endpoints recognize a retry, s.
    double latency_objective = 1;                          ///< Target response time, s.
    double priority_weight = 1;  ///< Relative value of a response within the objective.
    double late_value_share = 0; ///< Share of its value that a response after the objective keeps.
};

/// Permissions and requirements of a deployment for its proxies.
struct deployment_constraints {
    bool may_cancel = false;          ///< Attempts in progress may be canceled.
    bool may_check_health = false;    ///< Health checks may be sent to endpoints.
    bool watch_required = false;      ///< The discovery service sends changes only to proxies with a watch.
    double max_poll_interval = 3600;  ///< Longest allowed interval between two polls of the endpoint list, s.
    bool removal_is_advisory = false; ///< An endpoint removed without a drain may still be sent requests.
    bool weights_are_dynamic = false; ///< Endpoint weights change with load, so the hash ring ignores them.
    index max_attempts = 1;           ///< Maximum number of attempts of one request, including the first.
    double max_retry_after = 0;       ///< Maximum Retry-After of a rejection, s; 0: no Retry-After.
};

/// Warm-up of endpoints after a start of their process.
struct slow_start_settings {
    double initial_capacity_share = 1; ///< Share of its capacity that an endpoint has at the start.
    double warm_up_time = 0;           ///< Time until an endpoint has full capacity, s; 0: no warm-up.
};

/// Settings of one router.
struct router_settings {
    deployment_constraints constraints;
    slow_start_settings slow_start;
    std::vector<request_class> request_classes;
    std::vector<double> tenant_quotas;  ///< Quota of each tenant over all proxies, requests per second.
    double over_quota_weight_share = 1; ///< Factor on the priority weight of a request that is over quota.
    zone_index local_zone = none;       ///< Zone of this proxy.
    double cross_zone_cost = 0;         ///< Cost of a cross-zone attempt, as a share of a request's value.
    double origin_fetch_cost = 0;       ///< Cost of an origin fetch, as a share of a request's value.
    index proxy_count = 1;              ///< Number of proxies, including this one.
    index proxy_index = none;           ///< Index of this proxy, from 0; none: unknown.
    double handshake_cost = 0;          ///< Cost of a new connection, as a share of a request's value.
    double upstream_idle_timeout = 0; ///< Time for which endpoints keep idle connections open, s; 0: unknown.
    kind_index origin_kind = none;    ///< Cache-aside mode: kind of the origin's endpoint entry.
    double event_batch_interval = 0.005; ///< Minimum interval between two batches of events, s.
};

/// State and counters of the subset of endpoints that a proxy prefers (subsets/subset_router.hpp).
struct subset_view {
    index ready_endpoints = 0, selected_endpoints = 0;        ///< Ready endpoints; ready endpoints in use.
    index level = 0;                                          ///< The subset is one of 2^level parts.
    std::uint64_t endpoints_added = 0, endpoints_removed = 0; ///< Endpoints that entered and left the subset.
    /// Number of times the subset grew because too few endpoints were usable, and for lack of capacity.
    std::uint64_t widened_for_availability = 0, widened_for_capacity = 0;
};

/// State of an entry of the endpoint list.
enum class endpoint_state : std::uint8_t { ready, draining, removed };
/// Kind of an update of the endpoint list.
enum class endpoint_update_kind : std::uint8_t {
    delta,           ///< Changed entries only.
    snapshot,        ///< The complete list.
    cached_snapshot, ///< A complete list that was saved before this process started.
    poll_failed,     ///< The poll failed; the update has no entries.
    local            ///< Changes made by this proxy or its operators, not by the discovery service.
};
/// True if the update replaces the whole list.
inline bool is_snapshot(endpoint_update_kind kind) {
    return kind == endpoint_update_kind::snapshot || kind == endpoint_update_kind::cached_snapshot;
}

/// One entry of the endpoint list.
struct endpoint_info {
    endpoint_index endpoint = none; ///< Index that the caller assigned to the id.
    std::string_view id;            ///< Identifies the endpoint to all proxies; determines its ring points.
    double started_at = 0;          ///< Start time of the process; 0: unknown or long ago.
    kind_index kind = none;
    zone_index zone = none;
    cell_index cell = none;
    double weight = 1;
    endpoint_state state = endpoint_state::ready;
};

/// A request on arrival.
struct request_info {
    request_index request = none; ///< Chosen by the caller; reusable after release_request.
    class_index class_id{};
    tenant_index tenant{};
    bool has_key = false;
    bool is_write = false;
    std::uint64_t key = 0;
    double deadline = 0; ///< Time at which the client gives up, s.
    /// The body is forwarded while it arrives; on_request_body_sent() reports that it was sent completely.
    bool streams_body = false;
};

/// Result of an attempt.
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

/// True if the endpoint is known not to have executed the request.
inline bool known_not_executed(outcome result) {
    return result == outcome::connect_error || result == outcome::overloaded ||
           result == outcome::discarded_unread || result == outcome::cache_miss;
}

/// Load that an endpoint reported in a response or a health check.
struct load_report {
    double in_flight = -1; ///< Requests in flight at the endpoint; negative: not reported.
};

/// True if the endpoint itself responded, so its process is alive.
inline bool is_endpoint_response(outcome result) {
    return result == outcome::completed || result == outcome::error || result == outcome::overloaded ||
           result == outcome::cache_miss;
}

/// Kind of an action that the caller has to carry out.
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

/// One decision of the router; fields that its kind does not use keep their defaults.
struct action {
    action_kind kind;
    request_index request = none;
    endpoint_index endpoint = none;
    attempt_number attempt{};
    double time = 0; ///< set_timer: expiry time, s; reject_request: Retry-After, s.
};

} // namespace harrierpass
