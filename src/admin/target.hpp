// SPDX-License-Identifier: Apache-2.0
// The parts of a request's target: path segments, query parameters, numbers.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace harrierpass::admin {

// A decimal number that is all of the text.
std::optional<std::uint64_t> parse_number(std::string_view text);

// A value of "a=1&b=2"; empty where absent.
std::string query_value(std::string_view query, std::string_view name);

// Whether the path is of the form, where {name} and {id} stand for one segment each; these are put into
// `name` and `id`.
bool match_path(std::string_view form, std::string_view path, std::string &name, std::string &id);

} // namespace harrierpass::admin
