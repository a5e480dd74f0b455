// SPDX-License-Identifier: Apache-2.0
// Experiments for the soak test: real processes under faults that a seed draws and that overlap. The seed
// alone gives the whole experiment, so that a run that broke a rule can be played again.
#pragma once

#include <cstdint>
#include <string>

namespace harrierpass::testbed {

// An experiment file (TOML) of `length` seconds.
std::string soak_experiment(std::uint32_t seed, double length);

} // namespace harrierpass::testbed
