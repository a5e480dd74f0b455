// SPDX-License-Identifier: Apache-2.0
// A router that sees only the servers its proxy prefers, behind the router's own interface: both fronts use
// it as they would use the router. A server that is not preferred is told to the router as one that drains:
// nothing new goes there, what is there ends. Ring, key and candidates are the router's, on fewer servers.
//
// state                input                                       next                effect
// all servers          enough queries seen, narrower is cheaper    narrower            the farthest leave, a
//                                                                                      part of them a query
// some                 too few of them are usable                  wider by what lacks at once, the nearest
// some                 most queries find no room                   twice as many       at once, the nearest
// wider than needed    a query was sent at once                    narrower            a part of those too
//                                                                                      many leaves
// some                 wider is cheaper                            wider               at once
// any                  a server comes, goes, drains                as it is            those nearest by now
#pragma once

#include "router/router.hpp"

namespace harrierpass::subsets {

// The decision module, and before it the choice of the servers that it sees. Where the settings say that a
// subset cannot gain, every call goes through unchanged.
std::unique_ptr<router> make_subset_router(const router_settings &given, std::uint32_t seed, double now);

} // namespace harrierpass::subsets
