// SPDX-License-Identifier: Apache-2.0
// The layers of an experiment file: its base, the file itself, and its part [large]. A later layer replaces
// single keys of an earlier one; lists are replaced as a whole.
#pragma once

#include <string>
#include <toml++/toml.h>

namespace harrierpass::testbed {

// The file's table over that of the `base` it names, and its [large] part over both if `large`. `name` is
// the file's path, beside which the base is looked for. Throws experiment_error or toml::parse_error.
toml::table merge_experiment_layers(const std::string &text, const std::string &name, bool large);

} // namespace harrierpass::testbed
