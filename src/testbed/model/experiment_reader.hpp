// SPDX-License-Identifier: Apache-2.0
// Reads an experiment from a TOML file. Strict: an unknown key, a value outside its range, or a time without
// a unit ("8ms", "2s", "200us", "1min") is refused by an experiment_error with file, line and reason.
// `base = "FILE"` merges the file into another one, whose path is relative to its folder. The [large] part is
// merged in last if `large` is set.
#pragma once

#include "testbed/model/experiment.hpp"

#include <string>

namespace harrierpass::testbed {

experiment read_experiment(const std::string &path, bool large = false);

// Parses an experiment from a text. `name` is the path of its file, which gives the experiment's name and the
// folder of a base.
experiment parse_experiment(const std::string &text, const std::string &name, bool large = false);

} // namespace harrierpass::testbed
