// SPDX-License-Identifier: Apache-2.0
#include "router/concurrency_limits.hpp"

#include <algorithm>
#include <cmath>

namespace harrierpass {
namespace {

constexpr double initial_limit = 8; // attempts of all proxies in flight at an endpoint
// Attempts of all proxies in flight at an endpoint. A limit never excludes an endpoint completely.
constexpr double minimum_limit = 2;
constexpr double max_decrease = 0.7; // factor on the limit
// Target for the origin as a share of the latency objective; no time is reserved for a second attempt.
constexpr double origin_latency_share = 0.6;
// Target for all cache endpoints as a share of the latency objective; some endpoints are always slower.
constexpr double fleet_latency_share = 0.6;
// Cap on the sample of a response with an origin fetch, as a share of the latency objective.
constexpr double fetch_latency_share = 1.5;
constexpr double baseline_factor = 2; // latency above this multiple of the baseline is queueing
constexpr double fleet_sample_weight = 0.1;
constexpr double endpoint_sample_weight = 0.2;
constexpr double response_time_weight = 0.05;
constexpr double fastest_response_weight = 0.1;
constexpr double sample_decay_time = 4;    // s; older samples indicate little about the present load
constexpr double origin_recovery_time = 1; // s; time constant of the recovery from a decrease
constexpr double origin_normal_load = 32;  // requests of all proxies in flight

} // namespace

adaptive_limit adaptive_limit::for_endpoint(double proxy_count) {
    adaptive_limit result;
    result.limit_ = std::max(1.0, initial_limit / proxy_count);
    result.minimum_ = minimum_limit / proxy_count;
    result.target_ = endpoint_latency_share;
    result.sample_weight_ = endpoint_sample_weight;
    result.mean_latency_share_ = endpoint_latency_share; // a new endpoint is not assumed to be fast
    return result;
}

adaptive_limit adaptive_limit::for_fleet(double proxy_count) {
    adaptive_limit result;
    result.limit_ = initial_limit;
    result.minimum_ = minimum_limit / proxy_count;
    result.target_ = fleet_latency_share;
    result.sample_weight_ = fleet_sample_weight;
    return result;
}

void adaptive_limit::record(const latency_sample &sample, double now) {
    if (sample.started_at < last_decrease_at_)
        return;
    const double weight = std::max(sample_weight_, 1 - std::exp((last_sample_at_ - now) / sample_decay_time));
    mean_latency_share_ += weight * (sample.latency_share - mean_latency_share_);
    last_sample_at_ = now;
    if (mean_latency_share_ <= std::max(target_, baseline_factor * baseline_latency_share_)) {
        limit_ += sample.at_limit ? 1 / std::max(1.0, limit_ * units_) / units_ : 0;
        return;
    }
    const double in_use = std::min(limit_, (sample.in_flight + 1) / units_);
    limit_ = std::max(minimum_, in_use * std::min(max_decrease, target_ / mean_latency_share_));
    last_decrease_at_ = now;
}

void adaptive_limit::update_baseline(bool without_load) {
    baseline_latency_share_ =
        without_load ? mean_latency_share_ : std::min(baseline_latency_share_, mean_latency_share_);
}

void adaptive_limit::set_proxy_count(double proxy_count) {
    minimum_ = minimum_limit / proxy_count;
}

void adaptive_limit::set_origin(bool is_origin) {
    target_ = is_origin ? origin_latency_share : endpoint_latency_share;
}

void adaptive_limit::reset(double limit) {
    limit_ = limit;
    mean_latency_share_ = 0;
}

double recovered_origin_limit(const adaptive_limit &limit, double reported_in_flight, double now) {
    return (1 - std::exp((limit.last_sample_at() - now) / origin_recovery_time)) *
           std::min(1.0, origin_normal_load / std::max(1.0, reported_in_flight));
}

bool origin_reports_overload(double reported_in_flight) {
    return reported_in_flight >= origin_normal_load;
}

void concurrency_limits::configure(double proxy_count, zone_index local_zone) {
    fleet_limit_.set_proxy_count(proxy_count);
    local_zone_ = local_zone;
    fastest_response_.clear();
}

void concurrency_limits::set_warm_endpoints(double warm_endpoints) {
    fleet_limit_.set_units(warm_endpoints);
    fleet_capacity_ = fleet_limit_.limit() * fleet_limit_.units();
}

void concurrency_limits::record_fleet_sample(latency_sample sample, zone_index zone, bool includes_fetch,
                                             double now) {
    const double elapsed = now - sample.started_at;
    if (elapsed > 0)
        sample.latency_share *= 1 - network_latency(zone, elapsed) / elapsed;
    if (includes_fetch)
        sample.latency_share = std::min(sample.latency_share, fetch_latency_share);
    fleet_limit_.record(sample, now);
}

void concurrency_limits::record_response_time(double elapsed) {
    mean_response_time_ += response_time_weight * (elapsed - mean_response_time_);
}

// Difference between the fastest recent responses of the zone and of the local zone.
double concurrency_limits::network_latency(zone_index zone, double elapsed) {
    if (zone == none || local_zone_ == none)
        return 0;
    auto &fastest = fastest_response_[zone];
    fastest = std::min(elapsed, fastest + fastest_response_weight * (elapsed - fastest));
    return std::clamp(fastest - fastest_response_[local_zone_], 0.0, elapsed);
}

} // namespace harrierpass
