// SPDX-License-Identifier: Apache-2.0
// Describes what a start with a configuration would do, without starting anything.
#pragma once

#include "proxy/configuration.hpp"

#include <iosfwd>

namespace harrierpass::proxy {

// Writes the description. `now`: Unix time, s. Throws parse_error where an address cannot be used.
void preview_startup(const configuration &settings, double now, std::ostream &output);

} // namespace harrierpass::proxy
