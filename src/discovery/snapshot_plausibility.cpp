// SPDX-License-Identifier: Apache-2.0
#include "discovery/snapshot_plausibility.hpp"

#include <array>

namespace harrierpass::discovery {
namespace {

constexpr std::size_t min_known_endpoints = 4; // a smaller set may be replaced all at once
constexpr std::size_t max_missing_factor = 2;  // a list must contain one in this many known endpoints
constexpr index usual_confirmations = 2;
constexpr index empty_confirmations = 3; // accepting an empty list stops all traffic
constexpr std::array log_names = {"no", "empty", "shrunk", "foreign", "older"}; // indexed by implausibility

} // namespace

implausibility find_implausibility(const snapshot_facts &facts) {
    if (facts.revision < facts.known_revision)
        return implausibility::outdated;
    if (!facts.is_snapshot || facts.known_endpoints == 0)
        return implausibility::none;
    if (facts.named_endpoints == 0)
        return implausibility::empty;
    if (facts.known_endpoints < min_known_endpoints)
        return implausibility::none;
    if (facts.common_endpoints == 0)
        return implausibility::unrelated;
    if (facts.common_endpoints * max_missing_factor < facts.known_endpoints)
        return implausibility::mostly_missing;
    return implausibility::none;
}

index confirmations_needed(implausibility kind) {
    if (kind == implausibility::none)
        return 1;
    return kind == implausibility::empty ? empty_confirmations : usual_confirmations;
}

const char *name_of(implausibility kind) {
    return log_names[static_cast<std::size_t>(kind)];
}

} // namespace harrierpass::discovery
