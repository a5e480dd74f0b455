// SPDX-License-Identifier: Apache-2.0
// A router that uses only the endpoints that its proxy prefers. It implements the router interface, so that
// the proxy and the simulator adapter use it like the inner router. Endpoints outside the subset are reported
// to the inner router as draining: they get no new attempts, and attempts in flight finish. The inner router
// selects candidates by its ring and the request keys, from fewer endpoints.
//
// Transitions, as "subset, event -> next subset: effect":
// - all endpoints, enough samples and a narrower level is cheaper -> narrower: each request deselects some of
//   the farthest endpoints
// - some endpoints, too few of them usable -> wider by the missing capacity: selects the nearest at once
// - some endpoints, most requests find no capacity -> twice as many: selects the nearest at once
// - wider than needed, request sent at once -> narrower: deselects a share of the excess endpoints
// - some endpoints, a wider level is cheaper -> wider: selects the nearest at once
// - any, endpoint added, removed or draining -> same size: selects the nearest ready endpoints
#pragma once

#include "router/router.hpp"

namespace harrierpass::subsets {

// Creates a router that limits its inner router to a subset. If the settings rule out that subsets reduce the
// cost, it forwards every call unchanged. `seed` is for the inner router; `now` is in seconds.
std::unique_ptr<router> make_subset_router(const router_settings &settings, std::uint32_t seed, double now);

} // namespace harrierpass::subsets
