// SPDX-License-Identifier: Apache-2.0
// Passive outlier detection: an endpoint is ejected when its attempts fail, when its error rate exceeds that
// of the other endpoints, or when it has attempts in flight and stays silent for too long. An ejected
// endpoint gets health checks with exponential backoff. When most endpoints are ejected at once, a shared
// cause is more likely than that many failures, and ejection is ignored.
//
// Rates are exponentially weighted means between 0 and 1; times and durations are in seconds.
#pragma once

#include "router/types.hpp"

#include <cstddef>

namespace harrierpass {

/// Minimum silence of an outlier, as a share of the median latency objective, so that a short pause of a
/// process or a lost packet does not eject an endpoint.
inline constexpr double minimum_silence_share = 0.2;

/// Measures the silence of an endpoint: the time with attempts in flight since its latest response. Owned by
/// the endpoint record.
class silence_tracker {
public:
    /// Starts without silence at time 0.
    silence_tracker() = default;
    /// Starts without silence at `now`.
    explicit silence_tracker(double now) : updated_at_(now) {}

    /// Adds the time since the last call, during which this number of attempts was in flight.
    void advance(std::uint32_t in_flight, double now);
    /// Clears the silence after a response.
    void reset() { attempt_time_ = duration_ = 0; }
    /// Excludes a pause of this proxy, during which it could not receive a response.
    void skip_pause(double pause, double now);

    [[nodiscard]] double attempt_time() const {
        return attempt_time_;
    } ///< Silence summed over the attempts in flight, s.
    [[nodiscard]] double duration() const { return duration_; } ///< Duration of the silence, s.

private:
    double attempt_time_ = 0, duration_ = 0;
    double updated_at_ = 0;
};

/// Failure and error rates and health check schedule of one endpoint. Owned by the endpoint record.
///
/// Invariant: the health check backoff is bounded; it grows while health checks fail or when the endpoint is
/// ejected again soon after an ejection.
class outlier_state {
public:
    void record_response(bool is_error); ///< Updates the error rate.
    void record_failure(double weight);  ///< Raises the failure rate.
    void record_success();               ///< Lowers the failure rate.
    /// Records that a connection was reset or refused.
    void record_connection_failure() { connection_failed_ = true; }
    /// Clears the failure rate.
    void clear_failure_rate() { failure_rate_ = 0; }

    /// Ejects the endpoint. `after_silence`: because of its silence, not of failures.
    void eject(bool after_silence, double now);
    /// Doubles the backoff after a failed health check or attempt at the ejected endpoint.
    void back_off_health_check(double now);
    /// Schedules the next health check when one is sent.
    void schedule_health_check(double now) { next_health_check_at_ = now + health_check_backoff_; }
    /// Clears the failure rate and the records of failed connections and health checks.
    void reinstate();
    /// Makes the next response count as that of a restarted process.
    void expect_restart() { health_check_failed_ = true; }

    /// Error rate of the endpoint's responses.
    [[nodiscard]] double error_rate() const { return error_rate_; }
    /// True if the failure rate makes the endpoint an outlier.
    [[nodiscard]] bool exceeds_failure_limit() const;
    /// True if the backoff is over.
    [[nodiscard]] bool is_health_check_due(double now) const { return now >= next_health_check_at_; }
    /// Time of the latest ejection, s; 0: never ejected.
    [[nodiscard]] double ejected_at() const { return ejected_at_; }
    /// True if a health check failed since the ejection; then an endpoint that responds again was restarted.
    [[nodiscard]] bool has_failed_health_check() const { return health_check_failed_; }

private:
    double failure_rate_ = 0, error_rate_ = 0;
    bool connection_failed_ = false, health_check_failed_ = false;
    double ejected_at_ = 0, next_health_check_at_ = 0, health_check_backoff_ = 0;
};

/// Outlier detector for all endpoints of one router, which owns it.
class outlier_detection {
public:
    /// Applies settings. `latency_objective`: median over the request classes, s.
    void configure(double latency_objective);

    /// Records the result of an attempt; true if it counts as a failure of the endpoint.
    bool record_attempt(outlier_state &endpoint, outcome result);

    /// True if the error rate is high at all endpoints and not much higher at this one, so the requests cause
    /// the errors.
    [[nodiscard]] bool errors_are_common(const outlier_state &endpoint) const;

    /// True if the silence makes the endpoint an outlier.
    [[nodiscard]] bool is_silent(const silence_tracker &silence, double mean_response_time) const;

    /// True if the attempts at an endpoint that is ejected should be canceled because of its silence.
    [[nodiscard]] static bool should_cancel_attempts(const silence_tracker &silence,
                                                     double mean_response_time);

    /// True if so many listed endpoints are ejected that ejection is ignored.
    [[nodiscard]] static bool is_mass_ejection(std::size_t ejected, std::size_t listed);

private:
    double error_rate_ = 0;      // error rate of the responses of all endpoints
    double minimum_silence_ = 0; // s
};

} // namespace harrierpass
