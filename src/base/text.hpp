// SPDX-License-Identifier: Apache-2.0
// Texts that came from outside: numbers read strictly, and the one error for what cannot be used.
#pragma once

#include <charconv>
#include <exception>
#include <memory>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace harrierpass {

// A text that cannot be used, and why.
struct parse_error : std::exception {
    explicit parse_error(std::string fault)
        : message(std::make_shared<const std::string>(std::move(fault))) {}
    const char *what() const noexcept override { return reason; }
    std::shared_ptr<const std::string> message; // shared, as copying an exception must not fail
    const char *reason = message->c_str();
};

template <typename Number> Number parse_number(std::string_view part, const char *fault) {
    Number value{};
    const auto [end, error] = std::from_chars(part.data(), part.data() + part.size(), value);
    if (error != std::errc{} || end != part.data() + part.size())
        throw parse_error{fault};
    if constexpr (std::is_floating_point_v<Number>)
        if (!(value > -1e15 && value < 1e15))
            throw parse_error{fault};
    return value;
}

} // namespace harrierpass
