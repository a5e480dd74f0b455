// SPDX-License-Identifier: Apache-2.0
// Estimates of one proxy's own traffic, for the size of its subset. No I/O, no clock: times come in, in
// seconds and in ascending order. Owned by the subset router.
#pragma once

#include "router/indexed_vector.hpp"
#include "subsets/subset_size.hpp"

#include <vector>

namespace harrierpass::subsets {

class traffic_estimator {
public:
    // A new request; its index may have been that of one released before.
    void on_request(double now, request_index request, const request_class &class_settings);
    // The next attempt of the request was sent to the endpoint.
    void on_attempt_started(double now, request_index request, endpoint_index endpoint);
    // `completed`: with a regular response; `fetched`: the origin was asked for it.
    void on_attempt_finished(double now, request_index request, attempt_number attempt, bool completed,
                             bool fetched);
    // Nothing more is reported of the request; its attempts in flight no longer count.
    void on_request_released(request_index request);
    // Forgets the share of fetches, which was observed at another level.
    void on_level_changed(double now);

    // Whether there were enough requests for a rate to mean anything.
    bool has_enough_samples() const { return request_count_ >= min_requests; }
    // Requests since the start.
    std::uint64_t request_count() const { return request_count_; }
    // Attempts in flight at the endpoint.
    index in_flight(endpoint_index endpoint) const {
        return in_flight_.contains(endpoint) ? in_flight_[endpoint] : 0;
    }
    // The traffic as of `now`; `level` is that of the subset.
    traffic_sample estimate(double now, index level) const;

private:
    static constexpr std::uint64_t min_requests = 8;

    // Mean of the latest values, drawn towards 0 while they are few.
    struct recent_mean {
        double sum = 0, weight = 0;
        // Adds a value and lets the earlier ones fade.
        void add(double value);
        // `prior`: how many zeros the values are averaged with.
        double value(double prior) const { return weight > 0 ? sum / (weight + prior) : 0; }
    };
    struct request_record {
        double arrived_at = 0;                 // s
        double latency_objective = 1;          // s
        double late_loss = 0;                  // share of the value lost by a late response
        std::vector<endpoint_index> endpoints; // by attempt; `none` once it has finished
    };

    // Lets the sums fade up to `now`.
    void decay(double now);

    indexed_vector<request_index, request_record> requests_;
    indexed_vector<endpoint_index, index> in_flight_; // attempts
    index total_in_flight_ = 0;                       // attempts at all endpoints
    double first_request_at_ = -1;                    // s; negative before the first request
    double decayed_at_ = 0;                           // s
    double attempts_ = 0, in_flight_seconds_ = 0;     // decaying sums
    std::uint64_t request_count_ = 0;
    recent_mean fetch_share_, fetch_loss_, hit_loss_;
};

} // namespace harrierpass::subsets
