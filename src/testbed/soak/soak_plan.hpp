// SPDX-License-Identifier: Apache-2.0
// Generates the experiments of the soak test: real processes under random, overlapping faults. The experiment
// depends on the seed and the length only, so that a run that broke a rule can be repeated.
#pragma once

#include <cstdint>
#include <string>

namespace harrierpass::testbed {

// Returns the text of an experiment file (TOML). `length`: seconds.
std::string soak_experiment(std::uint32_t seed, double length);

} // namespace harrierpass::testbed
