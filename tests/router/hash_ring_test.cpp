// SPDX-License-Identifier: Apache-2.0
#include "router/hash_ring.hpp"
#include "router/router.hpp"
#include "support/index_literals.hpp"

#include <doctest/doctest.h>
#include <set>
#include <string>
#include <vector>

namespace harrierpass {
namespace {

std::vector<ring_point> points_preceding(const hash_ring &ring, std::uint64_t position) {
    std::vector<ring_point> points;
    ring.visit_preceding(position, [&](const ring_point &point) {
        points.push_back(point);
        return true;
    });
    return points;
}

} // namespace

TEST_CASE("hash ring: the number of virtual nodes is proportional to the weight within limits") {
    CHECK(virtual_nodes_for_weight(1) == 160);
    CHECK(virtual_nodes_for_weight(0.5) == 80);
    CHECK(virtual_nodes_for_weight(0) == 1);
    CHECK(virtual_nodes_for_weight(1000) == 2560);
}

TEST_CASE("hash ring: a lookup visits every point once in descending order around the ring") {
    hash_ring ring;
    const std::vector<ring_member> members = {{"a", 20}, {"b", 0}, {"c", 10}};
    ring.update(members);
    const std::uint64_t position = ring_hash("key");
    const auto points = points_preceding(ring, position);
    REQUIRE(points.size() == 30);
    std::set<std::uint64_t> positions;
    int wraps = 0;
    for (std::size_t i = 0; i < points.size(); ++i) {
        CHECK(points[i].endpoint != 1_endpoint);
        positions.insert(points[i].position);
        wraps += i > 0 && points[i].position > points[i - 1].position;
    }
    CHECK(positions.size() == 30);
    CHECK(wraps <= 1);
    CHECK((points[0].position <= position || points[0].position == *positions.rbegin()));
}

TEST_CASE("hash ring: a lookup stops when the visitor returns false; an empty ring has no points") {
    hash_ring ring;
    CHECK(points_preceding(ring, 7).empty());
    const std::vector<ring_member> members = {{"a", 20}};
    ring.update(members);
    int visits = 0;
    ring.visit_preceding(7, [&](const ring_point &) { return ++visits < 5; });
    CHECK(visits == 5);
}

TEST_CASE("hash ring: two updates give the same ring as one update to the final members") {
    hash_ring updated_twice, updated_once;
    const std::vector<ring_member> initial_members = {{"a", 40}, {"b", 40}};
    const std::vector<ring_member> final_members = {{"a", 10}, {"b", 50}, {"c", 40}};
    updated_twice.update(initial_members);
    updated_twice.update(final_members);
    updated_once.update(final_members);
    const auto points = points_preceding(updated_twice, 0), expected = points_preceding(updated_once, 0);
    REQUIRE(points.size() == expected.size());
    for (std::size_t i = 0; i < points.size(); ++i) {
        CHECK(points[i].position == expected[i].position);
        CHECK(points[i].endpoint == expected[i].endpoint);
        CHECK(points[i].virtual_node == expected[i].virtual_node);
    }
}

TEST_CASE("hash ring: after a reset an index has the points of its new endpoint") {
    hash_ring ring, expected;
    ring.update(std::vector<ring_member>{{"old", 5}});
    ring.update(std::vector<ring_member>{{"old", 0}});
    ring.reset(0_endpoint);
    ring.reset(9_endpoint); // an index that the ring does not have
    ring.update(std::vector<ring_member>{{"new", 5}});
    expected.update(std::vector<ring_member>{{"new", 5}});
    CHECK(points_preceding(ring, 0).front().position == points_preceding(expected, 0).front().position);
    CHECK(points_preceding(ring, 0).size() == 5);
}

TEST_CASE("hash ring: each replica of a key has its own position") {
    CHECK(key_position(42, 0) == ring_hash("42"));
    CHECK(key_position(42, 3) == ring_hash("42/3"));
}

} // namespace harrierpass
