// SPDX-License-Identifier: Apache-2.0
// What the router remembers of queries and servers: plain records, private to router.cpp.
#pragma once

#include "router/hash_ring.hpp"
#include "router/quota.hpp"
#include "router/random_source.hpp"
#include "router/types.hpp"

#include <functional>
#include <queue>
#include <string>
#include <unordered_map>
#include <utility>

namespace harrierpass {

struct attempt_record {
    index endpoint;
    double started_at;
    bool is_open = true;
    outcome result = outcome::canceled;
    bool counts_in_flight = false; // in flight; not while a long body goes there or a long answer comes back
};

enum class request_state : std::uint8_t { queued, in_progress, finished };
enum class request_event : std::uint8_t {
    nothing,
    received,
    dispatch,
    attempt_started,
    no_capacity,
    not_servable,
    cache_miss,
    not_executed,
    possibly_executed,
    endpoint_ejected,
    response_finished,
    deadline_expired,
    client_disconnected
};
enum class endpoint_health : std::uint8_t { healthy, warming_up, ejected };
enum class health_event : std::uint8_t { nothing, failure_detected, answered, restarted, warm_up_finished };

struct request_record {
    bool is_live = false; // until the front may use its index again
    request_state state = request_state::finished;
    bool is_write = false, streams_body = false, over_quota = false, uses_origin = false, leads_fetch = false,
         awaits_fetch = false;
    index generation = 0;
    request_class class_settings; // as the settings had it when the query came
    std::uint64_t key = 0, ring_position = 0;
    bool has_key = false, has_hot_key = false; // hot: its key alone is more than a server's fair share
    double deadline = 0, queue_deadline = 0;
    double priority_weight = 0; // importance, less beyond the tenant's share
    double admission_draw = 0;  // of 1; where it falls between two executions, a limit is open to lower ones
    index open_attempts = 0;
    std::vector<attempt_record> attempts;
};

// On executions in flight.
struct concurrency_limit {
    double cap = 0, minimum = 0;                  // executions
    double latency_target = 0, sample_weight = 0; // of `slow`, and of a new answer in it
    double warm_endpoints = 1;                    // warm servers, for each of which `cap` is
    double mean_latency_share = 0;                // mean of answer time / SLO time
    double baseline_latency_share = 0;       // `slow` at the least cap, where that is no fault of the load
    double decreased_at = 0, sampled_at = 0; // s
};

struct endpoint_record {
    std::string id;
    endpoint_info info; // as last listed, but for the id
    endpoint_health health = endpoint_health::healthy;
    bool attempt_broke = false,
         health_check_failed = false;   // an execution broke; and then a trial of the suspect failed
    bool removed_without_drain = false; // by the list, which had not told of a drain; it may still be there
    index ring_points = 0, active_ring_points = 0; // points of its own; those in use now
    index in_flight = 0;
    concurrency_limit limit;
    double failure_rate = 0; // mean share of broken executions
    double error_rate = 0;   // mean share of errors among its answers
    double silent_attempt_time = 0,
           silent_time = 0;        // execution-seconds without a sign of life, and seconds of it
    double silence_updated_at = 0; // up to when
    double warm_up_started_at = 0, overloaded_until = 0;
    double origin_backoff = 0,
           last_rejected_at = 0; // the origin's: s that it is left alone; when it last refused
    double reported_in_flight = 0, reported_at = 0; // queries in hand by its last report, and when
    double ejected_at = 0, next_health_check_at = 0, health_check_backoff = 0;
};

struct request_timer {
    double at;
    index request, generation;
    bool operator>(const request_timer &that) const { return at > that.at; }
};

// All that one router knows: what its settings came to, and what it saw.
struct router_state {
    router_state(std::uint32_t seed, double now) : now_(now), random_(seed) {}

    double now_;
    random_source random_;
    std::vector<request_class> request_classes_;
    deployment_constraints constraints_;
    slow_start_settings slow_start_;
    double proxy_count_ = 1, over_quota_weight_share_ = 1;
    double deadline_margin_ = 0; // s before the statement timeout at which a query gets its final answer
    index origin_kind_ = none;
    index proxy_zone_ = none;     // the proxy's
    index preferred_zone_ = none; // whose servers go first; none: nowhere
    double cross_zone_cost_ = 0;  // of an answer's worth
    index origin_ = none;

    tenant_quotas quotas_;
    std::vector<request_record> requests_;
    std::vector<index> queue_;                         // by importance, then age
    std::unordered_map<std::uint64_t, index> fetches_; // key to the query that fetches it; never iterated
    std::priority_queue<request_timer, std::vector<request_timer>, std::greater<>> timers_;
    double retry_budget_ = 0; // further executions that may follow ones that may have run

    std::vector<endpoint_record> endpoints_;
    hash_ring ring_;
    std::vector<index> ring_endpoints_;
    index usable_endpoints_ = 0, total_in_flight_ = 0; // servers to choose from; executions at all of them
    concurrency_limit total_limit_;                    // on executions at all of them
    double total_capacity_ = 0;                        // what it comes to
    double mean_response_time_ = 0;                    // s
    double fleet_error_rate_ = 0;                      // mean share of errors among all answers
    std::unordered_map<index, double> zone_latency_;   // s, of a zone's latest answers; never iterated
    double mean_reported_in_flight_ = 0;               // queries in hand, by the servers' reports
    double minimum_silent_time_ = 0;                   // s
    double shortest_latency_objective_ = 0;            // SLO time, s
    double last_sweep_at_ = 0;                         // when the last sweep was, s
    bool mass_ejection_ = false; // so many are suspect that suspicion is not to be trusted
};

} // namespace harrierpass
