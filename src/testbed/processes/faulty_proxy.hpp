// SPDX-License-Identifier: Apache-2.0
// A stand-in for a proxy on sockets that breaks one rule on purpose, every so many chances, so that the
// rule checker over processes can be shown to see it. It deals queries out over the ready servers by chance
// and knows nothing else; without a plant it breaks no rule.
#pragma once

#include "testbed/model/experiment.hpp"

namespace harrierpass::testbed {

// Until SIGTERM. `configuration`: a proxy's, as fleet_ports writes it.
int run_faulty_proxy(injected_violation breaks, const std::string &configuration);

} // namespace harrierpass::testbed
