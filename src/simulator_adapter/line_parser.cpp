// SPDX-License-Identifier: Apache-2.0
#include "simulator_adapter/line_parser.hpp"

namespace harrierpass::simulator_adapter {

std::string_view line_parser::word() {
    if (is_at_end_)
        throw parse_error{"too few values"};
    const auto space = remaining_.find(' ');
    const std::string_view value = remaining_.substr(0, space);
    is_at_end_ = space == std::string_view::npos;
    remaining_ = is_at_end_ ? std::string_view{} : remaining_.substr(space + 1);
    if (value.empty())
        throw parse_error{"empty value"};
    return value;
}

} // namespace harrierpass::simulator_adapter
