// SPDX-License-Identifier: Apache-2.0
// All that one router knows about its endpoints: it applies updates of the endpoint list, results of attempts
// and of health checks to the modules below it, and answers which endpoints can take a request.
//
// It knows nothing of requests: where an ejection concerns the attempts of requests, it says so in its
// result.
#pragma once

#include "router/endpoint_health.hpp"
#include "router/endpoint_table.hpp"
#include "router/hash_ring.hpp"
#include "router/random_source.hpp"
#include "router/slow_start.hpp"

#include <span>
#include <vector>

namespace harrierpass {

/// How an attempt ended, as far as it concerns its endpoint.
struct attempt_result {
    endpoint_index endpoint;
    double started_at;        ///< s
    double latency_objective; ///< Of the request's class, s.
    outcome result;
    bool counted; ///< It was counted in flight, so its time is the endpoint's, not the client's.
    bool fetched; ///< The endpoint had to fetch the response from the origin.
};

/// The endpoints of one router, which owns them.
///
/// Invariants: members() are the endpoints on the ring, in order of their index; capacity() and the nodes in
/// use are those of the last refresh().
class endpoint_fleet {
public:
    /// No endpoint is known yet.
    explicit endpoint_fleet(const router_settings &settings);
    /// New settings; what was learned of the endpoints stays.
    void update_settings(const router_settings &settings);

    /// Applies an update of the list; returns the endpoints that it ejected after a silence, whose attempts
    /// should be canceled.
    [[nodiscard]] std::vector<endpoint_index> update(endpoint_update_kind kind,
                                                     std::span<const endpoint_info> entries, double now);

    /// Records the end of an attempt, but not yet that it is no longer in flight. True: it was a failure of
    /// the endpoint.
    bool record_result(const attempt_result &result, const load_report &report, double now,
                       random_source &random);
    /// Records the start of a response whose attempt is no longer counted in flight.
    void record_response_start(const attempt_result &result, double now);
    /// Changes the endpoint's health by the result; true: it was ejected after a silence.
    [[nodiscard]] bool update_health(const attempt_result &result, bool is_failure, double now);
    /// A health check finished.
    void on_health_check_finished(endpoint_index endpoint, bool answered, const load_report &report,
                                  double now);

    /// Periodic check of one member: its silence, ignoring a pause of this proxy, and the end of its warm-up.
    /// True: it was ejected after a silence.
    [[nodiscard]] bool check(endpoint_index endpoint, double pause, double now);
    /// A health check of the endpoint is due, and counts as sent.
    [[nodiscard]] bool take_due_health_check(endpoint_index endpoint, double now);
    /// A request is about to be sent to an ejected endpoint in place of a health check.
    void on_request_as_health_check(endpoint_index endpoint, double now) {
        table_[endpoint].outlier.schedule_health_check(now);
    }
    /// Computes what depends on all endpoints: mass ejection, nodes in use, capacity.
    void refresh(double now);

    /// Counts an attempt as in flight, or no longer.
    void count_in_flight(attempt_record &attempt, bool counts, double now) {
        table_.count_in_flight(attempt, counts, now);
    }

    /// The endpoint is ejected, and mass ejection does not override that.
    [[nodiscard]] bool is_avoided(const endpoint_record &endpoint) const;
    /// The endpoint's limit admits a request with this draw.
    [[nodiscard]] bool has_capacity(const endpoint_record &endpoint, double admission_draw, double now) const;
    /// Requests in flight at the endpoint by its reports, in proportion to its warm-up progress.
    [[nodiscard]] double reported_load_of(const endpoint_record &endpoint, double now) const;
    /// Mean of the requests in flight that endpoints report.
    [[nodiscard]] double mean_reported_load() const { return reports_.mean(); }
    /// Errors are the requests' own fault at present.
    [[nodiscard]] bool errors_are_common(endpoint_index endpoint) const {
        return outliers_.errors_are_common(table_[endpoint].outlier);
    }

    /// The records of all endpoints.
    [[nodiscard]] const endpoint_table &table() const { return table_; }
    /// The ring of the members.
    [[nodiscard]] const hash_ring &ring() const { return ring_; }
    /// Ready cache endpoints, by index.
    [[nodiscard]] std::span<const endpoint_index> members() const { return members_; }
    /// Members that are not avoided, at least 1.
    [[nodiscard]] std::uint32_t usable_count() const { return usable_count_; }
    /// Attempts that all cache endpoints together should have in flight at most.
    [[nodiscard]] double capacity() const { return limits_.fleet_capacity(); }

private:
    /// Takes over settings in all modules below.
    void configure(const router_settings &settings);
    /// Applies one entry of the list; new and restarted endpoints warm up.
    void update_entry(const endpoint_info &entry, bool in_snapshot, double now);
    /// Keeps an endpoint that was removed without a drain, as ejected; true: after a silence.
    bool keep_removed(endpoint_index endpoint, double now);
    /// Brings members and ring in line with the table.
    void update_ring();
    /// Applies a health event; true: the endpoint was ejected after a silence.
    bool apply(endpoint_index endpoint, health_event event, double now);
    /// Warm-up progress, 1 for an endpoint that does not warm up.
    double progress(const endpoint_record &endpoint, double now) const;
    /// Records a latency sample, as a share of the objective, for the limits.
    void record_latency(endpoint_record &endpoint, double started_at, double latency_share, bool fetched,
                        double now);
    /// The same for the origin, whose limit has a baseline.
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
