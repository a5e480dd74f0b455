// SPDX-License-Identifier: Apache-2.0
// Reads an experiment from a TOML file. Strict: a key that is not known, a value outside its range, or a time
// without its unit ("8ms", "2s", "200us", "1min") is refused with file, line and reason, by experiment_error.
// `base = "FILE"` in a file lays it over that other one, beside it; its part [large] is laid over both where
// that size is asked for.
#pragma once

#include "testbed/model/experiment.hpp"

#include <string>

namespace harrierpass::testbed {

experiment read_experiment(const std::string &path, bool large = false);

// The same from a text; `name` is its file, which names the experiment and beside which a base is looked for.
experiment parse_experiment(const std::string &text, const std::string &name, bool large = false);

} // namespace harrierpass::testbed
