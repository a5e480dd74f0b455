// SPDX-License-Identifier: Apache-2.0
// Plain types shared by the router and its callers. Times and durations are seconds of the caller's clock.
// Names are represented by small dense indices that the caller assigns.
#pragma once

#include "router/typed_index.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace harrierpass {

/// A request in the request table; reused after release_request.
using request_index = typed_index<struct request_index_tag>;
/// An endpoint; reused once it is removed and no request refers to it.
using endpoint_index = typed_index<struct endpoint_index_tag>;
/// Position in router_settings::request_classes.
using class_index = typed_index<struct class_index_tag>;
/// Position in router_settings::tenant_quotas.
using tenant_index = typed_index<struct tenant_index_tag>;
/// An availability zone.
using zone_index = typed_index<struct zone_index_tag>;
/// A deployment cell, within which endpoints may recognize a retry.
using cell_index = typed_index<struct cell_index_tag>;
/// A kind of endpoint, such as the origin's.
using kind_index = typed_index<struct kind_index_tag>;
/// Attempts of one request, numbered from 0 in order of their start.
using attempt_number = typed_index<struct attempt_number_tag>;

/// Share of the upstream's idle timeout for which a proxy reuses an idle connection. The rest covers clock
/// differences and network latency.
inline constexpr double idle_reuse_share = 0.7;

/// What a second execution of a request does to the system behind the endpoints.
enum class effect_kind : std::uint8_t { idempotent, deduplicated, non_idempotent };
/// Which endpoints recognize a retry of a deduplicated request: all, those of one zone, or those of one cell.
enum class deduplication_scope : std::uint8_t { all, zone, cell };

/// Settings shared by all requests of one class.
struct request_class {
    effect_kind effect = effect_kind::non_idempotent;
    deduplication_scope scope = deduplication_scope::cell; ///< Endpoints that recognize a retry.
    double deduplication_window = 0;                       ///< Time for which they recognize it, s.
    double latency_objective = 1;                          ///< Target response time, s.
    double priority_weight = 1;                            ///< Relative value of a response in time.
    double late_value_share = 0; ///< Share of the value that is left after the latency objective.
};

/// What a deployment allows its proxies to do and requires of them.
struct deployment_constraints {
    bool may_cancel = false;          ///< Attempts in progress may be canceled.
    bool may_check_health = false;    ///< Health checks may be sent to endpoints.
    bool watch_required = false;      ///< The discovery service only notifies proxies that subscribed.
    double max_poll_interval = 3600;  ///< Longest allowed time between two polls of the endpoint list, s.
    bool removal_is_advisory = false; ///< An endpoint removed without a drain may still receive requests.
    bool weights_are_dynamic = false; ///< Endpoint weights change with load, so the ring ignores them.
    index max_attempts = 1;           ///< Attempts allowed for one request, the first included.
    double max_retry_after = 0;       ///< Longest wait that a rejection may advise, s; 0: no advice.
};

/// How endpoints warm up after a start of their process.
struct slow_start_settings {
    double initial_capacity_share = 1; ///< Share of its capacity that a new endpoint has.
    double warm_up_time = 0;           ///< Time until it has full capacity, s; 0: at once.
};

/// Everything that configures one router.
struct router_settings {
    deployment_constraints constraints;
    slow_start_settings slow_start;
    std::vector<request_class> request_classes;
    std::vector<double> tenant_quotas;   ///< Requests per second of each tenant, over all proxies.
    double over_quota_weight_share = 1;  ///< Factor on the priority weight of a request over quota.
    zone_index local_zone = none;        ///< Zone of this proxy.
    double cross_zone_cost = 0;          ///< Cost of a cross-zone attempt, as a share of a request's value.
    double origin_fetch_cost = 0;        ///< Cost of an origin fetch, as a share of a request's value.
    index proxy_count = 1;               ///< Number of proxies, this one included.
    index proxy_index = none;            ///< Number of this proxy, from 0; none: unknown.
    double handshake_cost = 0;           ///< Cost of a new connection, as a share of a request's value.
    double upstream_idle_timeout = 0;    ///< Time for which endpoints keep idle connections, s; 0: unknown.
    kind_index origin_kind = none;       ///< Cache-aside mode: the kind of the origin's endpoint entry.
    double event_batch_interval = 0.005; ///< Shortest time between two batches of events, s.
};

/// The part of the endpoints that a proxy prefers (subsets/subset_router.hpp).
struct subset_view {
    index ready_endpoints = 0, selected_endpoints = 0; ///< Endpoints that are ready; those of them in use.
    index level = 0;                                   ///< One of 2^level parts is preferred.
    std::uint64_t endpoints_added = 0, endpoints_removed = 0; ///< Endpoints that entered and left the part.
    /// Times that the part grew for lack of usable endpoints, and for lack of capacity.
    std::uint64_t widened_for_availability = 0, widened_for_capacity = 0;
};

/// State of an entry of the endpoint list.
enum class endpoint_state : std::uint8_t { ready, draining, removed };
/// What an update of the endpoint list contains.
enum class endpoint_update_kind : std::uint8_t {
    delta,           ///< Changed entries only.
    snapshot,        ///< The complete list.
    cached_snapshot, ///< A complete list saved before the start of this process.
    poll_failed,     ///< The poll failed; there are no entries.
    local            ///< Changes made by this proxy or its operators, not by the discovery service.
};
/// The update replaces the whole list.
inline bool is_snapshot(endpoint_update_kind kind) {
    return kind == endpoint_update_kind::snapshot || kind == endpoint_update_kind::cached_snapshot;
}

/// One entry of the endpoint list.
struct endpoint_info {
    endpoint_index endpoint = none; ///< Index that the caller assigned to the id.
    std::string_view id;   ///< Identifies the endpoint to all proxies; its ring points follow from it.
    double started_at = 0; ///< Start of its process; 0: unknown or long ago.
    kind_index kind = none;
    zone_index zone = none;
    cell_index cell = none;
    double weight = 1;
    endpoint_state state = endpoint_state::ready;
};

/// A request as it arrives.
struct request_info {
    request_index request = none; ///< Chosen by the caller; free again after release_request.
    class_index class_id{};
    tenant_index tenant{};
    bool has_key = false;
    bool is_write = false;
    std::uint64_t key = 0;
    double deadline = 0; ///< Time at which the client gives up, s.
    bool streams_body =
        false; ///< The body is forwarded while it arrives; on_request_body_sent() reports its end.
};

/// How an attempt ended.
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

/// The endpoint is known not to have executed the request.
inline bool known_not_executed(outcome result) {
    return result == outcome::connect_error || result == outcome::overloaded ||
           result == outcome::discarded_unread || result == outcome::cache_miss;
}

/// Load that an endpoint reported with a response or a health check.
struct load_report {
    double in_flight = -1; ///< Requests it works on; negative: not reported.
};

/// The endpoint itself responded, so its process is alive.
inline bool is_answer(outcome result) {
    return result == outcome::completed || result == outcome::error || result == outcome::overloaded ||
           result == outcome::cache_miss;
}

/// What the caller has to do.
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
    double time = 0; ///< set_timer: when it fires, s; reject_request: advised wait, s.
};

} // namespace harrierpass
