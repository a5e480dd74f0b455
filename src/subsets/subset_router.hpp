// SPDX-License-Identifier: Apache-2.0
// A router that uses only the endpoints its proxy prefers, behind the router's own interface: the proxy and
// the simulator adapter call it as they would call the router. An endpoint outside the subset is reported to
// the inner router as draining: nothing new is sent there, attempts in flight end. Ring, keys and candidates
// are the inner router's, on fewer endpoints.
//
// subset               event                                       next                effect
// all endpoints        enough requests seen, narrower is cheaper   narrower            the farthest leave, a
// part
//                                                                                      of them with each
//                                                                                      request
// some                 too few of them are usable                  wider by the lack   at once, the nearest
// some                 most requests find no capacity              twice as many       at once, the nearest
// wider than wanted    a request was sent at once                  narrower            a part of those too
// many
//                                                                                      leaves
// some                 wider is cheaper                            wider               at once
// any                  an endpoint comes, goes, drains             unchanged           the nearest of those
// left
#pragma once

#include "router/router.hpp"

namespace harrierpass::subsets {

// A router with a subset in front of it. Where the settings rule out that a subset gains anything, every call
// goes through unchanged. `seed` is for the inner router; `now` in seconds.
std::unique_ptr<router> make_subset_router(const router_settings &settings, std::uint32_t seed, double now);

} // namespace harrierpass::subsets
