// SPDX-License-Identifier: Apache-2.0
// Schedule of polls of the endpoint list: with exponential backoff and jitter until the discovery service
// responds. From then on the service sends changes without polls, until a poll fails again.
#pragma once

namespace harrierpass {

/// Poll schedule, owned by one router. Times and durations are in seconds.
class endpoint_refresh {
public:
    /// Schedules the first poll. `jitter`, here and below, is a random number in [0, 1).
    endpoint_refresh(double now, double jitter);

    /// True if the list should be polled now.
    [[nodiscard]] bool is_due(double now) const { return now >= next_poll_at_; }

    /// Records that a poll was sent, and schedules another one in case neither an update nor a failure is
    /// reported.
    void on_poll_sent(double now, double max_poll_interval);

    /// Schedules the next poll after a failure and doubles the backoff.
    void on_poll_failed(double now, double jitter, double max_poll_interval);

    /// Stops polling and resets the backoff, as the discovery service responded and sends changes from now
    /// on.
    void on_update();

private:
    double next_poll_at_; // s; infinity while the discovery service sends changes
    double backoff_;      // s
};

} // namespace harrierpass
