// SPDX-License-Identifier: Apache-2.0
#include "router/endpoint_fleet.hpp"
#include "support/index_literals.hpp"

#include <array>
#include <doctest/doctest.h>
#include <string>
#include <vector>

namespace harrierpass {
namespace {

constexpr std::array<std::string_view, 4> endpoint_ids = {"a", "b", "c", "d"};

router_settings make_settings() {
    router_settings settings;
    settings.request_classes.push_back({effect_kind::idempotent, deduplication_scope::all, 0, 1, 1, 0});
    settings.slow_start = {0.1, 10};
    settings.constraints.may_check_health = true;
    return settings;
}

std::vector<endpoint_info> make_entries(index count) {
    std::vector<endpoint_info> entries(count);
    for (index i = 0; i < count; ++i) {
        entries[i].endpoint = endpoint_index(i);
        entries[i].id = endpoint_ids[i];
    }
    return entries;
}

endpoint_fleet make_fleet(const router_settings &settings, index count) {
    endpoint_fleet fleet(settings);
    CHECK(fleet.update(endpoint_update_kind::snapshot, make_entries(count), 100).empty());
    return fleet;
}

// Starts and finishes an attempt; true if its endpoint was ejected after a silence.
bool finish_attempt(endpoint_fleet &fleet, endpoint_index endpoint, outcome attempt_outcome, double now) {
    random_source random(1);
    attempt_record attempt = {endpoint, now};
    fleet.count_in_flight(attempt, true, now);
    const attempt_result result = {endpoint, now, 1, attempt_outcome, true, false};
    const bool is_failure = fleet.record_result(result, {}, now, random);
    fleet.count_in_flight(attempt, false, now);
    return fleet.update_health(result, is_failure, now);
}

void eject_by_resets(endpoint_fleet &fleet, endpoint_index endpoint, double now) {
    for (int i = 0; i < 3; ++i)
        CHECK(!finish_attempt(fleet, endpoint, outcome::reset, now));
    CHECK(fleet.table()[endpoint].health == endpoint_health::ejected);
}

} // namespace

TEST_CASE("endpoint fleet: ready endpoints are members and contribute capacity") {
    auto fleet = make_fleet(make_settings(), 3);
    CHECK(fleet.members().size() == 3);
    CHECK(fleet.usable_count() == 3);
    CHECK(fleet.capacity() == 24);
    auto entries = make_entries(3);
    entries[1].state = endpoint_state::draining;
    CHECK(fleet.update(endpoint_update_kind::delta, std::span(entries).subspan(1, 1), 101).empty());
    CHECK(fleet.members().size() == 2);
    CHECK(fleet.update(endpoint_update_kind::snapshot, make_entries(1), 102).empty());
    CHECK(fleet.members().size() == 1);
}

TEST_CASE("endpoint fleet: a new endpoint warms up, endpoints of the first snapshot do not") {
    auto fleet = make_fleet(make_settings(), 2);
    CHECK(fleet.table()[0_endpoint].health == endpoint_health::healthy);
    auto entries = make_entries(3);
    entries[2].started_at = 99;
    CHECK(fleet.update(endpoint_update_kind::delta, std::span(entries).subspan(2), 100).empty());
    const auto &added = fleet.table()[2_endpoint];
    CHECK(added.health == endpoint_health::warming_up);
    CHECK(added.active_virtual_nodes == 31); // of 160: 0.1 + 0.9 * 1 s / 10 s, rounded up
    CHECK(!fleet.check_member(2_endpoint, 0, 109));
    CHECK(added.health == endpoint_health::healthy);
}

TEST_CASE("endpoint fleet: an ejected endpoint is avoided unless most endpoints are ejected") {
    auto fleet = make_fleet(make_settings(), 3);
    eject_by_resets(fleet, 0_endpoint, 100);
    CHECK(fleet.is_avoided(fleet.table()[0_endpoint]));
    CHECK(fleet.usable_count() == 2);
    eject_by_resets(fleet, 1_endpoint, 100);
    CHECK(!fleet.is_avoided(fleet.table()[0_endpoint]));
    CHECK(fleet.usable_count() == 3);
}

TEST_CASE("endpoint fleet: a health check reinstates an endpoint, with a warm-up after a failed check") {
    auto fleet = make_fleet(make_settings(), 3);
    eject_by_resets(fleet, 0_endpoint, 100);
    CHECK(!fleet.claim_due_health_check(0_endpoint, 100.4));
    CHECK(fleet.claim_due_health_check(0_endpoint, 100.5));
    CHECK(!fleet.claim_due_health_check(0_endpoint, 100.6));
    fleet.on_health_check_finished(0_endpoint, true, {}, 100.6);
    CHECK(fleet.table()[0_endpoint].health == endpoint_health::healthy);
    eject_by_resets(fleet, 0_endpoint, 120);
    fleet.on_health_check_finished(0_endpoint, false, {}, 120.5);
    CHECK(fleet.table()[0_endpoint].health == endpoint_health::ejected);
    fleet.on_health_check_finished(0_endpoint, true, {}, 122);
    CHECK(fleet.table()[0_endpoint].health == endpoint_health::warming_up);
}

TEST_CASE("endpoint fleet: an endpoint is ejected after a silence, and its attempts should be canceled") {
    auto fleet = make_fleet(make_settings(), 3);
    attempt_record attempt = {0_endpoint, 100};
    fleet.count_in_flight(attempt, true, 100);
    // The mean response time starts at 0.2 s; the endpoint is ejected after a silence of 12 times that.
    CHECK(!fleet.check_member(0_endpoint, 0, 101));
    CHECK(!fleet.check_member(0_endpoint, 5, 102)); // a pause of this proxy is not counted
    CHECK(fleet.check_member(0_endpoint, 0, 104));
    CHECK(fleet.table()[0_endpoint].health == endpoint_health::ejected);
    CHECK(!fleet.check_member(0_endpoint, 0, 105));
}

TEST_CASE("endpoint fleet: with advisory removal an endpoint is kept as ejected until it responds") {
    auto settings = make_settings();
    settings.constraints.removal_is_advisory = true;
    auto fleet = make_fleet(settings, 3);
    CHECK(fleet.update(endpoint_update_kind::snapshot, make_entries(2), 101).empty());
    CHECK(fleet.members().size() == 3);
    CHECK(fleet.is_avoided(fleet.table()[2_endpoint]));
    fleet.on_health_check_finished(2_endpoint, true, {}, 102);
    CHECK(fleet.table()[2_endpoint].health == endpoint_health::warming_up);
    CHECK(fleet.update(endpoint_update_kind::snapshot, make_entries(2), 103).empty());
    CHECK(fleet.table()[2_endpoint].health == endpoint_health::warming_up); // it was removed before
}

TEST_CASE("endpoint fleet: an overloaded endpoint gets no attempts for a mean response time") {
    auto fleet = make_fleet(make_settings(), 3);
    CHECK(fleet.has_capacity(fleet.table()[0_endpoint], 0, 100));
    finish_attempt(fleet, 0_endpoint, outcome::overloaded, 100);
    CHECK(!fleet.has_capacity(fleet.table()[0_endpoint], 0, 100.1));
    CHECK(fleet.has_capacity(fleet.table()[0_endpoint], 0, 100.21));
    CHECK(fleet.table()[0_endpoint].health == endpoint_health::healthy);
}

TEST_CASE("endpoint fleet: the origin is not a member and is never ejected") {
    auto settings = make_settings();
    settings.origin_kind = 1_kind;
    endpoint_fleet fleet(settings);
    auto entries = make_entries(3);
    entries[2].kind = 1_kind;
    CHECK(fleet.update(endpoint_update_kind::snapshot, entries, 100).empty());
    CHECK(fleet.table().origin() == 2_endpoint);
    CHECK(fleet.members().size() == 2);
    for (int i = 0; i < 10; ++i)
        finish_attempt(fleet, 2_endpoint, outcome::reset, 100);
    CHECK(fleet.table()[2_endpoint].health == endpoint_health::healthy);
}

} // namespace harrierpass
