// SPDX-License-Identifier: Apache-2.0
// harrierpass_testbed subsets: which servers the proxies of an experiment prefer, what that adds up to at
// each server, and what a change of the fleet would move. Worked out from the file alone; nothing is started.
#pragma once

#include "testbed/model/experiment.hpp"

#include <iosfwd>

namespace harrierpass::testbed {

// What the table assumes where the experiment does not say it.
struct subset_options {
    double rate = -1;   // attempts a second over all proxies; below 0: the file's load
    double fetched = 0; // share of answers for which the origin is asked without subsets
    double loss = 0;    // of an answer's worth, that a fetched one loses by coming late
    int level = -1;     // of every proxy; below 0: as each would choose by its rate
    bool as_json = false;
};

// Prints the table, or JSON, to `to`; the plot, SVG, goes to `plot` where there is one.
void print_subset_table(const experiment &settings, const subset_options &options, std::ostream &to,
                        std::ostream *plot);

} // namespace harrierpass::testbed
