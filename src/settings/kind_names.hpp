// SPDX-License-Identifier: Apache-2.0
// Names of enumerators in configuration files and in the admin interface. The settings format uses other
// names (settings_reader.cpp).
#pragma once

#include "router/types.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace harrierpass {

// Names of the effects of executing a request more than once.
inline constexpr std::array<std::pair<const char *, effect_kind>, 3> effect_names = {
    {{"idempotent", effect_kind::idempotent},
     {"deduplicated", effect_kind::deduplicated},
     {"non_idempotent", effect_kind::non_idempotent}}};

// Names of the scopes in which endpoints recognise a retry of a deduplicated request.
inline constexpr std::array<std::pair<const char *, deduplication_scope>, 3> deduplication_scope_names = {
    {{"all", deduplication_scope::all},
     {"zone", deduplication_scope::zone},
     {"cell", deduplication_scope::cell}}};

// Returns the name of a kind, which must be in the table.
template <typename Names, typename Kind> const char *kind_name(const Names &names, Kind kind) {
    const auto found = std::ranges::find(names, kind, [](const auto &each) { return each.second; });
    return found->first;
}

} // namespace harrierpass
