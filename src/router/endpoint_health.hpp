// SPDX-License-Identifier: Apache-2.0
// The state machine of endpoint health: healthy, warming up after a start of its process, or ejected.
#pragma once

#include "router/endpoint_table.hpp"

namespace harrierpass {

/// What was noticed about an endpoint. `restarted`: its process is a new one, with an empty cache.
enum class health_event : std::uint8_t { failure_detected, answered, restarted, warm_up_finished };

/// Moves an endpoint's health on by an event; an event that its state has no transition for is ignored.
/// `mean_response_time` is that of all endpoints, s.
void apply_health_event(endpoint_record &endpoint, health_event event, double now, double mean_response_time);

} // namespace harrierpass
