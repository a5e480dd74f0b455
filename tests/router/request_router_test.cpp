// SPDX-License-Identifier: Apache-2.0
#include "router/request_router.hpp"
#include "support/index_literals.hpp"

#include <array>
#include <doctest/doctest.h>
#include <vector>

namespace harrierpass {
namespace {

router_settings settings(effect_kind effect) {
    router_settings made;
    made.request_classes.push_back({effect, deduplication_scope::all, 5, 1, 1, 0});
    made.constraints.max_attempts = 2;
    made.constraints.max_retry_after = 3;
    return made;
}

std::vector<action_kind> taken(request_router &route) {
    std::vector<action_kind> kinds;
    for (const auto &each : route.actions)
        kinds.push_back(each.kind);
    route.actions.clear();
    return kinds;
}

void list_two(request_router &route) {
    const std::array<endpoint_info, 2> both = {{{0_endpoint, "a"}, {1_endpoint, "b"}}};
    route.on_endpoints_updated(0, endpoint_update_kind::snapshot, both);
    route.actions.clear();
}

using kinds = std::vector<action_kind>;
using enum action_kind;

} // namespace

TEST_CASE("request router: a completed request is released, and its index may be used again") {
    request_router route(settings(effect_kind::idempotent), 1, 0);
    CHECK(taken(route) == kinds{set_timer});
    list_two(route);
    for (int round = 0; round < 2; ++round) {
        route.on_request(1, {0_request, 0_class, 0_tenant, true, false, 7, 10});
        CHECK(taken(route) == kinds{start_attempt});
        route.on_attempt_finished(1.1, 0_request, 0_attempt, outcome::completed, true, false, {});
        CHECK(taken(route) == kinds{release_request});
        // Reported twice.
        route.on_attempt_finished(1.1, 0_request, 0_attempt, outcome::completed, true, false, {});
        CHECK(taken(route).empty());
    }
}

TEST_CASE("request router: a possibly executed request is retried at the other endpoint, or rejected") {
    request_router retried(settings(effect_kind::idempotent), 1, 0);
    list_two(retried);
    retried.on_request(1, {0_request, 0_class, 0_tenant, true, false, 7, 10});
    const auto first = retried.actions.back().endpoint;
    retried.actions.clear();
    retried.on_attempt_finished(1.1, 0_request, 0_attempt, outcome::reset, false, false, {});
    CHECK(retried.actions.back().endpoint == endpoint_index(1 - first.value()));
    CHECK(taken(retried) == kinds{start_attempt});
    retried.on_attempt_finished(1.2, 0_request, 1_attempt, outcome::reset, false, false, {});
    CHECK(taken(retried) == kinds{reject_request, release_request});

    request_router once(settings(effect_kind::non_idempotent), 1, 0);
    list_two(once);
    once.on_request(1, {0_request, 0_class, 0_tenant, true, false, 7, 10});
    once.actions.clear();
    once.on_attempt_finished(1.1, 0_request, 0_attempt, outcome::reset, false, false, {});
    CHECK(taken(once) == kinds{fail_request, release_request});
}

TEST_CASE("request router: without endpoints a request waits until its queue deadline") {
    request_router route(settings(effect_kind::idempotent), 1, 0);
    route.actions.clear();
    route.on_request(1, {0_request, 0_class, 0_tenant, true, false, 7, 10});
    CHECK(taken(route).empty());
    route.on_timer(1.2);
    CHECK(taken(route) == kinds{set_timer});
    route.on_timer(1.3); // a quarter of the latency objective has passed
    CHECK(taken(route) == kinds{set_timer, reject_request, release_request});
}

TEST_CASE("request router: a queued request is dispatched when endpoints are listed") {
    request_router route(settings(effect_kind::idempotent), 1, 0);
    route.actions.clear();
    route.on_request(1, {0_request, 0_class, 0_tenant, true, false, 7, 10});
    const std::array<endpoint_info, 1> one = {{{0_endpoint, "a"}}};
    route.on_endpoints_updated(1.1, endpoint_update_kind::snapshot, one);
    CHECK(taken(route) == kinds{start_attempt});
}

TEST_CASE("request router: a request is released only after its attempts have ended") {
    request_router route(settings(effect_kind::idempotent), 1, 0);
    list_two(route);
    route.on_request(1, {0_request, 0_class, 0_tenant, true, false, 7, 10});
    route.actions.clear();
    route.on_client_disconnected(1.1, 0_request);
    CHECK(taken(route).empty());
    route.on_attempt_finished(1.2, 0_request, 0_attempt, outcome::canceled, false, false, {});
    CHECK(taken(route) == kinds{release_request});
}

TEST_CASE("request router: an attempt may be written while its request and its endpoint stand") {
    request_router route(settings(effect_kind::idempotent), 1, 0);
    list_two(route);
    route.on_request(1, {0_request, 0_class, 0_tenant, true, false, 7, 10});
    CHECK(route.attempt_write_deadline(0_request) > 1e9);
    route.on_endpoints_updated(1.1, endpoint_update_kind::snapshot, {});
    CHECK(route.attempt_write_deadline(0_request) == 0);
}

} // namespace harrierpass
