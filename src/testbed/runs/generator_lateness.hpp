// SPDX-License-Identifier: Apache-2.0
// A run on sockets does not count if the load generator itself was late: it would measure the host.
#pragma once

#include "testbed/verification/result.hpp"

namespace harrierpass::testbed {

// Voids the result if the slowest hundredth of the generator's requests was sent too late, unless the
// experiment pauses clients on purpose.
void void_if_generator_was_late(run_result &result, const experiment &settings);

} // namespace harrierpass::testbed
