// SPDX-License-Identifier: Apache-2.0
// Adaptive concurrency limits: additive increase, multiplicative decrease (Chiu and Jain 1989), steered by
// the mean response time as a share of the latency objective. There is one limit for each endpoint, the
// origin included, and one for all cache endpoints together, which notices an overload of which each of many
// proxies sees too little at any one endpoint.
//
// Limits and attempts in flight count this proxy's attempts only. Times are seconds.
#pragma once

#include "router/types.hpp"

#include <unordered_map>

namespace harrierpass {

/// Share of the latency objective within which an endpoint's mean response time should stay. The rest is for
/// the network and a second attempt.
inline constexpr double endpoint_latency_share = 0.4;

/// A response, or its absence, as an observation of load.
struct latency_sample {
    double started_at;       ///< Start of the attempt.
    double latency_share;    ///< Response time as a share of the latency objective.
    bool at_limit;           ///< The limit was in use to the full.
    std::uint32_t in_flight; ///< Attempts in flight that the limit binds.
};

/// One limit. Its owner is the endpoint record or concurrency_limits.
///
/// Invariant: a decrease leaves the limit at its minimum or above; a sample of an attempt that started before
/// the last decrease changes nothing.
class adaptive_limit {
public:
    /// A limit that admits nothing.
    adaptive_limit() = default;
    /// The limit of an endpoint of which nothing is known.
    static adaptive_limit for_endpoint(double proxy_count);
    /// The limit of all cache endpoints together, per warm endpoint.
    static adaptive_limit for_fleet(double proxy_count);

    /// Raises or lowers the limit by a sample.
    void record(const latency_sample &sample, double now);

    /// The latest samples show response times that this endpoint has at its minimum limit, so they are not
    /// caused by load. `at_rest`: it is at that minimum.
    void update_baseline(bool at_rest);

    /// The minimum is divided evenly among so many proxies.
    void set_proxy_count(double proxy_count);
    /// Whether the target response time is the origin's or an endpoint's.
    void set_origin(bool is_origin);
    /// The limit is per unit: attempts allowed are limit() times this number.
    void set_units(double units) { units_ = units; }
    /// Back to the limit of an endpoint that starts to warm up.
    void reset(double limit);

    [[nodiscard]] double limit() const { return limit_; } ///< Attempts, per unit.
    /// Warm endpoints that the limit binds together.
    [[nodiscard]] double units() const { return units_; }
    /// The limit cannot be lowered further.
    [[nodiscard]] bool is_at_minimum() const { return limit_ <= minimum_; }
    /// Mean response time as a share of the latency objective.
    [[nodiscard]] double mean_latency_share() const { return mean_latency_share_; }
    /// Time of the latest sample that counted, s.
    [[nodiscard]] double last_sample_at() const { return last_sample_at_; }

private:
    double limit_ = 0, minimum_ = 0;    // attempts, per unit
    double target_ = 0;                 // latency share up to which the limit grows
    double sample_weight_ = 0;          // of a new sample in the mean, at least
    double units_ = 1;                  // warm endpoints
    double mean_latency_share_ = 0;     // of the latency objective
    double baseline_latency_share_ = 0; // mean latency share that is not due to load
    double last_decrease_at_ = 0;       // s
    double last_sample_at_ = 0;         // s
};

/// Attempts that the origin may have although its limit is lower: a decrease is soon forgotten, as there is
/// no other origin; less so where it reported that it serves many requests of other proxies.
[[nodiscard]] double recovered_origin_limit(const adaptive_limit &limit, double reported_in_flight,
                                            double now);

/// The origin reports more requests in flight than it has when it is not overloaded.
[[nodiscard]] bool origin_reports_overload(double reported_in_flight);

/// The limit on all cache endpoints and the latencies that it needs, owned by one router.
class concurrency_limits {
public:
    /// `response_time`: the mean to start from, s.
    concurrency_limits(double proxy_count, double response_time)
        : fleet_limit_(adaptive_limit::for_fleet(proxy_count)), mean_response_time_(response_time) {}

    /// Settings changed; zones may have other numbers.
    void configure(double proxy_count, zone_index local_zone);

    /// Sets the number of warm endpoints, fractions for those that warm up.
    void set_warm_endpoints(double warm_endpoints);

    /// A response of a cache endpoint in this zone, for the limit on all. What an origin fetch added counts
    /// up to a bound.
    void record_fleet_sample(latency_sample sample, zone_index zone, bool fetched, double now);

    /// A response time, s, for the mean.
    void record_response_time(double elapsed);

    [[nodiscard]] double mean_response_time() const { return mean_response_time_; } ///< s
    [[nodiscard]] double fleet_capacity() const { return fleet_capacity_; }         ///< Attempts.

private:
    /// Network latency of a zone beyond the local zone's, s.
    double network_latency(zone_index zone, double elapsed);

    adaptive_limit fleet_limit_;
    double fleet_capacity_ = 0;
    double mean_response_time_;
    zone_index local_zone_ = none;
    std::unordered_map<zone_index, double> fastest_response_; // s, recently, by zone; never iterated
};

} // namespace harrierpass
