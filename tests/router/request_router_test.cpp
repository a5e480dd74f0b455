// SPDX-License-Identifier: Apache-2.0
#include "router/request_router.hpp"
#include "support/index_literals.hpp"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <vector>

namespace harrierpass {
namespace {

router_settings make_settings(effect_kind effect) {
    router_settings settings;
    settings.request_classes.push_back({effect, deduplication_scope::all, 5, 1, 1, 0});
    settings.constraints.max_attempts = 2;
    settings.constraints.max_retry_after = 3;
    return settings;
}

// Returns the kinds of the pending actions and clears the actions.
std::vector<action_kind> take_actions(request_router &router) {
    std::vector<action_kind> kinds;
    for (const auto &action : router.actions)
        kinds.push_back(action.kind);
    router.actions.clear();
    return kinds;
}

void list_two_endpoints(request_router &router) {
    const std::array<endpoint_info, 2> endpoints = {{{0_endpoint, "a"}, {1_endpoint, "b"}}};
    router.on_endpoints_updated(0, endpoint_update_kind::snapshot, endpoints);
    router.actions.clear();
}

using kinds = std::vector<action_kind>;
using enum action_kind;

} // namespace

TEST_CASE("request router: a completed request is released and its index can be reused") {
    request_router router(make_settings(effect_kind::idempotent), 1, 0);
    CHECK(take_actions(router) == kinds{set_timer});
    list_two_endpoints(router);
    for (int round = 0; round < 2; ++round) {
        router.on_request(1, {0_request, 0_class, 0_tenant, true, false, 7, 10});
        CHECK(take_actions(router) == kinds{start_attempt});
        router.on_attempt_finished(1.1, 0_request, 0_attempt, outcome::completed, true, false, {});
        CHECK(take_actions(router) == kinds{release_request});
        // A second report of the same attempt is ignored.
        router.on_attempt_finished(1.1, 0_request, 0_attempt, outcome::completed, true, false, {});
        CHECK(take_actions(router).empty());
    }
}

TEST_CASE("request router: a possibly executed request is retried at another endpoint only if idempotent") {
    request_router idempotent_router(make_settings(effect_kind::idempotent), 1, 0);
    list_two_endpoints(idempotent_router);
    idempotent_router.on_request(1, {0_request, 0_class, 0_tenant, true, false, 7, 10});
    const auto first_endpoint = idempotent_router.actions.back().endpoint;
    idempotent_router.actions.clear();
    idempotent_router.on_attempt_finished(1.1, 0_request, 0_attempt, outcome::reset, false, false, {});
    CHECK(idempotent_router.actions.back().endpoint == endpoint_index(1 - first_endpoint.value()));
    CHECK(take_actions(idempotent_router) == kinds{start_attempt});
    idempotent_router.on_attempt_finished(1.2, 0_request, 1_attempt, outcome::reset, false, false, {});
    CHECK(take_actions(idempotent_router) == kinds{reject_request, release_request});

    request_router non_idempotent_router(make_settings(effect_kind::non_idempotent), 1, 0);
    list_two_endpoints(non_idempotent_router);
    non_idempotent_router.on_request(1, {0_request, 0_class, 0_tenant, true, false, 7, 10});
    non_idempotent_router.actions.clear();
    non_idempotent_router.on_attempt_finished(1.1, 0_request, 0_attempt, outcome::reset, false, false, {});
    CHECK(take_actions(non_idempotent_router) == kinds{fail_request, release_request});
}

TEST_CASE("request router: without endpoints a request is rejected at its queue deadline") {
    request_router router(make_settings(effect_kind::idempotent), 1, 0);
    router.actions.clear();
    router.on_request(1, {0_request, 0_class, 0_tenant, true, false, 7, 10});
    CHECK(take_actions(router).empty());
    router.on_timer(1.2);
    CHECK(take_actions(router) == kinds{set_timer});
    router.on_timer(1.3); // a quarter of the latency objective has passed
    CHECK(take_actions(router) == kinds{set_timer, reject_request, release_request});
}

TEST_CASE("request router: a queued request is dispatched when an endpoint is listed") {
    request_router router(make_settings(effect_kind::idempotent), 1, 0);
    router.actions.clear();
    router.on_request(1, {0_request, 0_class, 0_tenant, true, false, 7, 10});
    const std::array<endpoint_info, 1> endpoints = {{{0_endpoint, "a"}}};
    router.on_endpoints_updated(1.1, endpoint_update_kind::snapshot, endpoints);
    CHECK(take_actions(router) == kinds{start_attempt});
}

TEST_CASE("request router: a request is released after its last attempt has ended") {
    request_router router(make_settings(effect_kind::idempotent), 1, 0);
    list_two_endpoints(router);
    router.on_request(1, {0_request, 0_class, 0_tenant, true, false, 7, 10});
    router.actions.clear();
    router.on_client_disconnected(1.1, 0_request);
    CHECK(take_actions(router).empty());
    router.on_attempt_finished(1.2, 0_request, 0_attempt, outcome::canceled, false, false, {});
    CHECK(take_actions(router) == kinds{release_request});
}

// Guards against a sound response being cut off because its endpoint seems silent after the head (report
// 33b532).
TEST_CASE("request router: an attempt whose response has begun is not canceled for silence") {
    for (const bool has_begun : {false, true}) {
        auto settings = make_settings(effect_kind::idempotent);
        settings.constraints.may_cancel = true;
        request_router router(settings, 1, 0);
        list_two_endpoints(router);
        router.on_request(1, {0_request, 0_class, 0_tenant, true, false, 7, 100});
        if (has_begun)
            router.on_response_paused(1.1, 0_request);
        router.actions.clear();
        bool was_canceled = false;
        for (double now = 1; now < 50; now += 0.05) {
            router.on_timer(now);
            const auto taken = take_actions(router);
            was_canceled = was_canceled || std::ranges::count(taken, cancel_attempt) > 0;
        }
        CHECK(was_canceled != has_begun);
    }
}

TEST_CASE(
    "request router: a request may be retried if its class, its attempts and another endpoint allow it") {
    for (const effect_kind effect :
         {effect_kind::idempotent, effect_kind::deduplicated, effect_kind::non_idempotent}) {
        request_router router(make_settings(effect), 1, 0);
        list_two_endpoints(router);
        router.on_request(1, {0_request, 0_class, 0_tenant, true, false, 7, 100});
        CHECK(router.may_retry(1.1, 0_request) == (effect != effect_kind::non_idempotent));
        // The deduplication window ends after 5 s.
        CHECK(router.may_retry(7, 0_request) == (effect == effect_kind::idempotent));
        CHECK_FALSE(router.may_retry(200, 0_request)); // after its deadline
    }
    request_router router(make_settings(effect_kind::idempotent), 1, 0);
    list_two_endpoints(router);
    router.on_request(1, {0_request, 0_class, 0_tenant, true, false, 7, 100});
    const auto other = endpoint_index(1 - router.actions.back().endpoint.value());
    const std::array<endpoint_info, 1> draining = {
        {{.endpoint = other, .id = "x", .state = endpoint_state::draining}}};
    router.on_endpoints_updated(1.1, endpoint_update_kind::delta, draining);
    CHECK_FALSE(router.may_retry(1.2, 0_request)); // no other endpoint
}

TEST_CASE("request router: an attempt may be written only while its endpoint is listed") {
    request_router router(make_settings(effect_kind::idempotent), 1, 0);
    list_two_endpoints(router);
    router.on_request(1, {0_request, 0_class, 0_tenant, true, false, 7, 10});
    CHECK(router.attempt_write_deadline(0_request) > 1e9);
    router.on_endpoints_updated(1.1, endpoint_update_kind::snapshot, {});
    CHECK(router.attempt_write_deadline(0_request) == 0);
}

} // namespace harrierpass
