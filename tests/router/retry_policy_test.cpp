// SPDX-License-Identifier: Apache-2.0
#include "router/retry_policy.hpp"
#include "support/index_literals.hpp"

#include <cmath>
#include <doctest/doctest.h>

namespace harrierpass {
namespace {

constexpr double deadline_margin = 0.5; // seconds

retry_policy make_policy(index max_attempts = 3) {
    deployment_constraints constraints;
    constraints.max_attempts = max_attempts;
    constraints.may_cancel = true;
    constraints.max_retry_after = 4;
    retry_policy policy;
    policy.configure(constraints, deadline_margin);
    return policy;
}

// Endpoints 0 and 1 share a cell, endpoint 2 is in another cell of the same zone, endpoint 3 in another zone.
endpoint_table make_endpoints() {
    endpoint_table table;
    table.find_or_create(3_endpoint);
    for (endpoint_index endpoint{0}; endpoint < 4_endpoint; ++endpoint) {
        table[endpoint].info.zone = endpoint == 3_endpoint ? 1_zone : 0_zone;
        table[endpoint].info.cell = endpoint < 2_endpoint ? 0_cell : cell_index(endpoint.value());
    }
    return table;
}

// A request whose only attempt started at endpoint 0 at 10 seconds and ended with `result`.
request_record make_attempted_request(effect_kind effect, deduplication_scope scope, outcome result) {
    request_record request;
    request.class_settings.effect = effect;
    request.class_settings.scope = scope;
    request.class_settings.deduplication_window = 5;
    request.deadline = 100;
    request.attempts.push_back({0_endpoint, 10});
    request.attempts.back().is_open = false;
    request.attempts.back().result = result;
    return request;
}

} // namespace

TEST_CASE("retry policy: idempotent and unexecuted requests may be retried at any endpoint at any time") {
    const auto policy = make_policy();
    const auto table = make_endpoints();
    const auto idempotent =
        make_attempted_request(effect_kind::idempotent, deduplication_scope::cell, outcome::reset);
    CHECK(std::isinf(policy.dispatch_deadline(idempotent, 1, table, 3_endpoint)));
    CHECK(std::isinf(policy.client_retry_deadline(idempotent)));
    for (const auto result : {outcome::connect_error, outcome::overloaded, outcome::discarded_unread}) {
        const auto request =
            make_attempted_request(effect_kind::non_idempotent, deduplication_scope::cell, result);
        CHECK(std::isinf(policy.dispatch_deadline(request, 1, table, 3_endpoint)));
        CHECK(std::isinf(policy.client_retry_deadline(request)));
    }
}

TEST_CASE("retry policy: a possibly executed non-idempotent request is never retried") {
    const auto policy = make_policy();
    auto request =
        make_attempted_request(effect_kind::non_idempotent, deduplication_scope::all, outcome::reset);
    CHECK(policy.dispatch_deadline(request, 1, make_endpoints(), 0_endpoint) == 0);
    CHECK(policy.client_retry_deadline(request) == 0);
    CHECK(!retry_policy::allows_retry(request));
    CHECK(!policy.allows_cancel(request, 20));
    request.attempts.back().result = outcome::overloaded;
    request.attempts.back().is_open = true; // it may still be executed
    CHECK(policy.dispatch_deadline(request, 1, make_endpoints(), 0_endpoint) == 0);
    CHECK(std::isinf(policy.dispatch_deadline(request, 0, make_endpoints(), 0_endpoint)));
}

TEST_CASE("retry policy: a deduplicated request may be retried within its scope and window") {
    const auto policy = make_policy();
    const auto table = make_endpoints();
    const double window_end = 10 + 5 - deadline_margin;
    const auto cell_scoped =
        make_attempted_request(effect_kind::deduplicated, deduplication_scope::cell, outcome::reset);
    CHECK(policy.dispatch_deadline(cell_scoped, 1, table, 1_endpoint) == window_end);
    CHECK(policy.dispatch_deadline(cell_scoped, 1, table, 2_endpoint) == 0);
    CHECK(policy.client_retry_deadline(cell_scoped) == 0);
    const auto zone_scoped =
        make_attempted_request(effect_kind::deduplicated, deduplication_scope::zone, outcome::reset);
    CHECK(policy.dispatch_deadline(zone_scoped, 1, table, 2_endpoint) == window_end);
    CHECK(policy.dispatch_deadline(zone_scoped, 1, table, 3_endpoint) == 0);
    CHECK(policy.client_retry_deadline(zone_scoped) == 0);
    const auto unscoped =
        make_attempted_request(effect_kind::deduplicated, deduplication_scope::all, outcome::reset);
    CHECK(policy.dispatch_deadline(unscoped, 1, table, 3_endpoint) == window_end);
    CHECK(policy.client_retry_deadline(unscoped) == window_end);
}

TEST_CASE("retry policy: the window starts with the first possibly executed attempt") {
    const auto policy = make_policy();
    auto request =
        make_attempted_request(effect_kind::deduplicated, deduplication_scope::all, outcome::overloaded);
    request.attempts.push_back({1_endpoint, 12});
    request.attempts.push_back({2_endpoint, 14});
    CHECK(policy.dispatch_deadline(request, 3, make_endpoints(), 3_endpoint) == 12 + 5 - deadline_margin);
}

TEST_CASE("retry policy: writes at the origin are retried, reads from it are not") {
    auto request = make_attempted_request(effect_kind::idempotent, deduplication_scope::all, outcome::reset);
    CHECK(retry_policy::allows_retry(request));
    request.uses_origin = true;
    CHECK(!retry_policy::allows_retry(request));
    request.is_write = true;
    CHECK(retry_policy::allows_retry(request));
}

TEST_CASE("retry policy: the number of attempts and the deadline limit retries") {
    const auto policy = make_policy(2);
    auto request = make_attempted_request(effect_kind::idempotent, deduplication_scope::all, outcome::reset);
    CHECK(!policy.is_exhausted(request, 99));
    CHECK(policy.is_exhausted(request, 100));
    CHECK(policy.allows_cancel(request, 99));
    CHECK(policy.is_last_retry(request));
    CHECK(!policy.has_attempts_for_fetch(request));
    CHECK(make_policy(3).has_attempts_for_fetch(request));
    CHECK(!make_policy(1).is_last_retry(request_record{}));
    request.attempts.push_back({1_endpoint, 11});
    CHECK(policy.is_exhausted(request, 99));
    CHECK(!policy.allows_cancel(request, 99));
}

TEST_CASE("retry policy: the advised wait is half of the remaining time, within its bounds") {
    const auto policy = make_policy();
    CHECK(policy.advised_wait(-1) == 0);
    CHECK(policy.advised_wait(3) == 1.5);
    CHECK(policy.advised_wait(100) == 4);
}

TEST_CASE("retry budget: grows by a fifth of a retry per request, up to ten retries") {
    retry_budget budget;
    for (int i = 0; i < 10; ++i) {
        CHECK(budget.is_available());
        budget.withdraw();
    }
    CHECK(!budget.is_available());
    for (int i = 0; i < 6; ++i)
        budget.deposit();
    CHECK(budget.is_available());
    budget.withdraw();
    CHECK(!budget.is_available());
    for (int i = 0; i < 1000; ++i)
        budget.deposit();
    int retries = 0;
    for (; budget.is_available(); ++retries)
        budget.withdraw();
    CHECK(retries == 10);
}

} // namespace harrierpass
