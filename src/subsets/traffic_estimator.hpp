// SPDX-License-Identifier: Apache-2.0
// Estimates the traffic of one proxy, for the size of its subset. No I/O, no clock: callers pass times in
// seconds, in ascending order. Owned by the subset router.
#pragma once

#include "router/indexed_vector.hpp"
#include "subsets/subset_size.hpp"

#include <vector>

namespace harrierpass::subsets {

// Traffic of one proxy: rates are decaying sums, shares are means of the latest responses.
class traffic_estimator {
public:
    // Records a new request. Its index may be reused after the release of an earlier request.
    void on_request(double now, request_index request, const request_class &class_settings);
    // Records that the next attempt of the request was sent to the endpoint.
    void on_attempt_started(double now, request_index request, endpoint_index endpoint);
    // Records the end of an attempt. `completed`: it got a regular response; `fetched`: the response was
    // fetched from the origin.
    void on_attempt_finished(double now, request_index request, attempt_number attempt, bool completed,
                             bool fetched);
    // Removes the request. Its attempts in flight no longer count.
    void on_request_released(request_index request);
    // Resets the share of fetches, which was observed at the previous level.
    void on_level_changed(double now);

    // Whether there were enough requests to estimate rates.
    bool has_enough_samples() const { return request_count_ >= min_requests; }
    // Number of requests since the start.
    std::uint64_t request_count() const { return request_count_; }
    // Number of attempts in flight at the endpoint.
    index in_flight(endpoint_index endpoint) const {
        return in_flight_.contains(endpoint) ? in_flight_[endpoint] : 0;
    }
    // Returns the traffic at `now`; `level` is the level of the subset.
    traffic_sample estimate(double now, index level) const;

private:
    static constexpr std::uint64_t min_requests = 8;

    // Mean of the latest values, biased towards 0 while there are few.
    struct recent_mean {
        double sum = 0, weight = 0;
        // Adds a value and decays the earlier ones.
        void add(double value);
        // Returns the mean of the values and `prior` additional zeros.
        double value(double prior) const { return weight > 0 ? sum / (weight + prior) : 0; }
    };
    // Request that has not been released.
    struct request_record {
        double received_at = 0;                // in seconds
        double latency_objective = 1;          // in seconds
        double late_loss = 0;                  // share of the value that a late response loses
        std::vector<endpoint_index> endpoints; // by attempt; `none` after the attempt has finished
    };

    // Decays the sums up to `now`.
    void decay(double now);

    indexed_vector<request_index, request_record> requests_;
    indexed_vector<endpoint_index, index> in_flight_; // attempts by endpoint
    index total_in_flight_ = 0;                       // attempts at all endpoints
    double first_request_at_ = -1;                    // in seconds; negative before the first request
    double decayed_at_ = 0;                           // in seconds
    double attempts_ = 0, in_flight_seconds_ = 0;     // decaying sums
    std::uint64_t request_count_ = 0;
    recent_mean fetch_share_, fetch_loss_, hit_loss_;
};

} // namespace harrierpass::subsets
