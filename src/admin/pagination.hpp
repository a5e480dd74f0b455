// SPDX-License-Identifier: Apache-2.0
// Pages of a list: "limit" and "after" of a request's query.
#pragma once

#include "admin/target.hpp"

namespace harrierpass::admin {

inline constexpr std::size_t default_page_size = 100; // entries
inline constexpr std::size_t max_page_size = 1000;    // entries

// The size of the page that the query asks for; empty: it is no number from 1 to the maximum.
inline std::optional<std::size_t> page_size(std::string_view query) {
    const auto limit = query_value(query, "limit");
    const auto size = limit.empty() ? default_page_size : parse_number(limit).value_or(0);
    if (size < 1 || size > max_page_size)
        return std::nullopt;
    return size;
}

} // namespace harrierpass::admin
