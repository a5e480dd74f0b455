// SPDX-License-Identifier: Apache-2.0
// The soak test: one run on sockets for each seed, each with an experiment of its own (soak_plan.hpp).
#pragma once

#include "testbed/runs/socket_run.hpp"

#include <cstdint>

namespace harrierpass::testbed {

// Which seeds the soak test plays, and how.
struct soak_options {
    std::uint32_t first = 1, last = 1; // seeds
    double length = 8;                 // s of load in each run
    unsigned jobs = 1;                 // runs at a time
    socket_options sockets;            // `logs`: a folder in which each seed gets its own
};

// How many runs passed, broke a rule or could not be played, and were too slow to count.
struct soak_summary {
    unsigned passed = 0, failed = 0, too_slow = 0;
};

// Plays the experiment of each seed. Prints one line a run, the history of each broken rule, and a summary
// to standard output.
soak_summary run_soak(const soak_options &options);

} // namespace harrierpass::testbed
