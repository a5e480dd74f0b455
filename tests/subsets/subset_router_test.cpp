// SPDX-License-Identifier: Apache-2.0
#include "router/indexed_vector.hpp"
#include "subsets/subset_router.hpp"
#include "subsets/test_fleet.hpp"
#include "support/index_literals.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <random>
#include <set>
#include <utility>

namespace harrierpass::subsets {
namespace {

// A proxy with a subset router and simulated endpoints, which respond unless they are in `failed_endpoints`.
struct router_fixture {
    explicit router_fixture(const router_settings &settings, index count, std::uint32_t seed = 1)
        : random(seed) {
        subject = make_subset_router(settings, seed, 0);
        for (index i = 0; i < count; ++i)
            names.push_back(endpoint_id(i));
        std::vector<endpoint_info> entries;
        for (index i = 0; i < count; ++i)
            entries.push_back(entry(i));
        state.assign(count, endpoint_state::ready);
        subject->on_endpoints_updated(0, endpoint_update_kind::snapshot, entries);
        apply_actions();
    }
    endpoint_info entry(index endpoint, endpoint_state new_state = endpoint_state::ready,
                        double started_at = 0) const {
        endpoint_info result;
        result.endpoint = endpoint_index(endpoint);
        result.id = names[endpoint];
        result.state = new_state;
        result.started_at = started_at;
        return result;
    }
    void update_endpoint(index endpoint, endpoint_state new_state, double started_at = 0) {
        state[endpoint] = new_state;
        const endpoint_info changed_entry = entry(endpoint, new_state, started_at);
        subject->on_endpoints_updated(now, endpoint_update_kind::delta, {&changed_entry, 1});
        apply_actions();
    }
    void apply_actions() {
        for (const auto &action : subject->actions) {
            if (action.kind == action_kind::set_timer)
                timer_at = action.time;
            else if (action.kind == action_kind::watch_endpoints)
                ++watch_count;
            else if (action.kind == action_kind::start_attempt) {
                CHECK(state[action.endpoint.value()] ==
                      endpoint_state::ready); // the subset never selects a draining endpoint
                ++sent[action.endpoint];
                in_flight[action.request] = {action.endpoint, attempt_counts[action.request]};
                ++attempt_counts[action.request];
            } else if (action.kind == action_kind::check_health) {
                health_checks.push_back(action.endpoint);
            } else if (action.kind == action_kind::reject_request ||
                       action.kind == action_kind::fail_request) {
                ++response_counts[action.request];
            } else if (action.kind == action_kind::release_request) {
                open_requests.erase(action.request);
                free_requests.push_back(action.request);
            }
        }
        subject->actions.clear();
    }
    void advance_to(double until) {
        while (timer_at <= until) {
            now = std::max(now, timer_at);
            subject->on_timer(now);
            apply_actions();
            for (const endpoint_index endpoint : std::exchange(health_checks, {})) {
                subject->on_health_check_finished(now, endpoint, !failed_endpoints.contains(endpoint));
                apply_actions();
            }
        }
        now = until;
    }
    request_index send_request(class_index class_id = 0_class) {
        if (free_requests.empty())
            free_requests.push_back(response_counts.end_index());
        const request_index request = free_requests.back();
        free_requests.pop_back();
        response_counts.grow_to(request);
        response_counts[request] = 0;
        attempt_counts[request] = 0_attempt;
        open_requests.insert(request);
        request_info sent_request;
        sent_request.request = request;
        sent_request.class_id = class_id;
        sent_request.has_key = true;
        sent_request.key = random() % 5000;
        sent_request.deadline = now + 2;
        subject->on_request(now, sent_request);
        apply_actions();
        return request;
    }
    void finish_attempts() {
        while (!in_flight.empty()) {
            const auto [request, attempt] = *in_flight.begin();
            in_flight.erase(in_flight.begin());
            const bool connection_refused = failed_endpoints.contains(attempt.first);
            response_counts[request] += !connection_refused;
            subject->on_attempt_finished(now, request, attempt.second,
                                         connection_refused ? outcome::connect_error : outcome::completed,
                                         !connection_refused, false);
            apply_actions();
        }
    }
    // Sends ten requests per second and finishes each attempt after 50 ms.
    void run_requests(int request_count) {
        for (int i = 0; i < request_count; ++i) {
            advance_to(now + 0.05);
            const request_index request = send_request();
            advance_to(now + 0.05);
            finish_attempts();
            if (!open_requests.contains(request))
                CHECK(response_counts[request] == 1);
        }
    }
    std::set<endpoint_index> endpoints_used_by(int request_count) {
        sent.clear();
        run_requests(request_count);
        std::set<endpoint_index> result;
        for (const auto &[endpoint, count] : sent)
            result.insert(endpoint);
        return result;
    }

    std::minstd_rand random;
    std::unique_ptr<router> subject;
    std::vector<std::string> names;
    std::vector<endpoint_state> state;
    double now = 0, timer_at = 0;
    std::map<request_index, std::pair<endpoint_index, attempt_number>> in_flight;
    std::map<request_index, attempt_number> attempt_counts;
    std::map<endpoint_index, index> sent;
    indexed_vector<request_index, int> response_counts;
    std::vector<request_index> free_requests;
    std::vector<endpoint_index> health_checks;
    std::set<request_index> open_requests;
    std::set<endpoint_index> failed_endpoints;
    std::size_t watch_count = 0; // watch_endpoints actions
};

} // namespace

TEST_CASE("subset router: without handshake cost, every decision is the inner router's") {
    router_settings settings = low_traffic_settings();
    settings.handshake_cost = 0;
    router_fixture subsetting(settings, 40), plain(settings, 40);
    plain.subject = make_router(settings, 1, 0);
    std::vector<endpoint_info> entries;
    for (index i = 0; i < 40; ++i)
        entries.push_back(plain.entry(i));
    plain.subject->on_endpoints_updated(0, endpoint_update_kind::snapshot, entries);
    plain.apply_actions();
    subsetting.failed_endpoints = plain.failed_endpoints = {3_endpoint, 4_endpoint, 5_endpoint};
    CHECK(subsetting.endpoints_used_by(300) == plain.endpoints_used_by(300));
    CHECK(subsetting.sent == plain.sent);
    CHECK(subsetting.subject->subset().endpoints_removed == 0);
}

// When a whole fleet starts at once, the first connections go to endpoints that stay in use.
TEST_CASE("subset router: a proxy without traffic samples starts with a subset of the endpoints") {
    CHECK(initial_level(200, 300) == 2);
    CHECK(initial_level(200, 20) == 1); // limited by the minimum number of proxies per endpoint
    CHECK(initial_level(95, 300) == 0);
    CHECK(initial_level(400, 520) == 3);
    std::size_t kept_count = 0, initial_count = 0;
    for (index proxy_index = 0; proxy_index < 20; ++proxy_index) {
        router_fixture fixture(low_traffic_settings(proxy_index), 200);
        CHECK(fixture.subject->subset().selected_endpoints >= 35); // 50 on average
        CHECK(fixture.subject->subset().selected_endpoints <= 65);
        const auto initial_endpoints = fixture.endpoints_used_by(7);
        fixture.run_requests(200);
        const auto later_endpoints = fixture.endpoints_used_by(300);
        initial_count += initial_endpoints.size();
        for (const endpoint_index endpoint : initial_endpoints)
            kept_count += later_endpoints.contains(endpoint);
    }
    // A quarter of a level-2 subset stays preferred at level 4, but only a sixteenth of all 200 endpoints.
    CHECK(kept_count * 5 >= initial_count);
    router_settings without_cost = low_traffic_settings(); // no handshake cost, no subset
    without_cost.handshake_cost = 0;
    CHECK(router_fixture(without_cost, 200).subject->subset().selected_endpoints == 200);
}

TEST_CASE("subset router: a proxy with low traffic narrows to few endpoints, the same ones after a restart") {
    router_fixture fixture(low_traffic_settings(), 200), restarted(low_traffic_settings(), 200, 99);
    fixture.run_requests(100);
    restarted.run_requests(100);
    CHECK(fixture.subject->subset().level == 4);
    const auto narrow_endpoints = fixture.endpoints_used_by(200);
    CHECK(narrow_endpoints.size() <= 24);
    CHECK(narrow_endpoints == restarted.endpoints_used_by(200));
    router_fixture other(low_traffic_settings(6), 200);
    other.run_requests(100);
    CHECK(other.endpoints_used_by(200) != narrow_endpoints);
}

// A selection after a failed poll must not count as a response of the discovery service.
TEST_CASE("subset router: a watch is requested after a failed poll while the selection changes") {
    router_settings settings = low_traffic_settings();
    settings.constraints.watch_required = true;
    settings.constraints.max_poll_interval = 0.5;
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
        router_fixture fixture(settings, 200, seed);
        fixture.run_requests(6); // just before the subset narrows in steps
        fixture.subject->on_endpoints_updated(fixture.now, endpoint_update_kind::poll_failed, {});
        fixture.apply_actions();
        const auto previous = fixture.subject->subset().endpoints_removed;
        fixture.run_requests(10);
        CHECK(fixture.subject->subset().endpoints_removed > previous);
        CHECK(fixture.watch_count > 0);
    }
}

// An endpoint that is selected only for its attempts in flight must not cause all nearer ones to be selected.
TEST_CASE("subset router: attempts in flight at deselected endpoints do not cause endpoints to be added") {
    router_fixture fixture(low_traffic_settings(), 200);
    for (int i = 0; i < 7; ++i) { // to any endpoint, before there are enough traffic samples
        fixture.advance_to(fixture.now + 0.1);
        fixture.send_request();
    }
    for (int i = 0; i < 60; ++i) {
        fixture.advance_to(fixture.now + 0.1);
        const request_index request = fixture.send_request();
        if (const auto found = fixture.in_flight.find(request); found != fixture.in_flight.end()) {
            const auto attempt = found->second.second;
            fixture.in_flight.erase(found);
            ++fixture.response_counts[request];
            fixture.subject->on_attempt_finished(fixture.now, request, attempt, outcome::completed, true,
                                                 false);
            fixture.apply_actions();
        }
    }
    CHECK(fixture.subject->subset().level > 0);
    // Silent endpoints cause a few additions. With the fault there were 1,514.
    CHECK(fixture.subject->subset().endpoints_added < 300);
    fixture.finish_attempts();
}

TEST_CASE("subset router: the subset widens when most of its endpoints fail and narrows when they recover") {
    router_fixture fixture(low_traffic_settings(), 200);
    fixture.run_requests(100);
    const auto narrow_endpoints = fixture.endpoints_used_by(100);
    fixture.failed_endpoints = narrow_endpoints;
    fixture.failed_endpoints.erase(fixture.failed_endpoints.begin());
    fixture.run_requests(60);
    const auto widened = fixture.subject->subset();
    CHECK(widened.widened_for_availability > 0);
    std::size_t healthy_count = 0;
    for (const endpoint_index endpoint : fixture.endpoints_used_by(100))
        healthy_count += !fixture.failed_endpoints.contains(endpoint);
    CHECK(healthy_count >= 6);
    fixture.failed_endpoints.clear();
    fixture.run_requests(200);
    for (index endpoint = 0; endpoint < 200; ++endpoint)
        CHECK_FALSE(fixture.subject->avoids_endpoint(endpoint_index(endpoint)));
    CHECK(fixture.subject->subset().selected_endpoints < widened.selected_endpoints);
    CHECK(fixture.endpoints_used_by(100).size() <= narrow_endpoints.size() + 2);
}

TEST_CASE("subset router: the subset at most doubles while most endpoints are warming up") {
    router_fixture fixture(low_traffic_settings(), 200);
    fixture.run_requests(100);
    const auto previous = fixture.subject->subset().selected_endpoints;
    for (index i = 0; i < 140; ++i)
        fixture.update_endpoint(i, endpoint_state::ready, fixture.now);
    fixture.run_requests(20);
    CHECK(fixture.subject->subset().selected_endpoints <= 2 * previous);
}

TEST_CASE(
    "subset router: random endpoint changes and failures leave every request with exactly one response") {
    for (std::uint32_t seed = 1; seed <= 8; ++seed) {
        router_fixture fixture(low_traffic_settings(seed), 60, seed);
        std::minstd_rand random(seed);
        for (int step = 0; step < 600; ++step) {
            const index endpoint = random() % 60;
            switch (random() % 6) {
            case 0:
                fixture.update_endpoint(endpoint, endpoint_state::draining);
                break;
            case 1:
                fixture.update_endpoint(endpoint, endpoint_state::removed);
                break;
            case 2:
                fixture.update_endpoint(endpoint, endpoint_state::ready, fixture.now);
                break;
            case 3:
                if (!fixture.failed_endpoints.insert(endpoint_index(endpoint)).second)
                    fixture.failed_endpoints.erase(endpoint_index(endpoint));
                break;
            default:
                break;
            }
            fixture.send_request(class_index(random() % 2));
            fixture.advance_to(fixture.now + 0.05);
            if (random() % 3 != 0)
                fixture.finish_attempts();
        }
        fixture.finish_attempts();
        fixture.advance_to(fixture.now + 4);
        fixture.finish_attempts();
        fixture.advance_to(fixture.now + 1);
        CHECK(fixture.open_requests.empty());
        for (const int response_count : fixture.response_counts)
            CHECK(response_count == 1);
        const auto subset = fixture.subject->subset();
        CHECK(subset.ready_endpoints ==
              static_cast<index>(std::ranges::count(fixture.state, endpoint_state::ready)));
        CHECK(subset.selected_endpoints >= std::min<index>(6, subset.ready_endpoints));
    }
}

} // namespace harrierpass::subsets
