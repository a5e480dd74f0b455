// SPDX-License-Identifier: Apache-2.0
// Which endpoint lists are implausible, and how often they have to be repeated.
#include "discovery/snapshot_plausibility.hpp"

#include <doctest/doctest.h>
#include <string>

namespace harrierpass::discovery {
namespace {

// A newer snapshot that names so many endpoints, of which so many were known.
snapshot_facts newer(std::size_t known, std::size_t named, std::size_t common) {
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

TEST_CASE("plausibility: a snapshot that names most of the known endpoints is plausible") {
    CHECK(assess(newer(50, 50, 50)) == implausibility::none);
    CHECK(assess(newer(50, 80, 50)) == implausibility::none);
    CHECK(assess(newer(50, 25, 25)) == implausibility::none);
    CHECK(assess(newer(50, 24, 24)) == implausibility::mostly_missing);
    CHECK(assess(newer(50, 50, 1)) == implausibility::mostly_missing);
    CHECK(assess(newer(50, 50, 0)) == implausibility::unrelated);
    CHECK(assess(newer(50, 0, 0)) == implausibility::empty);
}

TEST_CASE("plausibility: few endpoints may be replaced at once, but not by none") {
    CHECK(assess(newer(3, 3, 0)) == implausibility::none);
    CHECK(assess(newer(4, 4, 0)) == implausibility::unrelated);
    CHECK(assess(newer(1, 0, 0)) == implausibility::empty);
    CHECK(assess(newer(0, 0, 0)) == implausibility::none);
    CHECK(assess(newer(0, 50, 0)) == implausibility::none);
}

TEST_CASE("plausibility: an older revision is implausible, in a delta, too") {
    CHECK(assess(with_revision(newer(50, 50, 50), 41)) == implausibility::none);
    CHECK(assess(with_revision(newer(50, 50, 50), 40)) == implausibility::outdated);
    CHECK(assess(as_delta(with_revision(newer(50, 1, 1), 40))) == implausibility::outdated);
    CHECK(assess(as_delta(newer(50, 0, 0))) == implausibility::none);
}

TEST_CASE("plausibility: an empty list takes most confirmations") {
    CHECK(confirmations_needed(implausibility::none) == 1);
    CHECK(confirmations_needed(implausibility::mostly_missing) == 2);
    CHECK(confirmations_needed(implausibility::unrelated) == 2);
    CHECK(confirmations_needed(implausibility::outdated) == 2);
    CHECK(confirmations_needed(implausibility::empty) == 3);
}

// Operators read these names.
TEST_CASE("plausibility: the names in the log") {
    CHECK(name_of(implausibility::none) == std::string("no"));
    CHECK(name_of(implausibility::empty) == std::string("empty"));
    CHECK(name_of(implausibility::mostly_missing) == std::string("shrunk"));
    CHECK(name_of(implausibility::unrelated) == std::string("foreign"));
    CHECK(name_of(implausibility::outdated) == std::string("older"));
}

} // namespace harrierpass::discovery
