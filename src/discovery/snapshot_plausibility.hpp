// SPDX-License-Identifier: Apache-2.0
// Whether an endpoint list is plausible beside the one known before it. An implausible list is set aside
// until the discovery service has repeated it often enough. Malformed lists are rejected before they get
// here. Pure functions.
//
// Invariant: a single response never empties the ring. A snapshot that is empty, leaves out most of the known
// endpoints or all of them, and any response with an older revision, is implausible.
#pragma once

#include "router/types.hpp"

#include <cstddef>
#include <cstdint>

namespace harrierpass::discovery {

// Why a list is implausible; none: it is plausible.
enum class implausibility : std::uint8_t { none, empty, mostly_missing, unrelated, outdated };

// A response beside what was known before it.
struct snapshot_facts {
    bool is_snapshot = false; // else changes since a revision
    std::uint64_t revision = 0, known_revision = 0;
    std::size_t known_endpoints = 0;  // ready or draining, before the response
    std::size_t named_endpoints = 0;  // in the response, those removed left out
    std::size_t common_endpoints = 0; // known ones that the response names in any state
};

// Why a response is implausible, if it is.
implausibility assess(const snapshot_facts &facts);

// How many equal responses in a row it takes to believe one; 1 where it is plausible.
index confirmations_needed(implausibility kind);

// The name as in logs.
const char *name_of(implausibility kind);

} // namespace harrierpass::discovery
