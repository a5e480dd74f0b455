// SPDX-License-Identifier: Apache-2.0
#include "router/outlier_detection.hpp"

#include <algorithm>

namespace harrierpass {
namespace {

// Weight of an attempt in the failure rate; three failures in a row eject an endpoint.
constexpr double failure_weight = 0.21;
// Weight of a response in the error rate and of an error in the failure rate.
constexpr double error_weight = 0.2;
constexpr double fleet_error_weight = 0.03; // weight of a response in the error rate of all endpoints
constexpr double failure_limit = 0.5;       // failure rate above which an endpoint is ejected
constexpr double common_error_rate = 0.2;   // error rate of all endpoints above which errors are common
// Excess over the error rate of all endpoints from which errors are attributed to the endpoint.
constexpr double error_rate_excess = 0.4;
constexpr double silence_limit = 12;             // mean response times, summed over the attempts in flight
constexpr double cancel_silence_limit = 3;       // mean response times, summed over the attempts in flight
constexpr double min_health_check_backoff = 0.5; // s
constexpr double max_health_check_backoff = 4;   // s
constexpr double relapse_time = 8;               // s after an ejection

} // namespace

void silence_tracker::advance(std::uint32_t in_flight, double now) {
    attempt_time_ += in_flight * (now - updated_at_);
    duration_ += in_flight > 0 ? now - updated_at_ : 0;
    updated_at_ = now;
}

void silence_tracker::skip_pause(double pause, double now) {
    updated_at_ = std::min(now, updated_at_ + pause);
}

void outlier_state::record_response(bool is_error) {
    error_rate_ += error_weight * ((is_error ? 1.0 : 0.0) - error_rate_);
}

void outlier_state::record_failure(double weight) {
    failure_rate_ += weight * (1 - failure_rate_);
}

void outlier_state::record_success() {
    failure_rate_ += -failure_weight * failure_rate_;
}

void outlier_state::eject(bool after_silence, double now) {
    const bool relapsed = !after_silence && !connection_failed_ && now < ejected_at_ + relapse_time;
    constexpr double initial_backoff = min_health_check_backoff / 2; // back_off_health_check() doubles it
    health_check_backoff_ = relapsed ? std::max(health_check_backoff_, initial_backoff) : initial_backoff;
    ejected_at_ = now;
    back_off_health_check(now);
    health_check_failed_ = false; // connections to healthy endpoints fail, too
}

void outlier_state::back_off_health_check(double now) {
    health_check_failed_ = connection_failed_;
    health_check_backoff_ = std::min(max_health_check_backoff, health_check_backoff_ * 2);
    next_health_check_at_ = now + health_check_backoff_;
}

void outlier_state::reinstate() {
    failure_rate_ = 0;
    connection_failed_ = health_check_failed_ = false;
}

bool outlier_state::exceeds_failure_limit() const {
    return failure_rate_ > failure_limit;
}

void outlier_detection::configure(double latency_objective) {
    minimum_silence_ = latency_objective * minimum_silence_share;
}

bool outlier_detection::record_attempt(outlier_state &endpoint, outcome result) {
    const bool is_error = result == outcome::error;
    const bool connection_failed = result == outcome::reset || result == outcome::connect_error;
    if (connection_failed)
        endpoint.record_connection_failure();
    if (is_endpoint_response(result) && result != outcome::overloaded) {
        endpoint.record_response(is_error);
        error_rate_ += fleet_error_weight * ((is_error ? 1.0 : 0.0) - error_rate_);
    }
    if (connection_failed) {
        endpoint.record_failure(failure_weight);
        return true;
    }
    if (is_error && !errors_are_common(endpoint)) {
        endpoint.record_failure(error_weight);
        return true;
    }
    if (is_endpoint_response(result))
        endpoint.record_success();
    return false;
}

bool outlier_detection::errors_are_common(const outlier_state &endpoint) const {
    return error_rate_ > common_error_rate && endpoint.error_rate() < error_rate_ + error_rate_excess;
}

bool outlier_detection::is_silent(const silence_tracker &silence, double mean_response_time) const {
    return silence.attempt_time() > silence_limit * mean_response_time &&
           silence.duration() > minimum_silence_;
}

bool outlier_detection::should_cancel_attempts(const silence_tracker &silence, double mean_response_time) {
    return silence.attempt_time() > cancel_silence_limit * mean_response_time;
}

bool outlier_detection::is_mass_ejection(std::size_t ejected, std::size_t listed) {
    return ejected * 2 > listed;
}

} // namespace harrierpass
