// SPDX-License-Identifier: Apache-2.0
// A strict JSON parser (RFC 8259) with bounded nesting; produces a tree of values.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace harrierpass {

struct json_member;

// A JSON value. Numbers are kept as text and parsed by number_at().
struct json {
    enum class kind : std::uint8_t { null, boolean, number, string, array, object };

    kind type = kind::null;
    std::string text;                 // the characters of a string; a number or literal as written
    std::vector<json> items;          // the elements of an array
    std::vector<json_member> members; // the members of an object

    // Returns the value of a member, or null if there is no such member or the value is not an object.
    const json *find(std::string_view name) const;
    // Returns the text of a member, or an empty text if there is none.
    std::string_view string_at(std::string_view name) const;
    // Returns the number of a member, or `default_value` if it is absent or null. Throws parse_error if the
    // member is not a number.
    double number_at(std::string_view name, double default_value) const;
};

// A member of an object.
struct json_member {
    std::string name;
    json value;
};

// Parses a text that consists of one JSON value. Throws parse_error if it is malformed, is nested more than
// 32 levels deep, or has two members of the same name in an object.
json read_json(std::string_view text);

} // namespace harrierpass
