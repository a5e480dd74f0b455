// SPDX-License-Identifier: Apache-2.0
// A strict, bounded reader of JSON (RFC 8259) into a tree of values.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace harrierpass {

struct json_member;

struct json {
    enum class kind : std::uint8_t { null, boolean, number, string, array, object };

    kind type = kind::null;
    std::string text; // a text's own; a number's digits; "true" or "false"
    std::vector<json> items;
    std::vector<json_member> members;

    const json *find(std::string_view name) const; // null where absent or no object
    std::string_view string_at(std::string_view name) const;
    double number_at(std::string_view name, double absent) const;
};

struct json_member {
    std::string name;
    json value;
};

// Throws bad_text. Nested at most 32 deep; a name at most once in an object.
json read_json(std::string_view text);

} // namespace harrierpass
