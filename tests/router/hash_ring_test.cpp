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

std::vector<ring_point> points_from(const hash_ring &ring, std::uint64_t position) {
    std::vector<ring_point> points;
    ring.visit_preceding(position, [&](const ring_point &point) {
        points.push_back(point);
        return true;
    });
    return points;
}

} // namespace

TEST_CASE("hash ring: virtual nodes follow the weight within bounds") {
    CHECK(virtual_nodes_for_weight(1) == 160);
    CHECK(virtual_nodes_for_weight(0.5) == 80);
    CHECK(virtual_nodes_for_weight(0) == 1);
    CHECK(virtual_nodes_for_weight(1000) == 2560);
}

TEST_CASE("hash ring: a lookup visits every point once, in descending order around the ring") {
    hash_ring ring;
    const std::vector<ring_member> members = {{"a", 20}, {"b", 0}, {"c", 10}};
    ring.update(members);
    const std::uint64_t start = ring_hash("key");
    const auto points = points_from(ring, start);
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
    CHECK((points[0].position <= start || points[0].position == *positions.rbegin()));
}

TEST_CASE("hash ring: a lookup ends when the visitor says so; an empty ring is never visited") {
    hash_ring ring;
    CHECK(points_from(ring, 7).empty());
    const std::vector<ring_member> members = {{"a", 20}};
    ring.update(members);
    int visits = 0;
    ring.visit_preceding(7, [&](const ring_point &) { return ++visits < 5; });
    CHECK(visits == 5);
}

TEST_CASE("hash ring: changed in steps it equals one built at once") {
    hash_ring stepwise, at_once;
    const std::vector<ring_member> first = {{"a", 40}, {"b", 40}}, last = {{"a", 10}, {"b", 50}, {"c", 40}};
    stepwise.update(first);
    stepwise.update(last);
    at_once.update(last);
    const auto one = points_from(stepwise, 0), other = points_from(at_once, 0);
    REQUIRE(one.size() == other.size());
    for (std::size_t i = 0; i < one.size(); ++i) {
        CHECK(one[i].position == other[i].position);
        CHECK(one[i].endpoint == other[i].endpoint);
        CHECK(one[i].virtual_node == other[i].virtual_node);
    }
}

TEST_CASE("hash ring: an index that was taken off and reset carries the points of its new endpoint") {
    hash_ring ring, expected;
    ring.update(std::vector<ring_member>{{"old", 5}});
    ring.update(std::vector<ring_member>{{"old", 0}});
    ring.reset(0_endpoint);
    ring.reset(9_endpoint); // not known yet
    ring.update(std::vector<ring_member>{{"new", 5}});
    expected.update(std::vector<ring_member>{{"new", 5}});
    CHECK(points_from(ring, 0).front().position == points_from(expected, 0).front().position);
    CHECK(points_from(ring, 0).size() == 5);
}

TEST_CASE("hash ring: replicas of a key have positions of their own") {
    CHECK(key_position(42, 0) == ring_hash("42"));
    CHECK(key_position(42, 3) == ring_hash("42/3"));
}

} // namespace harrierpass
