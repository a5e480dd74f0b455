// SPDX-License-Identifier: Apache-2.0
// Parses the values in one line of the simulator's protocol. They are separated by single spaces; "-" is an
// absent value. No I/O.
#pragma once

#include "base/text.hpp"

#include <optional>
#include <string_view>

namespace harrierpass::simulator_adapter {

// Reads the values of a line from left to right. Every reader throws parse_error if the value is missing or
// malformed. Does not own the text of the line.
class line_parser {
public:
    // Starts at the beginning of the line.
    explicit line_parser(std::string_view line) : remaining_(line) {}

    // Reads the next value as text, which is never empty.
    std::string_view word();
    // Skips the next value.
    void skip() { word(); }
    // Remaining text of the line.
    std::string_view rest() const { return remaining_; }
    // Reads the next value as a number; `error_message` is the error if it is not a number.
    template <typename Number> Number number(const char *error_message) {
        const auto value = optional_number<Number>(error_message);
        if (!value)
            throw parse_error{error_message};
        return *value;
    }
    // Reads the next value as a number; empty if the value is absent.
    template <typename Number> std::optional<Number> optional_number(const char *error_message) {
        const std::string_view value = word();
        if (value == "-")
            return std::nullopt;
        return parse_number<Number>(value, error_message);
    }

private:
    std::string_view remaining_;
    bool is_at_end_ = false; // whether the last value was read
};

} // namespace harrierpass::simulator_adapter
