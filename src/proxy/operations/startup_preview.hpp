// SPDX-License-Identifier: Apache-2.0
// Describes how the proxy would start with a configuration, without starting it.
#pragma once

#include "proxy/configuration.hpp"

#include <iosfwd>

namespace harrierpass::proxy {

// Writes the description. `now` is Unix time in seconds. Throws parse_error if an address is invalid.
void preview_startup(const configuration &settings, double now, std::ostream &output);

} // namespace harrierpass::proxy
