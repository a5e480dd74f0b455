// SPDX-License-Identifier: Apache-2.0
// Slow start: an endpoint whose process has just started, with an empty cache, receives a growing part of its
// keys, and of the requests for them, until its warm-up time is over.
#pragma once

#include "router/types.hpp"

namespace harrierpass {

/// Executions of all proxies that an endpoint may have at first. One is the least that still learns.
inline constexpr double slow_start_limit = 1;

/// Warm-up progress of endpoints, by the settings of one router, which owns it.
///
/// Invariant: progress is between 0 and 1 and never falls while an endpoint warms up.
class slow_start {
public:
    /// New settings hold for every endpoint from now on.
    void configure(const slow_start_settings &settings) { settings_ = settings; }

    /// Share of its ring points that an endpoint uses which started to warm up then.
    [[nodiscard]] double progress(double warm_up_started_at, double now) const;

    /// Share of its concurrency limit that an endpoint with this progress may use. It is reached sooner than
    /// the share of the keys, so that all proxies together stay within what the endpoint can do.
    [[nodiscard]] static double limit_share(double progress);

    /// A process started then, and is not warm yet.
    [[nodiscard]] bool is_recent(double started_at, double now) const {
        return now - started_at < settings_.warm_up_time;
    }

    /// When the warm-up of a process began that started then; 0: unknown, so it begins now.
    [[nodiscard]] static double begin_at(double started_at, double now);

private:
    slow_start_settings settings_;
};

} // namespace harrierpass
