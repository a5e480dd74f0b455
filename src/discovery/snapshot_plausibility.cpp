// SPDX-License-Identifier: Apache-2.0
#include "discovery/snapshot_plausibility.hpp"

#include <array>

namespace harrierpass::discovery {
namespace {

constexpr std::size_t min_known_endpoints = 4; // fewer may well be replaced all at once
constexpr std::size_t max_missing_factor = 2; // a list with less than one in so many of the known is in doubt
constexpr index usual_confirmations = 2;
constexpr index empty_confirmations = 3; // believing an empty list stops all traffic
constexpr std::array log_names = {"no", "empty", "shrunk", "foreign", "older"}; // by snapshot_doubt

} // namespace

snapshot_doubt assess(const snapshot_facts &facts) {
    if (facts.revision < facts.known_revision)
        return snapshot_doubt::outdated;
    if (!facts.is_snapshot || facts.known_endpoints == 0)
        return snapshot_doubt::none;
    if (facts.named_endpoints == 0)
        return snapshot_doubt::empty;
    if (facts.known_endpoints < min_known_endpoints)
        return snapshot_doubt::none;
    if (facts.common_endpoints == 0)
        return snapshot_doubt::unrelated;
    if (facts.common_endpoints * max_missing_factor < facts.known_endpoints)
        return snapshot_doubt::mostly_missing;
    return snapshot_doubt::none;
}

index confirmations_needed(snapshot_doubt doubt) {
    if (doubt == snapshot_doubt::none)
        return 1;
    return doubt == snapshot_doubt::empty ? empty_confirmations : usual_confirmations;
}

const char *name_of(snapshot_doubt doubt) {
    return log_names[static_cast<std::size_t>(doubt)];
}

} // namespace harrierpass::discovery
