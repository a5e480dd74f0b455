// SPDX-License-Identifier: Apache-2.0
// Implements `harrierpass_testbed subsets`: which servers the proxies of an experiment prefer, the resulting
// load and connections at each server, and how many preferences a change of the fleet would move. Computed
// from the experiment alone; no process is started.
#pragma once

#include "testbed/model/experiment.hpp"

#include <iosfwd>

namespace harrierpass::testbed {

// Assumptions of the table that the experiment does not specify.
struct subset_options {
    double rate = -1;   // attempts per second over all proxies; below 0: the file's load
    double fetched = 0; // share of responses that need an origin fetch without subsets
    double loss = 0;    // share of a response's value that an origin fetch loses by delay
    int level = -1;     // of every proxy; below 0: each proxy's choice for its rate
    bool as_json = false;
};

// Prints the table or JSON to `output`, and an SVG plot to `plot` unless it is null.
void print_subset_table(const experiment &settings, const subset_options &options, std::ostream &output,
                        std::ostream *plot);

} // namespace harrierpass::testbed
