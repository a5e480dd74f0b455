// SPDX-License-Identifier: Apache-2.0
// Who decides in a variant: harrierpass's own module, or a baseline behind the same interface. The baselines
// keep the rules on repeats and drains, try again only what never ran, and know nothing of limits, health or
// cold servers:
//   whole_list    the module without subsets: each proxy uses all servers
//   random        any ready server
//   least_of_two  of two ready servers taken at random the one with fewer of this proxy's executions
//   plain_ring    the ring of the design without the module: the first three servers walking left from the
//                 key, less those that just failed to take it; one that holds over twice the mean is passed
//                 by
#pragma once

#include "router/router.hpp"
#include "testbed/model/experiment.hpp"

#include <memory>

namespace harrierpass::testbed {

// The same as a plain function, as the proxy takes it; throws experiment_error for a name that is none.
using policy_factory = std::unique_ptr<router> (*)(const router_settings &settings, std::uint32_t seed,
                                                   double now);
policy_factory policy_factory_for(policy_kind by);
policy_factory policy_factory_for(const std::string &name);

std::unique_ptr<router> make_policy(policy_kind by, const router_settings &settings, std::uint32_t seed,
                                    double now);

} // namespace harrierpass::testbed
