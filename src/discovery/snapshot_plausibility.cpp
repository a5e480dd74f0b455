// SPDX-License-Identifier: Apache-2.0
#include "discovery/snapshot_plausibility.hpp"

#include <array>

namespace harrierpass::discovery {
namespace {

constexpr std::size_t few = 4;       // servers; fewer may well be replaced all at once
constexpr std::size_t most_lost = 2; // a list that names under one in so many of the known is far shorter
constexpr index alike = 2;           // answers
constexpr index alike_empty = 3;     // answers; an empty list serves nobody, so believing it cannot help
constexpr std::array names = {"no", "empty", "shrunk", "foreign", "older"};

} // namespace

snapshot_doubt assess(const snapshot_facts &of) {
    if (of.revision < of.known_revision)
        return snapshot_doubt::outdated;
    if (!of.is_snapshot || of.known_endpoints == 0)
        return snapshot_doubt::none;
    if (of.named_endpoints == 0)
        return snapshot_doubt::empty;
    if (of.common_endpoints == 0 && of.known_endpoints >= few)
        return snapshot_doubt::unrelated;
    return of.known_endpoints >= few && of.common_endpoints * most_lost < of.known_endpoints
               ? snapshot_doubt::mostly_missing
               : snapshot_doubt::none;
}

index confirmations_needed(snapshot_doubt of) {
    return of == snapshot_doubt::none ? 1 : of == snapshot_doubt::empty ? alike_empty : alike;
}

const char *name_of(snapshot_doubt of) {
    return names[static_cast<std::size_t>(of)];
}

} // namespace harrierpass::discovery
