// SPDX-License-Identifier: Apache-2.0
// Passive outlier detection: an endpoint is ejected when its attempts fail, when it responds with errors that
// other endpoints do not have, or when it keeps silent for long while it holds attempts. An ejected endpoint
// gets health checks with exponential backoff. When most endpoints are ejected at once, a shared cause is
// likelier than that many failures, and ejection is ignored.
//
// Rates are exponentially weighted means between 0 and 1; times and durations are seconds.
#pragma once

#include "router/types.hpp"

#include <cstddef>

namespace harrierpass {

/// Share of the median latency objective for which an endpoint has to be silent before it is an outlier, so
/// that a short pause of a process or a lost packet does not count.
inline constexpr double minimum_silence_share = 0.2;

/// Time in which an endpoint held attempts and gave no sign of life. Its owner is the endpoint record.
class silence_tracker {
public:
    /// No silence, counted from time 0.
    silence_tracker() = default;
    /// No silence, counted from now.
    explicit silence_tracker(double now) : updated_at_(now) {}

    /// Adds the time since the last call, in which the endpoint held so many attempts.
    void advance(std::uint32_t in_flight, double now);
    /// The endpoint gave a sign of life.
    void reset() { attempt_time_ = time_ = 0; }
    /// Ignores a pause of this proxy, in which it could not notice a sign of life.
    void skip(double pause, double now);

    [[nodiscard]] double attempt_time() const { return attempt_time_; } ///< Sum over the attempts held, s.
    [[nodiscard]] double time() const { return time_; }                 ///< Seconds.

private:
    double attempt_time_ = 0, time_ = 0;
    double updated_at_ = 0;
};

/// Failures and health checks of one endpoint. Its owner is the endpoint record.
///
/// Invariant: the health check backoff is bounded; it grows while health checks fail or the endpoint is
/// ejected again soon after it was reinstated.
class outlier_state {
public:
    void record_response(bool is_error); ///< For the error rate.
    void record_failure(double weight);  ///< For the failure rate.
    void record_success();               ///< For the failure rate.
    /// A connection was reset or refused.
    void record_connection_failure() { connection_failed_ = true; }
    /// Its failures so far do not count.
    void clear_failure_rate() { failure_rate_ = 0; }

    /// Ejects the endpoint; `was_silent`: for its silence, not for failures.
    void eject(bool was_silent, double now);
    /// A health check or an attempt at the ejected endpoint failed.
    void back_off_health_check(double now);
    /// A health check is being sent.
    void schedule_health_check(double now) { next_health_check_at_ = now + health_check_backoff_; }
    /// Its failures are forgotten.
    void reinstate();
    /// The next response comes from a restarted process.
    void expect_restart() { health_check_failed_ = true; }

    /// Share of errors among its responses.
    [[nodiscard]] double error_rate() const { return error_rate_; }
    /// So many attempts failed that it is an outlier.
    [[nodiscard]] bool exceeds_failure_limit() const;
    /// Its backoff is over.
    [[nodiscard]] bool is_health_check_due(double now) const { return now >= next_health_check_at_; }
    /// Time of its latest ejection, s; 0: never.
    [[nodiscard]] double ejected_at() const { return ejected_at_; }
    /// A health check failed since the ejection, so an endpoint that responds again was restarted.
    [[nodiscard]] bool has_failed_health_check() const { return health_check_failed_; }

private:
    double failure_rate_ = 0, error_rate_ = 0;
    bool connection_failed_ = false, health_check_failed_ = false;
    double ejected_at_ = 0, next_health_check_at_ = 0, health_check_backoff_ = 0;
};

/// The detector over all endpoints, owned by one router.
class outlier_detection {
public:
    /// `latency_objective`: the median over the request classes, s.
    void configure(double latency_objective);

    /// Records how an attempt ended; true if it counts as a failure of the endpoint.
    bool record_attempt(outlier_state &endpoint, outcome result);

    /// Errors are frequent everywhere, and not much more so at this endpoint: they are caused by the
    /// requests.
    [[nodiscard]] bool errors_are_common(const outlier_state &endpoint) const;

    /// The endpoint has been silent for so long that it is an outlier.
    [[nodiscard]] bool is_silent(const silence_tracker &silence, double mean_response_time) const;

    /// An endpoint that is ejected has been silent for so long that its attempts should be canceled.
    [[nodiscard]] static bool was_silent(const silence_tracker &silence, double mean_response_time);

    /// So many of the endpoints listed are ejected that ejection is to be ignored.
    [[nodiscard]] static bool is_mass_ejection(std::size_t ejected, std::size_t listed);

private:
    double error_rate_ = 0;      // of the responses of all endpoints
    double minimum_silence_ = 0; // s
};

} // namespace harrierpass
