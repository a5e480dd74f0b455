// SPDX-License-Identifier: Apache-2.0
// Merges the layers of an experiment file: its base, the file itself, and its [large] part. A later layer
// overrides single keys of an earlier one; lists are replaced as a whole.
#pragma once

#include <string>
#include <toml++/toml.h>

namespace harrierpass::testbed {

// Merges the file's table into that of its `base`, then the [large] part if `large` is set. `name` is the
// file's path; the base's path is relative to its folder. Throws experiment_error or toml::parse_error.
toml::table merge_experiment_layers(const std::string &text, const std::string &name, bool large);

} // namespace harrierpass::testbed
