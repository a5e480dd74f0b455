// SPDX-License-Identifier: Apache-2.0
// Adaptive concurrency limits: additive increase, multiplicative decrease (Chiu and Jain 1989), controlled by
// the mean response time as a share of the latency objective. Each endpoint, including the origin, has a
// limit. Another limit covers all cache endpoints together: it detects an overload that is spread over so
// many proxies that each of them has too few samples from any single endpoint.
//
// Limits and attempts in flight cover this proxy's attempts only. Times are in seconds.
#pragma once

#include "router/types.hpp"

#include <unordered_map>

namespace harrierpass {

/// Target for an endpoint's mean response time, as a share of the latency objective. The rest is left for the
/// network and a second attempt.
inline constexpr double endpoint_latency_share = 0.4;

/// Latency of a response, or of an attempt without one, as a sample of the load.
struct latency_sample {
    double started_at;       ///< Start of the attempt, s.
    double latency_share;    ///< Response time as a share of the latency objective.
    bool at_limit;           ///< The limit was fully used.
    std::uint32_t in_flight; ///< Attempts in flight under the limit.
};

/// An adaptive limit, owned by an endpoint record or by concurrency_limits.
///
/// Invariant: a decrease does not lower the limit below its minimum; samples of attempts that started before
/// the last decrease are ignored.
class adaptive_limit {
public:
    /// Creates a limit that admits no attempts.
    adaptive_limit() = default;
    /// Creates the initial limit of an endpoint without samples.
    static adaptive_limit for_endpoint(double proxy_count);
    /// Creates the initial limit of all cache endpoints together, per warm endpoint.
    static adaptive_limit for_fleet(double proxy_count);

    /// Raises or lowers the limit according to a sample.
    void record(const latency_sample &sample, double now);

    /// Updates the baseline, the mean latency share that is not caused by load. `without_load`: the endpoint
    /// is at its minimum limit and not overloaded, so the baseline becomes the present mean. Otherwise the
    /// mean can only lower the baseline.
    void update_baseline(bool without_load);

    /// Divides the minimum evenly among this number of proxies.
    void set_proxy_count(double proxy_count);
    /// Sets the target response time to that of the origin or of a cache endpoint.
    void set_origin(bool is_origin);
    /// Sets the number of units; limit() times this number of attempts are allowed.
    void set_units(double units) { units_ = units; }
    /// Overwrites the limit and clears the mean latency, for an endpoint that starts to warm up.
    void reset(double limit);

    [[nodiscard]] double limit() const { return limit_; } ///< Attempts per unit.
    /// Number of warm endpoints that share the limit.
    [[nodiscard]] double units() const { return units_; }
    /// True if the limit cannot be lowered further.
    [[nodiscard]] bool is_at_minimum() const { return limit_ <= minimum_; }
    /// Mean response time as a share of the latency objective.
    [[nodiscard]] double mean_latency_share() const { return mean_latency_share_; }
    /// Time of the latest sample that was not ignored, s.
    [[nodiscard]] double last_sample_at() const { return last_sample_at_; }

private:
    double limit_ = 0, minimum_ = 0;    // attempts per unit
    double target_ = 0;                 // mean latency share up to which the limit grows
    double sample_weight_ = 0;          // minimum weight of a new sample in the mean
    double units_ = 1;                  // warm endpoints
    double mean_latency_share_ = 0;     // share of the latency objective
    double baseline_latency_share_ = 0; // mean latency share that is not caused by load
    double last_decrease_at_ = 0;       // s
    double last_sample_at_ = 0;         // s
};

/// Attempts that the origin may have in flight even if its limit is lower. As there is no other origin, this
/// number recovers soon after a decrease; it is lower if the origin reported many requests in flight, of all
/// proxies.
[[nodiscard]] double recovered_origin_limit(const adaptive_limit &limit, double reported_in_flight,
                                            double now);

/// True if the origin reported more requests in flight than at normal load.
[[nodiscard]] bool origin_reports_overload(double reported_in_flight);

/// Limit of all cache endpoints together and the latencies that it depends on, owned by one router.
class concurrency_limits {
public:
    /// `response_time`: initial value of the mean response time, s.
    concurrency_limits(double proxy_count, double response_time)
        : fleet_limit_(adaptive_limit::for_fleet(proxy_count)), mean_response_time_(response_time) {}

    /// Applies new settings. Clears the response times of the zones, as their indices may have changed.
    void configure(double proxy_count, zone_index local_zone);

    /// Sets the number of warm endpoints; an endpoint that is warming up counts as a fraction.
    void set_warm_endpoints(double warm_endpoints);

    /// Records a sample of a cache endpoint in this zone for the limit of all. `includes_fetch`: the response
    /// time includes an origin fetch, so the sample is capped.
    void record_fleet_sample(latency_sample sample, zone_index zone, bool includes_fetch, double now);

    /// Adds a response time, s, to the mean.
    void record_response_time(double elapsed);

    [[nodiscard]] double mean_response_time() const { return mean_response_time_; } ///< In seconds.
    [[nodiscard]] double fleet_capacity() const { return fleet_capacity_; } ///< Attempts of this proxy.

private:
    /// Network latency of a zone in excess of the local zone's, s.
    double network_latency(zone_index zone, double elapsed);

    adaptive_limit fleet_limit_;
    double fleet_capacity_ = 0;
    double mean_response_time_;
    zone_index local_zone_ = none;
    std::unordered_map<zone_index, double> fastest_response_; // recent, by zone, s; never iterated
};

} // namespace harrierpass
