// SPDX-License-Identifier: Apache-2.0
// A run in virtual time: one thread, no sockets, the same trace for the same seed.
#pragma once

#include "testbed/runs/run_environment.hpp"
#include "testbed/runs/virtual_proxy.hpp"

namespace harrierpass::testbed {

struct run_options {
    std::ostream *trace = nullptr;    // all that the rule checker sees
    std::ostream *progress = nullptr; // a line every few seconds of a long run
};

run_result run_virtual(const experiment &settings, const variant_settings &as, std::uint32_t seed,
                       const run_options &how = {});

} // namespace harrierpass::testbed
