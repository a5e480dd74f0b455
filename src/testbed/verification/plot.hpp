// SPDX-License-Identifier: Apache-2.0
// Runs as one SVG picture: service, time of an answer, origin fetches over time, a line for each variant;
// the whole fleet's service by zone, new connections and list calls, and what each server has in hand, a row
// each, for the first one.
#pragma once

#include "testbed/verification/result.hpp"

namespace harrierpass::testbed {

// Runs of one experiment; of several seeds of a variant the mean is drawn. `faults` are shaded.
std::string plot_svg(const std::vector<run_result> &runs, const std::vector<shade> &faults);

} // namespace harrierpass::testbed
