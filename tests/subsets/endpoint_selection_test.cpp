// SPDX-License-Identifier: Apache-2.0
#include "subsets/endpoint_ranking.hpp"
#include "subsets/endpoint_selection.hpp"
#include "subsets/test_fleet.hpp"
#include "support/index_literals.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>
#include <string>
#include <vector>

namespace harrierpass::subsets {
namespace {

// A router that only provides which endpoints are ejected.
class ejecting_router final : public router {
public:
    void on_endpoints_updated(double, endpoint_update_kind, std::span<const endpoint_info>) override {}
    void on_request(double, const request_info &) override {}
    void on_attempt_finished(double, request_index, attempt_number, outcome, bool, bool,
                             const load_report &) override {}
    void on_response_started(double, request_index, bool) override {}
    void on_client_disconnected(double, request_index) override {}
    void on_health_check_finished(double, endpoint_index, bool, const load_report &) override {}
    void on_timer(double) override {}
    [[nodiscard]] bool is_ejected(endpoint_index endpoint) const override {
        return ejected.contains(endpoint);
    }

    std::set<endpoint_index> ejected;
};

// Selection of a proxy without traffic samples, after a snapshot.
struct selection_fixture {
    explicit selection_fixture(index count, const router_settings &settings = low_traffic_settings())
        : selection(settings) {
        apply_snapshot(count);
    }
    void apply_snapshot(index count) {
        selection.begin_snapshot();
        for (index i = 0; i < count; ++i) {
            const std::string id = endpoint_id(i);
            endpoint_info entry;
            entry.endpoint = endpoint_index(i);
            entry.id = id;
            selection.record_endpoint(entry);
        }
        selection.rank_endpoints();
        selection.use_initial_level();
        select(selection_mode::widen_only);
    }
    void select(selection_mode mode) { selection.select_endpoints(10, mode, traffic, inner); }
    std::set<endpoint_index> selected(index count) const {
        std::set<endpoint_index> result;
        for (endpoint_index endpoint{0}; endpoint < endpoint_index(count); ++endpoint)
            if (selection.is_selected(endpoint))
                result.insert(endpoint);
        return result;
    }

    endpoint_selection selection;
    traffic_estimator traffic;
    ejecting_router inner;
};

} // namespace

TEST_CASE("endpoint selection: the nearest endpoints are reported as ready, the others as draining") {
    selection_fixture fixture(200);
    std::vector<std::uint64_t> ready, draining;
    for (const auto &entry : fixture.selection.take_list_updates())
        (entry.state == endpoint_state::ready ? ready : draining)
            .push_back(distance(low_traffic_settings().proxy_index, entry.id));
    CHECK(ready.size() + draining.size() == 200);
    CHECK(fixture.selection.view().ready_endpoints == 200);
    CHECK(fixture.selection.view().selected_endpoints == ready.size());
    CHECK(ready.size() < 100); // at level 2 about a quarter
    CHECK(*std::ranges::max_element(ready) < *std::ranges::min_element(draining));
    CHECK(fixture.selection.take_list_updates().empty());
}

TEST_CASE("endpoint selection: more endpoints are selected while the nearest are ejected") {
    selection_fixture fixture(200);
    fixture.selection.take_list_updates();
    const auto before = fixture.selected(200);
    fixture.inner.ejected = before;
    fixture.select(selection_mode::widen_only);
    CHECK(fixture.selected(200).size() > before.size());
    CHECK(fixture.selection.view().widened_for_availability == 1);
    CHECK(fixture.selection.take_selection_changes().size() == fixture.selected(200).size() - before.size());

    fixture.inner.ejected.clear();
    fixture.select(selection_mode::widen_only);
    CHECK(fixture.selected(200).size() > before.size()); // only may_narrow deselects endpoints
    CHECK(fixture.selection.needs_selection());
    for (int i = 0; i < 50 && fixture.selection.needs_selection(); ++i)
        fixture.select(selection_mode::may_narrow);
    CHECK(fixture.selected(200) == before);
}

TEST_CASE(
    "endpoint selection: an endpoint with an attempt in flight stays selected until the attempt finishes") {
    selection_fixture fixture(200);
    fixture.selection.take_list_updates();
    const auto before = fixture.selected(200);
    fixture.inner.ejected = before;
    fixture.select(selection_mode::widen_only);
    auto additional = fixture.selected(200);
    for (const endpoint_index endpoint : before)
        additional.erase(endpoint);
    const endpoint_index busy = *additional.begin();
    fixture.traffic.on_request(10, 0_request, {});
    fixture.traffic.on_attempt_started(10, 0_request, busy);
    fixture.inner.ejected.clear();
    for (int i = 0; i < 50; ++i)
        fixture.select(selection_mode::may_narrow);
    CHECK(fixture.selected(200).size() == before.size() + 1);
    CHECK(fixture.selection.is_selected(busy));
    fixture.traffic.on_attempt_finished(11, 0_request, 0_attempt, true, false);
    fixture.select(selection_mode::may_narrow);
    CHECK(fixture.selected(200) == before);
}

TEST_CASE("endpoint selection: twice as many endpoints are selected while most requests find no capacity") {
    selection_fixture fixture(200);
    const auto before = fixture.selection.view().selected_endpoints;
    for (int i = 0; i < 20; ++i)
        fixture.selection.record_dispatch(false);
    CHECK(fixture.selection.needs_selection());
    fixture.select(selection_mode::widen_only);
    CHECK(fixture.selection.view().selected_endpoints == 2 * before);
    CHECK(fixture.selection.view().widened_for_capacity == 1);
    CHECK_FALSE(fixture.selection.needs_selection());
}

TEST_CASE("endpoint selection: an endpoint that a snapshot omits is no longer selected") {
    selection_fixture fixture(200);
    const auto before = fixture.selected(200);
    fixture.apply_snapshot(100);
    CHECK(fixture.selection.view().ready_endpoints == 100);
    for (const endpoint_index endpoint : before)
        if (!(endpoint < 100_endpoint))
            CHECK_FALSE(fixture.selection.is_selected(endpoint));
}

TEST_CASE("endpoint selection: every endpoint is selected if subsets do not reduce the cost") {
    router_settings settings = low_traffic_settings();
    settings.handshake_cost = 0;
    selection_fixture fixture(200, settings);
    CHECK(fixture.selection.is_disabled());
    CHECK(fixture.selected(200).size() == 200);
    CHECK_FALSE(fixture.selection.is_selected(200_endpoint)); // unknown endpoint
}

} // namespace harrierpass::subsets
