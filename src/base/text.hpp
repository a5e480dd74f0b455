// SPDX-License-Identifier: Apache-2.0
// Parsing of external text: a strict number parser and the error type of all parsers.
#pragma once

#include <charconv>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace harrierpass {

// The kind of fault in a text.
enum class parse_fault : std::uint8_t {
    malformed,     // the syntax is wrong
    missing,       // a required field is missing
    not_a_number,  // the text is not exactly one number
    out_of_range,  // a number, a size or a depth is out of bounds
    unknown_choice // the word is not one of the allowed ones
};

// The location of a fault; a part that does not apply is empty.
struct parse_location {
    std::string path;                  // of the setting or member
    std::optional<std::size_t> offset; // bytes from the start of the text
};

// The error for a text that cannot be parsed. Copying it does not throw.
struct parse_error : std::exception {
    struct fault_details {
        parse_fault fault = parse_fault::malformed;
        parse_location location;
        std::string message; // human-readable
    };

    // The fault `malformed` at an unknown location.
    explicit parse_error(std::string message) : parse_error(parse_fault::malformed, {}, std::move(message)) {}
    // `message` is human-readable: users see nothing else of the error.
    parse_error(parse_fault fault, parse_location location, std::string message)
        : details(std::make_shared<const fault_details>(
              fault_details{fault, std::move(location), std::move(message)})) {}
    const char *what() const noexcept override { return reason; }

    std::shared_ptr<const fault_details> details;  // shared by all copies
    const char *reason = details->message.c_str(); // the message
};

// Floating-point numbers are accepted if their absolute value is smaller than this.
inline constexpr double max_parsed_number = 1e15;

// Parses the whole text as one number. Throws parse_error with the message and the location if the text is
// not a number or a floating-point number is out of bounds.
template <typename Number>
Number parse_number(std::string_view text, const char *message, const parse_location &location = {}) {
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error == std::errc::result_out_of_range)
        throw parse_error(parse_fault::out_of_range, location, message);
    if (error != std::errc{} || end != text.data() + text.size())
        throw parse_error(parse_fault::not_a_number, location, message);
    if constexpr (std::is_floating_point_v<Number>)
        if (!(value > -max_parsed_number && value < max_parsed_number)) // false for NaN
            throw parse_error(parse_fault::out_of_range, location, message);
    return value;
}

} // namespace harrierpass
