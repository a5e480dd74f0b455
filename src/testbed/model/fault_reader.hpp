// SPDX-License-Identifier: Apache-2.0
// Readers of [[fault]] and [[link]] of an experiment file. They need the fleet, the proxies, the use cases
// and the tenants of the experiment, and add to it. Throw experiment_error for what cannot be used.
#pragma once

#include "testbed/model/experiment.hpp"
#include "testbed/model/toml_section.hpp"

namespace harrierpass::testbed {

// Adds one fault; one that goes over its servers or proxies in steps becomes as many faults.
void read_fault(toml_section &section, experiment &target);

// Adds one fault of links.
void read_link_fault(toml_section &section, experiment &target);

} // namespace harrierpass::testbed
