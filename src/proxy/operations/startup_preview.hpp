// SPDX-License-Identifier: Apache-2.0
// What a start by a configuration would do, told without starting anything.
#pragma once

#include "proxy/configuration.hpp"

#include <iosfwd>

namespace harrierpass::proxy {

// `now`: Unix time, s. Throws bad_text where an address cannot be used.
void preview_startup(const configuration &given, double now, std::ostream &to);

} // namespace harrierpass::proxy
