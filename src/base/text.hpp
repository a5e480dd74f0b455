// SPDX-License-Identifier: Apache-2.0
// Texts from outside: a strict parser of numbers, and the error for a text that cannot be used.
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

// What is wrong with a text.
enum class parse_fault : std::uint8_t {
    malformed,     // it does not have the form that is expected
    missing,       // what has to be there is not
    not_a_number,  // no number, or more than one
    out_of_range,  // a number, a size or a depth beyond its bounds
    unknown_choice // none of the words that are allowed
};

// Where a text is wrong; each part is empty where it does not apply.
struct parse_place {
    std::string path;                  // of the setting or member
    std::optional<std::size_t> offset; // bytes from the text's start
};

// A text cannot be used. Copying it never fails.
struct parse_error : std::exception {
    // All that is known of the fault.
    struct details {
        parse_fault fault = parse_fault::malformed;
        parse_place place;
        std::string message; // for people
    };

    // A malformed text, at no place that is known.
    explicit parse_error(std::string message) : parse_error(parse_fault::malformed, {}, std::move(message)) {}
    // `message` is for people, who are shown nothing else.
    parse_error(parse_fault fault, parse_place place, std::string message)
        : about(std::make_shared<const details>(details{fault, std::move(place), std::move(message)})) {}
    // The message.
    const char *what() const noexcept override { return reason; }

    std::shared_ptr<const details> about;        // shared by the copies
    const char *reason = about->message.c_str(); // the message
};

// Floating-point numbers are accepted between this and its negative.
inline constexpr double max_parsed_number = 1e15;

// The number that the whole text is. Throws parse_error with the message and the place where it is none, or
// where a floating-point number is out of bounds.
template <typename Number>
Number parse_number(std::string_view text, const char *message, const parse_place &place = {}) {
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error == std::errc::result_out_of_range)
        throw parse_error(parse_fault::out_of_range, place, message);
    if (error != std::errc{} || end != text.data() + text.size())
        throw parse_error(parse_fault::not_a_number, place, message);
    if constexpr (std::is_floating_point_v<Number>)
        if (!(value > -max_parsed_number && value < max_parsed_number)) // NaN is neither
            throw parse_error(parse_fault::out_of_range, place, message);
    return value;
}

} // namespace harrierpass
