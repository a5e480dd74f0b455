// SPDX-License-Identifier: Apache-2.0
#include "router/endpoint_fleet.hpp"
#include "support/index_literals.hpp"

#include <array>
#include <doctest/doctest.h>
#include <string>
#include <vector>

namespace harrierpass {
namespace {

constexpr std::array<std::string_view, 4> names = {"a", "b", "c", "d"};

router_settings settings() {
    router_settings made;
    made.request_classes.push_back({effect_kind::idempotent, deduplication_scope::all, 0, 1, 1, 0});
    made.slow_start = {0.1, 10};
    made.constraints.may_check_health = true;
    return made;
}

std::vector<endpoint_info> entries(index count) {
    std::vector<endpoint_info> made(count);
    for (index i = 0; i < count; ++i) {
        made[i].endpoint = endpoint_index(i);
        made[i].id = names[i];
    }
    return made;
}

endpoint_fleet listed(const router_settings &given, index count) {
    endpoint_fleet made(given);
    CHECK(made.update(endpoint_update_kind::snapshot, entries(count), 100).empty());
    return made;
}

// An attempt that ended now; true: its endpoint was ejected after a silence.
bool end_attempt(endpoint_fleet &fleet, endpoint_index endpoint, outcome result, double now) {
    random_source random(1);
    attempt_record attempt = {endpoint, now};
    fleet.count_in_flight(attempt, true, now);
    const attempt_result ended = {endpoint, now, 1, result, true, false};
    const bool is_failure = fleet.record_result(ended, {}, now, random);
    fleet.count_in_flight(attempt, false, now);
    return fleet.update_health(ended, is_failure, now);
}

void eject(endpoint_fleet &fleet, endpoint_index endpoint, double now) {
    for (int i = 0; i < 3; ++i)
        CHECK(!end_attempt(fleet, endpoint, outcome::reset, now));
    CHECK(fleet.table()[endpoint].health == endpoint_health::ejected);
}

} // namespace

TEST_CASE("endpoint fleet: ready endpoints are members and give capacity") {
    auto fleet = listed(settings(), 3);
    CHECK(fleet.members().size() == 3);
    CHECK(fleet.usable_count() == 3);
    CHECK(fleet.capacity() == 24);
    auto changed = entries(3);
    changed[1].state = endpoint_state::draining;
    CHECK(fleet.update(endpoint_update_kind::delta, std::span(changed).subspan(1, 1), 101).empty());
    CHECK(fleet.members().size() == 2);
    CHECK(fleet.update(endpoint_update_kind::snapshot, entries(1), 102).empty());
    CHECK(fleet.members().size() == 1);
}

TEST_CASE("endpoint fleet: a new endpoint warms up, those of the first snapshot do not") {
    auto fleet = listed(settings(), 2);
    CHECK(fleet.table()[0_endpoint].health == endpoint_health::healthy);
    auto all = entries(3);
    all[2].started_at = 99;
    CHECK(fleet.update(endpoint_update_kind::delta, std::span(all).subspan(2), 100).empty());
    const auto &added = fleet.table()[2_endpoint];
    CHECK(added.health == endpoint_health::warming_up);
    CHECK(added.active_virtual_nodes == 31); // of 160: 0.1 + 0.9 * 1 s / 10 s, rounded up
    CHECK(!fleet.check(2_endpoint, 0, 109));
    CHECK(added.health == endpoint_health::healthy);
}

TEST_CASE("endpoint fleet: an ejected endpoint is avoided, unless most are ejected") {
    auto fleet = listed(settings(), 3);
    eject(fleet, 0_endpoint, 100);
    CHECK(fleet.is_avoided(fleet.table()[0_endpoint]));
    CHECK(fleet.usable_count() == 2);
    eject(fleet, 1_endpoint, 100);
    CHECK(!fleet.is_avoided(fleet.table()[0_endpoint]));
    CHECK(fleet.usable_count() == 3);
}

TEST_CASE("endpoint fleet: a health check brings an endpoint back, warm or as a new process") {
    auto fleet = listed(settings(), 3);
    eject(fleet, 0_endpoint, 100);
    CHECK(!fleet.take_due_health_check(0_endpoint, 100.4));
    CHECK(fleet.take_due_health_check(0_endpoint, 100.5));
    CHECK(!fleet.take_due_health_check(0_endpoint, 100.6));
    fleet.on_health_check_finished(0_endpoint, true, {}, 100.6);
    CHECK(fleet.table()[0_endpoint].health == endpoint_health::healthy);
    eject(fleet, 0_endpoint, 120);
    fleet.on_health_check_finished(0_endpoint, false, {}, 120.5);
    CHECK(fleet.table()[0_endpoint].health == endpoint_health::ejected);
    fleet.on_health_check_finished(0_endpoint, true, {}, 122);
    CHECK(fleet.table()[0_endpoint].health == endpoint_health::warming_up);
}

TEST_CASE("endpoint fleet: silence ejects, and says that attempts should be canceled") {
    auto fleet = listed(settings(), 3);
    attempt_record attempt = {0_endpoint, 100};
    fleet.count_in_flight(attempt, true, 100);
    // The mean response time starts at 0.2 s; the limit is 12 of them.
    CHECK(!fleet.check(0_endpoint, 0, 101));
    CHECK(!fleet.check(0_endpoint, 5, 102)); // in a pause of this proxy
    CHECK(fleet.check(0_endpoint, 0, 104));
    CHECK(fleet.table()[0_endpoint].health == endpoint_health::ejected);
    CHECK(!fleet.check(0_endpoint, 0, 105));
}

TEST_CASE("endpoint fleet: with advisory removal an endpoint stays, ejected, and returns as a new process") {
    auto given = settings();
    given.constraints.removal_is_advisory = true;
    auto fleet = listed(given, 3);
    CHECK(fleet.update(endpoint_update_kind::snapshot, entries(2), 101).empty());
    CHECK(fleet.members().size() == 3);
    CHECK(fleet.is_avoided(fleet.table()[2_endpoint]));
    fleet.on_health_check_finished(2_endpoint, true, {}, 102);
    CHECK(fleet.table()[2_endpoint].health == endpoint_health::warming_up);
    CHECK(fleet.update(endpoint_update_kind::snapshot, entries(2), 103).empty());
    CHECK(fleet.table()[2_endpoint].health == endpoint_health::warming_up); // it was dropped before
}

TEST_CASE("endpoint fleet: an endpoint that refuses is left alone for a mean response time") {
    auto fleet = listed(settings(), 3);
    CHECK(fleet.has_capacity(fleet.table()[0_endpoint], 0, 100));
    end_attempt(fleet, 0_endpoint, outcome::overloaded, 100);
    CHECK(!fleet.has_capacity(fleet.table()[0_endpoint], 0, 100.1));
    CHECK(fleet.has_capacity(fleet.table()[0_endpoint], 0, 100.21));
    CHECK(fleet.table()[0_endpoint].health == endpoint_health::healthy);
}

TEST_CASE("endpoint fleet: the origin is no member and is never ejected") {
    auto given = settings();
    given.origin_kind = 1_kind;
    endpoint_fleet fleet(given);
    auto all = entries(3);
    all[2].kind = 1_kind;
    CHECK(fleet.update(endpoint_update_kind::snapshot, all, 100).empty());
    CHECK(fleet.table().origin() == 2_endpoint);
    CHECK(fleet.members().size() == 2);
    for (int i = 0; i < 10; ++i)
        end_attempt(fleet, 2_endpoint, outcome::reset, 100);
    CHECK(fleet.table()[2_endpoint].health == endpoint_health::healthy);
}

} // namespace harrierpass
