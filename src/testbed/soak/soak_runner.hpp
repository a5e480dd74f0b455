// SPDX-License-Identifier: Apache-2.0
// The soak test: for each seed, a run on sockets with an experiment generated from the seed (soak_plan.hpp).
#pragma once

#include "testbed/runs/socket_run.hpp"

#include <cstdint>

namespace harrierpass::testbed {

struct soak_options {
    std::uint32_t first = 1, last = 1; // seeds
    double length = 8;                 // seconds of load in each run
    unsigned jobs = 1;                 // concurrent runs
    socket_options sockets;            // `logs`: a folder with a subfolder for each seed
};

// Numbers of seeds. Failed: broke a rule or could not be run; too slow: none of its runs counts.
struct soak_summary {
    unsigned passed = 0, failed = 0, too_slow = 0;
    unsigned repeated = 0; // runs after which their seed was run again
};

// Runs the experiment of each seed. Prints a line for each run, the histories of violations and a summary to
// standard output.
soak_summary run_soak(const soak_options &options);

} // namespace harrierpass::testbed
