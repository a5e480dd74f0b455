// SPDX-License-Identifier: Apache-2.0
// Checks whether an endpoint list is plausible compared to the previous one. An implausible list is not used
// until the discovery service has repeated it often enough. Malformed lists are rejected earlier. Pure
// functions.
//
// Invariant: a single response never empties the ring. Implausible are an empty snapshot, a snapshot without
// most or all of the known endpoints, and any response with an older revision.
#pragma once

#include "router/types.hpp"

#include <cstddef>
#include <cstdint>

namespace harrierpass::discovery {

// Reason why a list is implausible; none: the list is plausible.
enum class implausibility : std::uint8_t { none, empty, mostly_missing, unrelated, outdated };

// Properties of a response, compared to the list known before it.
struct snapshot_facts {
    bool is_snapshot = false; // otherwise a delta
    std::uint64_t revision = 0, known_revision = 0;
    std::size_t known_endpoints = 0;  // ready or draining endpoints before the response
    std::size_t named_endpoints = 0;  // endpoints in the response, without removed ones
    std::size_t common_endpoints = 0; // known endpoints in the response, in any state
};

// Returns the reason why a response is implausible; none if it is plausible.
implausibility find_implausibility(const snapshot_facts &facts);

// Number of equal responses in a row that confirm a response; 1 if it is plausible.
index confirmations_needed(implausibility kind);

// Returns the name for logs.
const char *name_of(implausibility kind);

} // namespace harrierpass::discovery
