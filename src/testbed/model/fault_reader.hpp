// SPDX-License-Identifier: Apache-2.0
// Readers of [[fault]] and [[link]] of an experiment file. They need the experiment's fleet, proxies, use
// cases and tenants, and add the faults to it. Throw experiment_error for an invalid fault.
#pragma once

#include "testbed/model/experiment.hpp"
#include "testbed/model/toml_section.hpp"

namespace harrierpass::testbed {

// Adds one fault; a fault with steps becomes one fault for each step.
void read_fault(toml_section &section, experiment &target);

// Adds one link fault.
void read_link_fault(toml_section &section, experiment &target);

} // namespace harrierpass::testbed
