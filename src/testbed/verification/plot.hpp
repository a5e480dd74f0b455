// SPDX-License-Identifier: Apache-2.0
// Draws runs as one SVG image. For each variant a line shows service, response time and origin fetches over
// time. For the first variant it also shows the fleet's service by zone, new connections and endpoint list
// polls, and a heat map of the attempts in flight with one row per server.
#pragma once

#include "testbed/verification/result.hpp"

namespace harrierpass::testbed {

// Draws the runs of one experiment, for each variant the mean of its seeds. `faults` are shaded.
std::string plot_svg(const std::vector<run_result> &runs, const std::vector<fault_interval> &faults);

} // namespace harrierpass::testbed
