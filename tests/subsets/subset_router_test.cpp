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

// One proxy with a subset router before simulated endpoints, which answer unless they are in `dead`.
struct router_fixture {
    explicit router_fixture(const router_settings &settings, index count, std::uint32_t seed = 1)
        : random(seed) {
        subject = make_subset_router(settings, seed, 0);
        for (index i = 0; i < count; ++i)
            names.push_back(endpoint_id(i));
        std::vector<endpoint_info> all;
        for (index i = 0; i < count; ++i)
            all.push_back(entry(i));
        state.assign(count, endpoint_state::ready);
        subject->on_endpoints_updated(0, endpoint_update_kind::snapshot, all);
        apply_actions();
    }
    endpoint_info entry(index endpoint, endpoint_state new_state = endpoint_state::ready,
                        double started = 0) const {
        endpoint_info result;
        result.endpoint = endpoint_index(endpoint);
        result.id = names[endpoint];
        result.state = new_state;
        result.started_at = started;
        return result;
    }
    void update_endpoint(index endpoint, endpoint_state new_state, double started = 0) {
        state[endpoint] = new_state;
        const endpoint_info one = entry(endpoint, new_state, started);
        subject->on_endpoints_updated(now, endpoint_update_kind::delta, {&one, 1});
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
                      endpoint_state::ready); // drains are kept, whatever the subset does
                ++sent[action.endpoint];
                in_flight[action.request] = {action.endpoint, attempt_counts[action.request]};
                ++attempt_counts[action.request];
            } else if (action.kind == action_kind::check_health) {
                health_checks.push_back(action.endpoint);
            } else if (action.kind == action_kind::reject_request ||
                       action.kind == action_kind::fail_request) {
                ++answered[action.request];
            } else if (action.kind == action_kind::release_request) {
                live.erase(action.request);
                free.push_back(action.request);
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
                subject->on_health_check_finished(now, endpoint, !dead.contains(endpoint));
                apply_actions();
            }
        }
        now = until;
    }
    request_index send_request(class_index class_id = 0_class) {
        if (free.empty())
            free.push_back(answered.end_index());
        const request_index request = free.back();
        free.pop_back();
        answered.grow_to(request);
        answered[request] = 0;
        attempt_counts[request] = 0_attempt;
        live.insert(request);
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
            const auto [request, where] = *in_flight.begin();
            in_flight.erase(in_flight.begin());
            const bool refused = dead.contains(where.first);
            answered[request] += !refused;
            subject->on_attempt_finished(now, request, where.second,
                                         refused ? outcome::connect_error : outcome::completed, !refused,
                                         false);
            apply_actions();
        }
    }
    // Ten requests a second, each answered after 50 ms.
    void run_requests(int request_count) {
        for (int i = 0; i < request_count; ++i) {
            advance_to(now + 0.05);
            const request_index request = send_request();
            advance_to(now + 0.05);
            finish_attempts();
            if (!live.contains(request))
                CHECK(answered[request] == 1);
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
    indexed_vector<request_index, int> answered;
    std::vector<request_index> free;
    std::vector<endpoint_index> health_checks;
    std::set<request_index> live;
    std::set<endpoint_index> dead;
    std::size_t watch_count = 0; // requests to watch the endpoint list
};

} // namespace

TEST_CASE("without a price of handshakes every decision is the module's own") {
    router_settings settings = low_traffic_settings();
    settings.handshake_cost = 0;
    router_fixture chosen(settings, 40), plain(settings, 40);
    plain.subject = make_router(settings, 1, 0);
    std::vector<endpoint_info> all;
    for (index i = 0; i < 40; ++i)
        all.push_back(plain.entry(i));
    plain.subject->on_endpoints_updated(0, endpoint_update_kind::snapshot, all);
    plain.apply_actions();
    chosen.dead = plain.dead = {3_endpoint, 4_endpoint, 5_endpoint};
    CHECK(chosen.endpoints_used_by(300) == plain.endpoints_used_by(300));
    CHECK(chosen.sent == plain.sent);
    CHECK(chosen.subject->subset().endpoints_removed == 0);
}

// Where a whole fleet starts at once, first connections go to endpoints that are kept in use.
TEST_CASE("a proxy that does not know its traffic starts with a part of the servers") {
    CHECK(initial_level(200, 300) == 2);
    CHECK(initial_level(200, 20) == 1); // as many proxies to each server as ever
    CHECK(initial_level(95, 300) == 0);
    CHECK(initial_level(400, 520) == 3);
    std::size_t kept = 0, met = 0;
    for (index me = 0; me < 20; ++me) {
        router_fixture one(low_traffic_settings(me), 200);
        CHECK(one.subject->subset().selected_endpoints >= 35); // 50, give or take the hash
        CHECK(one.subject->subset().selected_endpoints <= 65);
        const auto first = one.endpoints_used_by(7);
        one.run_requests(200);
        const auto later = one.endpoints_used_by(300);
        met += first.size();
        for (const endpoint_index each : first)
            kept += later.contains(each);
    }
    CHECK(kept * 5 >= met); // at level 2 of 4 a quarter is preferred for good; of all 200 a sixteenth
    router_settings whale = low_traffic_settings(); // no price, no part
    whale.handshake_cost = 0;
    CHECK(router_fixture(whale, 200).subject->subset().selected_endpoints == 200);
}

TEST_CASE("a thin proxy comes to use few servers, the same after its restart") {
    router_fixture one(low_traffic_settings(), 200), again(low_traffic_settings(), 200, 99);
    one.run_requests(100);
    again.run_requests(100);
    CHECK(one.subject->subset().level == 4);
    const auto narrow = one.endpoints_used_by(200);
    CHECK(narrow.size() <= 24);
    CHECK(narrow == again.endpoints_used_by(200));
    router_fixture other(low_traffic_settings(6), 200);
    other.run_requests(100);
    CHECK(other.endpoints_used_by(200) != narrow);
}

// A selection made after a failed poll does not count as word from the list service.
TEST_CASE("a list that was lost is asked for again, however the choice changes meanwhile") {
    router_settings settings = low_traffic_settings();
    settings.constraints.watch_required = true;
    settings.constraints.max_poll_interval = 0.5;
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
        router_fixture one(settings, 200, seed);
        one.run_requests(6); // just before it becomes narrower, step by step
        one.subject->on_endpoints_updated(one.now, endpoint_update_kind::poll_failed, {});
        one.apply_actions();
        const auto previous = one.subject->subset().endpoints_removed;
        one.run_requests(10);
        CHECK(one.subject->subset().endpoints_removed > previous);
        CHECK(one.watch_count > 0);
    }
}

// Invariant: an endpoint kept only for its attempts in flight does not draw all nearer ones in again.
TEST_CASE("executions that are out while servers leave bring none back") {
    router_fixture one(low_traffic_settings(), 200);
    for (int i = 0; i < 7; ++i) { // all over the fleet, before the proxy knows its traffic
        one.advance_to(one.now + 0.1);
        one.send_request();
    }
    for (int i = 0; i < 60; ++i) {
        one.advance_to(one.now + 0.1);
        const request_index request = one.send_request();
        if (const auto at = one.in_flight.find(request); at != one.in_flight.end()) {
            const auto attempt = at->second.second;
            one.in_flight.erase(at);
            ++one.answered[request];
            one.subject->on_attempt_finished(one.now, request, attempt, outcome::completed, true, false);
            one.apply_actions();
        }
    }
    CHECK(one.subject->subset().level > 0);
    CHECK(one.subject->subset().endpoints_added < 300); // 1,514 where it does; those silent bring a few
    one.finish_attempts();
}

TEST_CASE("most of its servers dead at once: it widens by what it saw, and narrows when they are back") {
    router_fixture one(low_traffic_settings(), 200);
    one.run_requests(100);
    const auto narrow = one.endpoints_used_by(100);
    one.dead = narrow;
    one.dead.erase(one.dead.begin());
    one.run_requests(60);
    const auto widened = one.subject->subset();
    CHECK(widened.widened_for_availability > 0);
    std::size_t alive = 0;
    for (const endpoint_index each : one.endpoints_used_by(100))
        alive += !one.dead.contains(each);
    CHECK(alive >= 6);
    one.dead.clear();
    one.run_requests(200);
    for (index each = 0; each < 200; ++each)
        CHECK_FALSE(one.subject->avoids_endpoint(endpoint_index(each)));
    CHECK(one.subject->subset().selected_endpoints < widened.selected_endpoints);
    CHECK(one.endpoints_used_by(100).size() <= narrow.size() + 2);
}

TEST_CASE("a fleet that is mostly cold is no reason to use all of it") {
    router_fixture one(low_traffic_settings(), 200);
    one.run_requests(100);
    const auto previous = one.subject->subset().selected_endpoints;
    for (index i = 0; i < 140; ++i)
        one.update_endpoint(i, endpoint_state::ready, one.now);
    one.run_requests(20);
    CHECK(one.subject->subset().selected_endpoints <= 2 * previous);
}

TEST_CASE("any order of servers that come, go, drain and fail: rules kept, nothing left out") {
    for (std::uint32_t seed = 1; seed <= 8; ++seed) {
        router_fixture one(low_traffic_settings(seed), 60, seed);
        std::minstd_rand random(seed);
        for (int step = 0; step < 600; ++step) {
            const index endpoint = random() % 60;
            switch (random() % 6) {
            case 0:
                one.update_endpoint(endpoint, endpoint_state::draining);
                break;
            case 1:
                one.update_endpoint(endpoint, endpoint_state::removed);
                break;
            case 2:
                one.update_endpoint(endpoint, endpoint_state::ready, one.now);
                break;
            case 3:
                if (!one.dead.insert(endpoint_index(endpoint)).second)
                    one.dead.erase(endpoint_index(endpoint));
                break;
            default:
                break;
            }
            one.send_request(class_index(random() % 2));
            one.advance_to(one.now + 0.05);
            if (random() % 3 != 0)
                one.finish_attempts();
        }
        one.finish_attempts();
        one.advance_to(one.now + 4);
        one.finish_attempts();
        one.advance_to(one.now + 1);
        CHECK(one.live.empty());
        for (const int each : one.answered)
            CHECK(each == 1);
        const auto now = one.subject->subset();
        CHECK(now.ready_endpoints ==
              static_cast<index>(std::ranges::count(one.state, endpoint_state::ready)));
        CHECK(now.selected_endpoints >= std::min<index>(6, now.ready_endpoints));
    }
}

} // namespace harrierpass::subsets
