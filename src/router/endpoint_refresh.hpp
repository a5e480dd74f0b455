// SPDX-License-Identifier: Apache-2.0
// When the endpoint list is asked for: with exponential backoff and jitter until the discovery service
// answers, which then sends changes by itself until a poll fails again.
#pragma once

namespace harrierpass {

/// The poll schedule of one router, which owns it. Times and durations are seconds.
class endpoint_refresh {
public:
    /// `jitter`, here and below, is a draw in [0, 1).
    endpoint_refresh(double now, double jitter);

    /// The list should be asked for.
    [[nodiscard]] bool is_due(double now) const { return now >= next_poll_at_; }

    /// A poll was sent; it is repeated if neither an update nor a failure is reported.
    void on_poll_sent(double now, double max_poll_interval);

    /// The poll failed; the backoff doubles.
    void on_poll_failed(double now, double jitter, double max_poll_interval);

    /// The discovery service answered, and sends changes from now on.
    void on_update();

private:
    double next_poll_at_; // s; infinite while the discovery service sends changes
    double backoff_;      // s
};

} // namespace harrierpass
