// SPDX-License-Identifier: Apache-2.0
// State of all endpoints of one router. Applies updates of the endpoint list and the results of attempts and
// health checks to the modules below, and determines which endpoints can accept a request.
//
// This module does not depend on requests: if attempts should be canceled because of an ejection, the result
// of the call indicates it.
#pragma once

#include "router/endpoint_health.hpp"
#include "router/endpoint_table.hpp"
#include "router/hash_ring.hpp"
#include "router/random_source.hpp"
#include "router/slow_start.hpp"

#include <span>
#include <vector>

namespace harrierpass {

/// Result of an attempt, as far as it concerns its endpoint.
struct attempt_result {
    endpoint_index endpoint;
    double started_at;        ///< Start of the attempt, s.
    double latency_objective; ///< Latency objective of the request's class, s.
    outcome result;
    /// The attempt was counted in flight until its end, so its duration depends on the endpoint, not on the
    /// client.
    bool was_in_flight;
    bool includes_fetch; ///< The endpoint had to fetch the response from the origin.
};

/// The endpoints of one router, which owns them.
///
/// Invariants: members() are the endpoints on the ring, in the order of their indices; capacity() and the
/// active virtual nodes are as of the last refresh().
class endpoint_fleet {
public:
    /// Creates a fleet without endpoints.
    explicit endpoint_fleet(const router_settings &settings);
    /// Applies new settings and keeps the state of the endpoints.
    void update_settings(const router_settings &settings);

    /// Applies an update of the list. Returns the endpoints that it ejected after a silence; their attempts
    /// should be canceled.
    [[nodiscard]] std::vector<endpoint_index> update(endpoint_update_kind kind,
                                                     std::span<const endpoint_info> entries, double now);

    /// Records the result of an attempt that still counts as in flight. True if it was a failure of the
    /// endpoint.
    bool record_result(const attempt_result &result, const load_report &report, double now,
                       random_source &random);
    /// Records the start of a response. The attempt no longer counts as in flight.
    void record_response_start(const attempt_result &result, double now);
    /// Records that a response has begun and pauses. The attempt still counts as in flight.
    void record_response_pause(attempt_record &attempt, double now) {
        table_.record_response_begin(attempt, now);
    }
    /// Updates the endpoint's health after an attempt; true if it was ejected after a silence.
    [[nodiscard]] bool update_health(const attempt_result &result, bool is_failure, double now);
    /// Updates the endpoint's health and load after a health check.
    void on_health_check_finished(endpoint_index endpoint, bool responded, const load_report &report,
                                  double now);

    /// Periodic check of one member: ejects it after too long a silence, not counting a pause of this proxy,
    /// and finishes its warm-up. True if it was ejected after a silence.
    [[nodiscard]] bool check_member(endpoint_index endpoint, double pause, double now);
    /// True if a health check of the endpoint is due, which then counts as sent.
    [[nodiscard]] bool claim_due_health_check(endpoint_index endpoint, double now);
    /// Records that a request is sent to an ejected endpoint in place of a health check.
    void on_request_as_health_check(endpoint_index endpoint, double now) {
        table_[endpoint].outlier.schedule_health_check(now);
    }
    /// Updates the state that depends on all endpoints: mass ejection, active virtual nodes, capacity.
    void refresh(double now);

    /// Includes an attempt in the count of attempts in flight, or excludes it.
    void count_in_flight(attempt_record &attempt, bool in_flight, double now) {
        table_.count_in_flight(attempt, in_flight, now);
    }

    /// True if the endpoint is ejected and mass ejection does not override that.
    [[nodiscard]] bool is_avoided(const endpoint_record &endpoint) const;
    /// True if the endpoint's limit admits a request with this admission draw (request_record).
    [[nodiscard]] bool has_capacity(const endpoint_record &endpoint, double admission_draw, double now) const;
    /// Requests in flight at the endpoint as estimated from its reports, divided by its warm-up progress.
    [[nodiscard]] double estimated_load(const endpoint_record &endpoint, double now) const;
    /// Mean of the requests in flight that the endpoints report.
    [[nodiscard]] double mean_reported_load() const { return reports_.mean(); }
    /// True if the requests cause the present errors, not the endpoint.
    [[nodiscard]] bool errors_are_common(endpoint_index endpoint) const {
        return outliers_.errors_are_common(table_[endpoint].outlier);
    }

    /// Records of all endpoints.
    [[nodiscard]] const endpoint_table &table() const { return table_; }
    /// Hash ring of the members.
    [[nodiscard]] const hash_ring &ring() const { return ring_; }
    /// Ready cache endpoints, in the order of their indices.
    [[nodiscard]] std::span<const endpoint_index> members() const { return members_; }
    /// Number of members that are not avoided, at least 1.
    [[nodiscard]] std::uint32_t usable_count() const { return usable_count_; }
    /// Concurrency limit of all cache endpoints together, attempts.
    [[nodiscard]] double capacity() const { return limits_.fleet_capacity(); }

private:
    /// Passes settings to all modules below.
    void configure(const router_settings &settings);
    /// Applies one entry of the list; new and restarted endpoints start to warm up.
    void update_entry(const endpoint_info &entry, bool in_snapshot, double now);
    /// Keeps an endpoint that was removed without a drain, as ejected; true if it was ejected after a
    /// silence.
    bool retain_removed(endpoint_index endpoint, double now);
    /// Updates the members and the ring from the table.
    void update_ring();
    /// Applies a health event; true if it ejected the endpoint after a silence.
    bool apply_event(endpoint_index endpoint, health_event event, double now);
    /// Warm-up progress; 1 for an endpoint that is not warming up.
    double progress(const endpoint_record &endpoint, double now) const;
    /// Updates the limits with a latency, given as a share of the latency objective.
    void record_latency(endpoint_record &endpoint, double started_at, double latency_share,
                        bool includes_fetch, double now);
    /// Updates the origin's limit and its baseline with a latency sample.
    void record_origin_latency(endpoint_record &origin, const latency_sample &sample, double now);

    deployment_constraints constraints_;
    double proxy_count_ = 1;
    double shortest_latency_objective_ = 0; // s
    endpoint_table table_;
    hash_ring ring_;
    std::vector<endpoint_index> members_;
    std::uint32_t usable_count_ = 0;
    bool is_mass_ejection_ = false;
    slow_start slow_start_;
    load_reports reports_;
    outlier_detection outliers_;
    concurrency_limits limits_;
};

} // namespace harrierpass
