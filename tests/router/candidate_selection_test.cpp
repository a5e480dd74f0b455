// SPDX-License-Identifier: Apache-2.0
#include "router/candidate_selection.hpp"
#include "support/index_literals.hpp"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <set>
#include <vector>

namespace harrierpass {
namespace {

constexpr std::array<std::string_view, 6> endpoint_ids = {"a", "b", "c", "d", "e", "f"};

router_settings make_settings() {
    router_settings settings;
    settings.request_classes.push_back({effect_kind::idempotent, deduplication_scope::all, 0, 1, 1, 0});
    settings.constraints.max_attempts = 3;
    settings.origin_kind = 1_kind;
    return settings;
}

// A selector over six endpoints in two zones; with `has_origin` the last one is the origin.
struct selection_fixture {
    explicit selection_fixture(const router_settings &settings, bool has_origin = false) : fleet(settings) {
        std::vector<endpoint_info> entries(endpoint_ids.size());
        for (index i = 0; i < endpoint_ids.size(); ++i) {
            entries[i].endpoint = endpoint_index(i);
            entries[i].id = endpoint_ids[i];
            entries[i].zone = zone_index(i % 2);
            entries[i].kind = has_origin && i + 1 == endpoint_ids.size() ? 1_kind : 0_kind;
        }
        CHECK(fleet.update(endpoint_update_kind::snapshot, entries, 100).empty());
        policy.configure(settings.constraints, 0.1);
        selector.configure(settings);
    }
    endpoint_fleet fleet;
    retry_policy policy;
    candidate_selection selector{fleet, policy};
};

request_record make_request(std::uint64_t key) {
    request_record request;
    request.class_settings.effect = effect_kind::idempotent;
    request.ring_position = key_position(key, 0);
    request.deadline = 200;
    return request;
}

} // namespace

TEST_CASE("candidate selection: a request has three distinct candidates and the first one is selected") {
    const selection_fixture fixture(make_settings());
    std::set<endpoint_index> selected_endpoints;
    for (std::uint64_t key = 0; key < 100; ++key) {
        const auto request = make_request(key);
        const auto candidates = fixture.selector.ring_candidates(request, 100);
        CHECK(std::set(candidates.begin(), candidates.end()).size() == 3);
        const auto selected = fixture.selector.select_endpoint(request, 100);
        CHECK(selected.result == selection_result::selected);
        CHECK(selected.endpoint == candidates.front());
        selected_endpoints.insert(selected.endpoint);
    }
    CHECK(selected_endpoints.size() == endpoint_ids.size());
}

TEST_CASE("candidate selection: an attempted endpoint is no candidate, except after a cache miss") {
    const selection_fixture fixture(make_settings());
    auto request = make_request(1);
    const auto first = fixture.selector.select_endpoint(request, 100).endpoint;
    request.attempts.push_back({first, 100});
    const auto others = fixture.selector.ring_candidates(request, 100);
    CHECK(std::ranges::find(others, first) == others.end());
    request.attempts.back().is_open = false;
    request.attempts.back().result = outcome::cache_miss;
    CHECK(fixture.selector.select_endpoint(request, 100).endpoint == first);
}

TEST_CASE("candidate selection: at a high cross-zone cost, local candidates come first") {
    auto settings = make_settings();
    settings.local_zone = 1_zone;
    settings.cross_zone_cost = 0.2;
    settings.origin_fetch_cost = 0.1;
    const selection_fixture fixture(settings);
    for (std::uint64_t key = 0; key < 100; ++key)
        CHECK(fixture.selector.select_endpoint(make_request(key), 100).endpoint.value() % 2 == 1);
    settings.origin_fetch_cost = 0.3; // a fetch costs more than a cross-zone attempt
    const selection_fixture without_preference(settings);
    int local_count = 0;
    for (std::uint64_t key = 0; key < 100; ++key)
        local_count +=
            without_preference.selector.select_endpoint(make_request(key), 100).endpoint.value() % 2 == 1;
    CHECK(local_count < 80);
}

TEST_CASE("candidate selection: requests spill to the next candidate until all limits are reached") {
    selection_fixture fixture(make_settings());
    const auto request = make_request(1);
    const auto candidates = fixture.selector.ring_candidates(request, 100);
    std::vector<attempt_record> attempts(100);
    std::set<endpoint_index> used_endpoints;
    std::size_t started = 0;
    for (; started < attempts.size(); ++started) {
        const auto selected = fixture.selector.select_endpoint(request, 100);
        if (selected.result != selection_result::selected)
            break;
        used_endpoints.insert(selected.endpoint);
        attempts[started] = {selected.endpoint, 100};
        fixture.fleet.count_in_flight(attempts[started], true, 100);
    }
    CHECK(used_endpoints == std::set(candidates.begin(), candidates.end()));
    CHECK(started == 24); // eight at each of the three candidates
    CHECK(fixture.selector.select_endpoint(request, 100).result == selection_result::no_capacity);
}

TEST_CASE("candidate selection: no capacity without endpoints, not servable without candidates") {
    const auto settings = make_settings();
    const endpoint_fleet empty_fleet(settings);
    const retry_policy policy;
    candidate_selection selector(empty_fleet, policy);
    selector.configure(settings);
    CHECK(selector.select_endpoint(make_request(1), 100).result == selection_result::no_capacity);
    const selection_fixture fixture(settings);
    auto request = make_request(1);
    request.class_settings.effect = effect_kind::non_idempotent;
    request.attempts.push_back({0_endpoint, 100}); // possibly executed
    CHECK(fixture.selector.select_endpoint(request, 100).result == selection_result::not_servable);
}

TEST_CASE("candidate selection: a request that uses the origin is sent only to the origin") {
    const selection_fixture fixture(make_settings(), true);
    auto request = make_request(1);
    for (const auto endpoint : fixture.selector.ring_candidates(request, 100))
        CHECK(endpoint != 5_endpoint);
    request.uses_origin = true;
    CHECK(fixture.selector.select_endpoint(request, 100).endpoint == 5_endpoint);
    const selection_fixture without_origin(make_settings());
    CHECK(without_origin.selector.select_endpoint(request, 100).result == selection_result::no_capacity);
}

} // namespace harrierpass
