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
struct bad_text : std::exception {
    explicit bad_text(std::string fault) : told(std::make_shared<const std::string>(std::move(fault))) {}
    const char *what() const noexcept override { return why; }
    std::shared_ptr<const std::string> told; // shared, as copying an exception must not fail
    const char *why = told->c_str();
};

template <typename Number> Number parse_number(std::string_view part, const char *fault) {
    Number value{};
    const auto [end, error] = std::from_chars(part.data(), part.data() + part.size(), value);
    if (error != std::errc{} || end != part.data() + part.size())
        throw bad_text{fault};
    if constexpr (std::is_floating_point_v<Number>)
        if (!(value > -1e15 && value < 1e15))
            throw bad_text{fault};
    return value;
}

} // namespace harrierpass
