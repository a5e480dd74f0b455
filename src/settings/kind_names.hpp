// SPDX-License-Identifier: Apache-2.0
// Our words for kinds that files and calls name, and the way between the two.
#pragma once

#include "router/types.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace harrierpass {

inline constexpr std::array<std::pair<const char *, effect_kind>, 3> effect_names = {
    {{"idempotent", effect_kind::idempotent},
     {"deduplicated", effect_kind::deduplicated},
     {"non_idempotent", effect_kind::non_idempotent}}};
inline constexpr std::array<std::pair<const char *, deduplication_scope>, 3> deduplication_scope_names = {
    {{"all", deduplication_scope::all},
     {"zone", deduplication_scope::zone},
     {"cell", deduplication_scope::cell}}};

// The word of a kind that the list has.
template <typename Words, typename Kind> const char *kind_name(const Words &words, Kind kind) {
    return std::find_if(words.begin(), words.end(), [&](const auto &each) { return each.second == kind; })
        ->first;
}

} // namespace harrierpass
