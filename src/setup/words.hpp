// SPDX-License-Identifier: Apache-2.0
// Our words for kinds that files and calls name, and the way between the two.
#pragma once

#include "router/types.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace harrierpass {

inline constexpr std::array<std::pair<const char *, effect_kind>, 3> effect_words = {
    {{"idempotent", effect_kind::idempotent},
     {"deduplicated", effect_kind::deduplicated},
     {"non_idempotent", effect_kind::non_idempotent}}};
inline constexpr std::array<std::pair<const char *, repeat_group>, 3> group_words = {
    {{"all", repeat_group::all}, {"zone", repeat_group::zone}, {"cell", repeat_group::cell}}};

// The word of a kind that the list has.
template <typename Words, typename Kind> const char *word_of(const Words &words, Kind kind) {
    return std::find_if(words.begin(), words.end(), [&](const auto &each) { return each.second == kind; })
        ->first;
}

} // namespace harrierpass
