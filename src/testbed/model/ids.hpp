// SPDX-License-Identifier: Apache-2.0
// The id of a try as it stands in X-Request-Id, and back; an id of another make is an operation of its own.
#pragma once

#include "testbed/model/observer.hpp"

#include <string>
#include <string_view>
#include <utility>

namespace harrierpass::testbed {

std::string to_id(operation op, index attempt);
std::pair<operation, index> from_id(std::string_view id);
std::string server_id(index number); // as in the list

} // namespace harrierpass::testbed
