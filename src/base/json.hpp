// SPDX-License-Identifier: Apache-2.0
// A strict, bounded reader of JSON (RFC 8259) into a tree of values.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace harrierpass {

struct json_member;

// A JSON value. Numbers stay text until they are read.
struct json {
    // What the value is.
    enum class kind : std::uint8_t { null, boolean, number, string, array, object };

    kind type = kind::null;
    std::string text;                 // of a string, its characters; of a number or literal, as written
    std::vector<json> items;          // of an array
    std::vector<json_member> members; // of an object

    // The value of a member; null where there is none, or where this is no object.
    const json *find(std::string_view name) const;
    // The text of a member; empty where there is none.
    std::string_view string_at(std::string_view name) const;
    // The number of a member; `absent` where there is none or null. Throws parse_error where it is no number.
    double number_at(std::string_view name, double absent) const;
};

// A name and its value in an object.
struct json_member {
    std::string name;
    json value;
};

// Reads a text that is one JSON value. Throws parse_error where it is none, is nested more than 32 deep, or
// has a name twice in an object.
json read_json(std::string_view text);

} // namespace harrierpass
