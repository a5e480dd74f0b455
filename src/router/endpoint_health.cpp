// SPDX-License-Identifier: Apache-2.0
#include "router/endpoint_health.hpp"

#include "router/slow_start.hpp"
#include "router/state_table.hpp"

#include <array>

namespace harrierpass {
namespace {

void eject(endpoint_record &endpoint, double now, double mean_response_time) {
    endpoint.outlier.eject(outlier_detection::was_silent(endpoint.silence, mean_response_time), now);
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
    /// Failures or a silence beyond the limits of outlier_detection, or a removal without a drain.
    {healthy, failure_detected, ejected, eject},
    /// The same limits hold during the warm-up.
    {warming_up, failure_detected, ejected, eject},
    /// A health check failed, or an attempt that was started since the ejection: the backoff doubles.
    {ejected, failure_detected, ejected, back_off_health_check},
    /// A response, without a failed health check since the ejection: the process and its cache are the old
    /// ones.
    {ejected, answered, healthy, reinstate},
    /// A response after a failed health check, or a later start time in the list: the cache is empty.
    {ejected, restarted, warming_up, begin_slow_start},
    /// The list names a later start time, or an endpoint that is new.
    {healthy, restarted, warming_up, begin_slow_start},
    /// Started again during its warm-up, which begins anew.
    {warming_up, restarted, warming_up, begin_slow_start},
    /// Its warm-up progress has reached 1.
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
