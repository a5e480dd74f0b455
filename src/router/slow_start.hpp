// SPDX-License-Identifier: Apache-2.0
// Slow start: an endpoint whose process has just started with an empty cache receives a growing share of its
// keys, and of the requests for them, until its warm-up time is over.
#pragma once

#include "router/types.hpp"

namespace harrierpass {

/// Initial concurrency limit of an endpoint that warms up: attempts in flight. With less than one attempt the
/// limit could not adapt.
inline constexpr double slow_start_limit = 1;

/// Computes the warm-up progress of the endpoints of one router, which owns it.
///
/// Invariant: progress is between 0 and 1 and never decreases during a warm-up.
class slow_start {
public:
    /// Applies new settings to all endpoints, including those that are warming up.
    void configure(const slow_start_settings &settings) { settings_ = settings; }

    /// Share of its ring points that an endpoint uses, by the start time of its warm-up.
    [[nodiscard]] double progress(double warm_up_started_at, double now) const;

    /// Share of its concurrency limit that an endpoint with this progress may use. It grows faster than the
    /// share of the keys, so that all proxies together stay within the endpoint's capacity.
    [[nodiscard]] static double limit_share(double progress);

    /// True if a process with this start time is still within the warm-up time.
    [[nodiscard]] bool is_recent(double started_at, double now) const {
        return now - started_at < settings_.warm_up_time;
    }

    /// Start time of the warm-up of a process. `started_at` 0: unknown, so the warm-up starts now.
    [[nodiscard]] static double warm_up_start(double started_at, double now);

private:
    slow_start_settings settings_;
};

} // namespace harrierpass
