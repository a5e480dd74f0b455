// SPDX-License-Identifier: Apache-2.0
// Only the load of an experiment, against proxies or servers that are there already.
#pragma once

#include "testbed/runs/run_environment.hpp"

#include <sys/types.h>

namespace harrierpass::testbed {

// Where the load goes.
struct load_options {
    std::vector<std::string> to; // addresses
    std::uint32_t seed = 1;
    pid_t pid = 0;  // whose CPU and memory are reported; 0: nobody's
    index idle = 0; // connections that stay idle meanwhile, after one request each
    std::ostream *progress = nullptr;
};

// What the load came to.
struct load_result {
    run_result run;
    double rate = 0;                                // requests a second that were completed
    double cpu_us = 0;                              // of `pid`, a request
    double own_cpu_us = 0;                          // of the generator, a request
    std::uint64_t resident_kb = 0, descriptors = 0; // of `pid`, at the end of the load
};

// Sends the load. Throws experiment_error for an address that is none, or for want of descriptors.
load_result run_load(const experiment &settings, const load_options &options);

} // namespace harrierpass::testbed
