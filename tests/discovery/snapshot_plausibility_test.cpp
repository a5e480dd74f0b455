// SPDX-License-Identifier: Apache-2.0
// Tests which endpoint lists are implausible and how many confirmations they need.
#include "discovery/snapshot_plausibility.hpp"

#include <doctest/doctest.h>
#include <string>

namespace harrierpass::discovery {
namespace {

// A snapshot with a newer_snapshot revision. `common` is the number of known endpoints that it contains.
snapshot_facts newer_snapshot(std::size_t known, std::size_t named, std::size_t common) {
    return {.is_snapshot = true,
            .revision = 42,
            .known_revision = 41,
            .known_endpoints = known,
            .named_endpoints = named,
            .common_endpoints = common};
}

snapshot_facts with_revision(snapshot_facts facts, std::uint64_t revision) {
    facts.revision = revision;
    return facts;
}

snapshot_facts as_delta(snapshot_facts facts) {
    facts.is_snapshot = false;
    return facts;
}

} // namespace

TEST_CASE("plausibility: a snapshot is plausible if it contains at least half of the known endpoints") {
    CHECK(find_implausibility(newer_snapshot(50, 50, 50)) == implausibility::none);
    CHECK(find_implausibility(newer_snapshot(50, 80, 50)) == implausibility::none);
    CHECK(find_implausibility(newer_snapshot(50, 25, 25)) == implausibility::none);
    CHECK(find_implausibility(newer_snapshot(50, 24, 24)) == implausibility::mostly_missing);
    CHECK(find_implausibility(newer_snapshot(50, 50, 1)) == implausibility::mostly_missing);
    CHECK(find_implausibility(newer_snapshot(50, 50, 0)) == implausibility::unrelated);
    CHECK(find_implausibility(newer_snapshot(50, 0, 0)) == implausibility::empty);
}

TEST_CASE("plausibility: fewer than four endpoints may be replaced at once, but not removed at once") {
    CHECK(find_implausibility(newer_snapshot(3, 3, 0)) == implausibility::none);
    CHECK(find_implausibility(newer_snapshot(4, 4, 0)) == implausibility::unrelated);
    CHECK(find_implausibility(newer_snapshot(1, 0, 0)) == implausibility::empty);
    CHECK(find_implausibility(newer_snapshot(0, 0, 0)) == implausibility::none);
    CHECK(find_implausibility(newer_snapshot(0, 50, 0)) == implausibility::none);
}

TEST_CASE("plausibility: an older revision is implausible in snapshots and deltas") {
    CHECK(find_implausibility(with_revision(newer_snapshot(50, 50, 50), 41)) == implausibility::none);
    CHECK(find_implausibility(with_revision(newer_snapshot(50, 50, 50), 40)) == implausibility::outdated);
    CHECK(find_implausibility(as_delta(with_revision(newer_snapshot(50, 1, 1), 40))) ==
          implausibility::outdated);
    CHECK(find_implausibility(as_delta(newer_snapshot(50, 0, 0))) == implausibility::none);
}

TEST_CASE("plausibility: an empty list needs the most confirmations") {
    CHECK(confirmations_needed(implausibility::none) == 1);
    CHECK(confirmations_needed(implausibility::mostly_missing) == 2);
    CHECK(confirmations_needed(implausibility::unrelated) == 2);
    CHECK(confirmations_needed(implausibility::outdated) == 2);
    CHECK(confirmations_needed(implausibility::empty) == 3);
}

// Operators search logs for these names.
TEST_CASE("plausibility: every reason has its name for logs") {
    CHECK(name_of(implausibility::none) == std::string("no"));
    CHECK(name_of(implausibility::empty) == std::string("empty"));
    CHECK(name_of(implausibility::mostly_missing) == std::string("shrunk"));
    CHECK(name_of(implausibility::unrelated) == std::string("foreign"));
    CHECK(name_of(implausibility::outdated) == std::string("older"));
}

} // namespace harrierpass::discovery
