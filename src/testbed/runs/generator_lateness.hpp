// SPDX-License-Identifier: Apache-2.0
// A run on sockets does not count if the load generator itself was late: it would measure the host.
#pragma once

#include "testbed/verification/result.hpp"

namespace harrierpass::testbed {

// Returns whether the slowest hundredth of the generator's requests was sent too late. Never so if the
// experiment pauses clients on purpose.
bool generator_was_late(const run_result &result, const experiment &settings);

// Voids the result if its generator was late.
void void_if_generator_was_late(run_result &result, const experiment &settings);

} // namespace harrierpass::testbed
