// SPDX-License-Identifier: Apache-2.0
#include "router/endpoint_health.hpp"

#include "router/slow_start.hpp"
#include "router/state_table.hpp"

#include <array>

namespace harrierpass {
namespace {

void eject(endpoint_record &endpoint, double now, double mean_response_time) {
    endpoint.outlier.eject(outlier_detection::should_cancel_attempts(endpoint.silence, mean_response_time),
                           now);
}

void back_off_health_check(endpoint_record &endpoint, double now, double /*mean_response_time*/) {
    endpoint.outlier.back_off_health_check(now);
}

void reinstate(endpoint_record &endpoint, double /*now*/, double /*mean_response_time*/) {
    endpoint.outlier.reinstate();
    endpoint.silence.reset();
}

void begin_slow_start(endpoint_record &endpoint, double now, double mean_response_time) {
    reinstate(endpoint, now, mean_response_time);
    endpoint.warm_up_started_at = now;
    endpoint.limit.reset(slow_start_limit);
}

using row = transition<endpoint_health, health_event, void (*)(endpoint_record &, double, double)>;
using enum endpoint_health;
using enum health_event;

constexpr std::array<row, 8> transitions = {{
    /// Failures or silence beyond the limits of outlier_detection, or a removal without a drain.
    {healthy, failure_detected, ejected, eject},
    /// The same limits apply during the warm-up.
    {warming_up, failure_detected, ejected, eject},
    /// A health check or an attempt started after the ejection failed: the backoff doubles.
    {ejected, failure_detected, ejected, back_off_health_check},
    /// The endpoint responded, and no health check failed since the ejection: the process was not restarted
    /// and kept its cache.
    {ejected, responded, healthy, reinstate},
    /// The endpoint responded after a failed health check, or the list has a later start time: the cache is
    /// empty.
    {ejected, restarted, warming_up, begin_slow_start},
    /// The list has a later start time, or the endpoint is new.
    {healthy, restarted, warming_up, begin_slow_start},
    /// The endpoint restarted during its warm-up, so the warm-up starts over.
    {warming_up, restarted, warming_up, begin_slow_start},
    /// The warm-up progress has reached 1.
    {warming_up, warm_up_finished, healthy, reinstate},
}};

} // namespace

void apply_health_event(endpoint_record &endpoint, health_event event, double now,
                        double mean_response_time) {
    const auto *row = find_transition(transitions, endpoint.health, event);
    if (row == nullptr)
        return;
    endpoint.health = row->next;
    row->handler(endpoint, now, mean_response_time);
}

} // namespace harrierpass
