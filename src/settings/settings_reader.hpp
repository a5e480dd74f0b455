// SPDX-License-Identifier: Apache-2.0
// Reads the router's settings from a deployment's settings. Only this module maps the keys and values of the
// deployment's fixed format to the router's terms. No I/O.
#pragma once

#include "settings/field_reader.hpp"

namespace harrierpass {

// Returns the router's settings. Throws parse_error if a setting is invalid.
router_settings read_router_settings(const field_reader &fields);

} // namespace harrierpass
