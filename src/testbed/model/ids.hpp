// SPDX-License-Identifier: Apache-2.0
// Formats and parses the X-Request-Id of a client's attempt. An id of any other format maps to an operation
// of its own.
#pragma once

#include "testbed/model/observer.hpp"

#include <string>
#include <string_view>
#include <utility>

namespace harrierpass::testbed {

std::string to_request_id(operation op, index attempt);
std::pair<operation, index> parse_request_id(std::string_view id);
std::string server_id(index number); // the id in the endpoint list

} // namespace harrierpass::testbed
