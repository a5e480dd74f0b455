// SPDX-License-Identifier: Apache-2.0
// Reads the router's settings from a deployment's. The deployment's keys and words, which are fixed by its
// format, are mapped to the router's terms here and nowhere else. No I/O.
#pragma once

#include "settings/field_reader.hpp"

namespace harrierpass {

// The router's settings. Throws parse_error where a setting cannot be used.
router_settings read_router_settings(const field_reader &fields);

} // namespace harrierpass
