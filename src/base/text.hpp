// SPDX-License-Identifier: Apache-2.0
// Texts from outside: a strict parser of numbers, and the error for a text that cannot be used.
#pragma once

#include <charconv>
#include <exception>
#include <memory>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace harrierpass {

// A text cannot be used. Copying it never fails.
struct parse_error : std::exception {
    explicit parse_error(std::string fault)
        : message(std::make_shared<const std::string>(std::move(fault))) {}
    const char *what() const noexcept override { return reason; }
    std::shared_ptr<const std::string> message; // why; shared by the copies
    const char *reason = message->c_str();      // the same, as text
};

// Floating-point numbers are accepted between this and its negative.
inline constexpr double max_parsed_number = 1e15;

// The number that the whole text is. Throws parse_error with the fault where it is none, or where a
// floating-point number is out of bounds.
template <typename Number> Number parse_number(std::string_view text, const char *fault) {
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size())
        throw parse_error{fault};
    if constexpr (std::is_floating_point_v<Number>)
        if (!(value > -max_parsed_number && value < max_parsed_number)) // NaN is neither
            throw parse_error{fault};
    return value;
}

} // namespace harrierpass
