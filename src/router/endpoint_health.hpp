// SPDX-License-Identifier: Apache-2.0
// The state machine of endpoint health: healthy, warming up after a start of its process, or ejected.
#pragma once

#include "router/endpoint_table.hpp"

namespace harrierpass {

/// Events that change the health of an endpoint. `restarted`: its process is new and has an empty cache.
enum class health_event : std::uint8_t { failure_detected, responded, restarted, warm_up_finished };

/// Applies an event to an endpoint's health; ignores an event without a transition from the present state.
/// `mean_response_time` is the mean over all endpoints, s.
void apply_health_event(endpoint_record &endpoint, health_event event, double now, double mean_response_time);

} // namespace harrierpass
