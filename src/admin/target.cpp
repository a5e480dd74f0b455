// SPDX-License-Identifier: Apache-2.0
#include "admin/target.hpp"

#include <algorithm>
#include <charconv>

namespace harrierpass::admin {

std::optional<std::uint64_t> parse_number(std::string_view text) {
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::string query_value(std::string_view query, std::string_view name) {
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const auto pair = query.substr(0, end);
        if (pair.starts_with(name) && pair.size() > name.size() && pair[name.size()] == '=')
            return std::string(pair.substr(name.size() + 1));
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return {};
}

bool match_path(std::string_view form, std::string_view path, std::string &name, std::string &id) {
    while (!form.empty() && !path.empty()) {
        const auto form_end = std::min(form.find('/', 1), form.size()),
                   path_end = std::min(path.find('/', 1), path.size());
        const auto expected = form.substr(1, form_end - 1), found = path.substr(1, path_end - 1);
        if (expected == "{name}" || expected == "{id}") {
            if (found.empty())
                return false;
            (expected == "{name}" ? name : id) = found;
        } else if (expected != found) {
            return false;
        }
        form.remove_prefix(form_end);
        path.remove_prefix(path_end);
    }
    return form.empty() && path.empty();
}

} // namespace harrierpass::admin
