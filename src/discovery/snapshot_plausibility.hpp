// SPDX-License-Identifier: Apache-2.0
// Whether a list is believed. One answer alone never empties the ring: a list that is empty, leaves out most
// of what was known, knows none of it, or is older than what was had before, stands aside until the service
// has said the same again. What cannot be read at all never comes here.
#pragma once

#include "router/types.hpp"

#include <cstddef>
#include <cstdint>

namespace harrierpass::discovery {

enum class snapshot_doubt : std::uint8_t { none, empty, mostly_missing, unrelated, outdated };

// An answer beside what was known before it.
struct snapshot_facts {
    bool is_snapshot = false;
    std::uint64_t revision = 0, known_revision = 0;
    std::size_t known_endpoints = 0;  // servers in use or draining, as known before
    std::size_t named_endpoints = 0;  // servers that it names, those gone left out
    std::size_t common_endpoints = 0; // of the known ones, that it names in any way
};

snapshot_doubt assess(const snapshot_facts &of);
index confirmations_needed(snapshot_doubt of); // alike, before it is believed
const char *name_of(snapshot_doubt of);        // as in logs

} // namespace harrierpass::discovery
