// SPDX-License-Identifier: Apache-2.0
#include "subsets/traffic_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace harrierpass::subsets {
namespace {

constexpr double rate_time_constant = 8;   // in seconds
constexpr double min_observed_time = 0.25; // in seconds; a shorter time would make the first rate too high
constexpr double response_memory = 64;     // responses; enough for a share with an error of about 0.1
constexpr double loss_prior = 16;          // responses; fewer do not show the loss by fetches

} // namespace

void traffic_estimator::recent_mean::add(double value) {
    sum += value - sum / response_memory;
    weight += 1 - weight / response_memory;
}

void traffic_estimator::decay(double now) {
    const double elapsed = std::max(0.0, now - decayed_at_);
    const double decay_factor = std::exp(-elapsed / rate_time_constant);
    attempts_ *= decay_factor;
    in_flight_seconds_ =
        in_flight_seconds_ * decay_factor + total_in_flight_ * rate_time_constant * (1 - decay_factor);
    decayed_at_ = std::max(decayed_at_, now);
}

void traffic_estimator::on_request(double now, request_index request, const request_class &class_settings) {
    if (first_request_at_ < 0)
        first_request_at_ = decayed_at_ = now;
    ++request_count_;
    requests_.grow_to(request);
    requests_[request] = {now, class_settings.latency_objective, 1 - class_settings.late_value_share, {}};
}

void traffic_estimator::on_attempt_started(double now, request_index request, endpoint_index endpoint) {
    decay(now);
    ++attempts_;
    requests_[request].endpoints.push_back(endpoint);
    in_flight_.grow_to(endpoint);
    ++in_flight_[endpoint];
    ++total_in_flight_;
}

void traffic_estimator::on_attempt_finished(double now, request_index request, attempt_number attempt,
                                            bool completed, bool fetched) {
    if (!requests_.contains(request) || attempt.value() >= requests_[request].endpoints.size())
        return;
    auto &record = requests_[request];
    endpoint_index &endpoint = record.endpoints[attempt.value()];
    if (endpoint == none)
        return;
    decay(now);
    --in_flight_[endpoint];
    --total_in_flight_;
    endpoint = none;
    if (!completed)
        return;
    fetch_share_.add(fetched ? 1 : 0);
    const bool is_late = now - record.received_at > record.latency_objective;
    (fetched ? fetch_loss_ : hit_loss_).add(is_late ? record.late_loss : 0);
}

void traffic_estimator::on_request_released(request_index request) {
    for (const endpoint_index endpoint : requests_[request].endpoints)
        if (endpoint != none) {
            --in_flight_[endpoint];
            --total_in_flight_;
        }
    requests_[request].endpoints.clear();
}

void traffic_estimator::on_level_changed(double now) {
    decay(now);
    fetch_share_ = {};
}

traffic_sample traffic_estimator::estimate(double now, index level) const {
    const double elapsed = std::max(0.0, now - decayed_at_);
    const double decay_factor = std::exp(-elapsed / rate_time_constant);
    // Value of the decaying sum for a rate of 1, which rises during the first time constants.
    const double observed_time = std::max(min_observed_time, now - first_request_at_);
    const double unit_sum = rate_time_constant * (1 - std::exp(-observed_time / rate_time_constant));
    traffic_sample sample;
    sample.attempt_rate = attempts_ * decay_factor / unit_sum;
    sample.in_flight =
        (in_flight_seconds_ * decay_factor + total_in_flight_ * rate_time_constant * (1 - decay_factor)) /
        unit_sum;
    sample.origin_fetch_share = fetch_share_.value(0);
    sample.origin_fetch_loss = std::max(0.0, fetch_loss_.value(loss_prior) - hit_loss_.value(loss_prior));
    sample.observed_level = level;
    return sample;
}

} // namespace harrierpass::subsets
