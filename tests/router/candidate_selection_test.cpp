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

constexpr std::array<std::string_view, 6> names = {"a", "b", "c", "d", "e", "f"};

router_settings settings() {
    router_settings made;
    made.request_classes.push_back({effect_kind::idempotent, deduplication_scope::all, 0, 1, 1, 0});
    made.constraints.max_attempts = 3;
    made.origin_kind = 1_kind;
    return made;
}

// Six endpoints in two zones; the last one may be the origin.
struct fixture {
    explicit fixture(const router_settings &given, bool has_origin = false) : fleet(given) {
        std::vector<endpoint_info> entries(names.size());
        for (index i = 0; i < names.size(); ++i) {
            entries[i].endpoint = endpoint_index(i);
            entries[i].id = names[i];
            entries[i].zone = zone_index(i % 2);
            entries[i].kind = has_origin && i + 1 == names.size() ? 1_kind : 0_kind;
        }
        CHECK(fleet.update(endpoint_update_kind::snapshot, entries, 100).empty());
        retries.configure(given.constraints, 0.1);
        selector.configure(given);
    }
    endpoint_fleet fleet;
    retry_policy retries;
    candidate_selection selector{fleet, retries};
};

request_record request_for(std::uint64_t key) {
    request_record made;
    made.class_settings.effect = effect_kind::idempotent;
    made.ring_position = key_position(key, 0);
    made.deadline = 200;
    return made;
}

} // namespace

TEST_CASE("candidate selection: three distinct candidates, of which the first is selected") {
    const fixture made(settings());
    std::set<endpoint_index> selected;
    for (std::uint64_t key = 0; key < 100; ++key) {
        const auto request = request_for(key);
        const auto found = made.selector.ring_candidates(request, 100);
        CHECK(std::set(found.begin(), found.end()).size() == 3);
        const auto best = made.selector.select_endpoint(request, 100);
        CHECK(best.result == selection_result::selected);
        CHECK(best.endpoint == found.front());
        selected.insert(best.endpoint);
    }
    CHECK(selected.size() == names.size());
}

TEST_CASE("candidate selection: an endpoint that was tried is no candidate, unless it missed the key") {
    const fixture made(settings());
    auto request = request_for(1);
    const auto first = made.selector.select_endpoint(request, 100).endpoint;
    request.attempts.push_back({first, 100});
    const auto others = made.selector.ring_candidates(request, 100);
    CHECK(std::ranges::find(others, first) == others.end());
    request.attempts.back().is_open = false;
    request.attempts.back().result = outcome::cache_miss;
    CHECK(made.selector.select_endpoint(request, 100).endpoint == first);
}

TEST_CASE("candidate selection: where zones are costly, local candidates go first") {
    auto given = settings();
    given.local_zone = 1_zone;
    given.cross_zone_cost = 0.2;
    given.origin_fetch_cost = 0.1;
    const fixture made(given);
    for (std::uint64_t key = 0; key < 100; ++key)
        CHECK(made.selector.select_endpoint(request_for(key), 100).endpoint.value() % 2 == 1);
    given.origin_fetch_cost = 0.3; // a fetch costs more than another zone
    const fixture indifferent(given);
    int local = 0;
    for (std::uint64_t key = 0; key < 100; ++key)
        local += indifferent.selector.select_endpoint(request_for(key), 100).endpoint.value() % 2 == 1;
    CHECK(local < 80);
}

TEST_CASE("candidate selection: requests spill over to the next candidate, and end at the limits") {
    fixture made(settings());
    const auto request = request_for(1);
    const auto candidates = made.selector.ring_candidates(request, 100);
    std::vector<attempt_record> attempts(100);
    std::set<endpoint_index> used;
    std::size_t sent = 0;
    for (; sent < attempts.size(); ++sent) {
        const auto best = made.selector.select_endpoint(request, 100);
        if (best.result != selection_result::selected)
            break;
        used.insert(best.endpoint);
        attempts[sent] = {best.endpoint, 100};
        made.fleet.count_in_flight(attempts[sent], true, 100);
    }
    CHECK(used == std::set(candidates.begin(), candidates.end()));
    CHECK(sent == 24); // eight at each of three
    CHECK(made.selector.select_endpoint(request, 100).result == selection_result::no_capacity);
}

TEST_CASE("candidate selection: without members a request waits, without a candidate it is not servable") {
    const auto given = settings();
    const endpoint_fleet empty(given);
    const retry_policy retries;
    candidate_selection selector(empty, retries);
    selector.configure(given);
    CHECK(selector.select_endpoint(request_for(1), 100).result == selection_result::no_capacity);
    const fixture made(given);
    auto request = request_for(1);
    request.class_settings.effect = effect_kind::non_idempotent;
    request.attempts.push_back({0_endpoint, 100}); // possibly executed
    CHECK(made.selector.select_endpoint(request, 100).result == selection_result::not_servable);
}

TEST_CASE("candidate selection: a request that uses the origin goes there and nowhere else") {
    const fixture made(settings(), true);
    auto request = request_for(1);
    for (const auto endpoint : made.selector.ring_candidates(request, 100))
        CHECK(endpoint != 5_endpoint);
    request.uses_origin = true;
    CHECK(made.selector.select_endpoint(request, 100).endpoint == 5_endpoint);
    const fixture without(settings());
    CHECK(without.selector.select_endpoint(request, 100).result == selection_result::no_capacity);
}

} // namespace harrierpass
