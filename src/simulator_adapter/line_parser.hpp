// SPDX-License-Identifier: Apache-2.0
// Reads the values of one line of the simulator's protocol, which are separated by single spaces; "-" stands
// for a value that is absent. No I/O.
#pragma once

#include "base/text.hpp"

#include <optional>
#include <string_view>

namespace harrierpass::simulator_adapter {

// Takes values off a line from the left. Every reader throws parse_error where the value is missing or
// malformed. Does not own the line's text.
class line_parser {
public:
    // Begins at the left end of the line.
    explicit line_parser(std::string_view line) : remaining_(line) {}

    // The next value as text; it is not empty.
    std::string_view word();
    // Takes the next value, which decides nothing.
    void skip() { word(); }
    // What is left of the line.
    std::string_view rest() const { return remaining_; }
    // The next value as a number; `fault` is the error where it is none.
    template <typename Number> Number number(const char *fault) {
        const auto value = optional_number<Number>(fault);
        if (!value)
            throw parse_error{fault};
        return *value;
    }
    // The next value as a number, or nothing where it is absent.
    template <typename Number> std::optional<Number> optional_number(const char *fault) {
        const std::string_view value = word();
        if (value == "-")
            return std::nullopt;
        return parse_number<Number>(value, fault);
    }

private:
    std::string_view remaining_;
    bool is_at_end_ = false; // the last value was taken
};

} // namespace harrierpass::simulator_adapter
