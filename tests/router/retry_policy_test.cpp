// SPDX-License-Identifier: Apache-2.0
#include "router/retry_policy.hpp"
#include "support/index_literals.hpp"

#include <cmath>
#include <doctest/doctest.h>

namespace harrierpass {
namespace {

constexpr double margin = 0.5;

retry_policy configured(index max_attempts = 3) {
    deployment_constraints constraints;
    constraints.max_attempts = max_attempts;
    constraints.may_cancel = true;
    constraints.max_retry_after = 4;
    retry_policy made;
    made.configure(constraints, margin);
    return made;
}

// Endpoints 0 and 1 in one cell, 2 in another one of their zone, 3 in another zone.
endpoint_table endpoints() {
    endpoint_table made;
    made.find_or_create(3_endpoint);
    for (endpoint_index endpoint{0}; endpoint < 4_endpoint; ++endpoint) {
        made[endpoint].info.zone = endpoint == 3_endpoint ? 1_zone : 0_zone;
        made[endpoint].info.cell = endpoint < 2_endpoint ? 0_cell : cell_index(endpoint.value());
    }
    return made;
}

// A request that was sent to endpoint 0 at 10 s.
request_record sent(effect_kind effect, deduplication_scope scope, outcome result) {
    request_record made;
    made.class_settings.effect = effect;
    made.class_settings.scope = scope;
    made.class_settings.deduplication_window = 5;
    made.deadline = 100;
    made.attempts.push_back({0_endpoint, 10});
    made.attempts.back().is_open = false;
    made.attempts.back().result = result;
    return made;
}

} // namespace

TEST_CASE("retry policy: an idempotent request, and one that was not executed, may go anywhere at any time") {
    const auto policy = configured();
    const auto table = endpoints();
    const auto harmless = sent(effect_kind::idempotent, deduplication_scope::cell, outcome::reset);
    CHECK(std::isinf(policy.dispatch_deadline(harmless, 1, table, 3_endpoint)));
    CHECK(std::isinf(policy.client_retry_deadline(harmless)));
    for (const auto result : {outcome::connect_error, outcome::overloaded, outcome::discarded_unread}) {
        const auto request = sent(effect_kind::non_idempotent, deduplication_scope::cell, result);
        CHECK(std::isinf(policy.dispatch_deadline(request, 1, table, 3_endpoint)));
        CHECK(std::isinf(policy.client_retry_deadline(request)));
    }
}

TEST_CASE("retry policy: a non-idempotent request that was possibly executed is never sent again") {
    const auto policy = configured();
    auto request = sent(effect_kind::non_idempotent, deduplication_scope::all, outcome::reset);
    CHECK(policy.dispatch_deadline(request, 1, endpoints(), 0_endpoint) == 0);
    CHECK(policy.client_retry_deadline(request) == 0);
    CHECK(!retry_policy::allows_retry(request));
    CHECK(!policy.allows_cancel(request, 20));
    request.attempts.back().result = outcome::overloaded;
    request.attempts.back().is_open = true; // it may yet be executed
    CHECK(policy.dispatch_deadline(request, 1, endpoints(), 0_endpoint) == 0);
    CHECK(std::isinf(policy.dispatch_deadline(request, 0, endpoints(), 0_endpoint)));
}

TEST_CASE("retry policy: a deduplicated request may be sent again within its scope and window") {
    const auto policy = configured();
    const auto table = endpoints();
    const double end = 10 + 5 - margin;
    const auto in_cell = sent(effect_kind::deduplicated, deduplication_scope::cell, outcome::reset);
    CHECK(policy.dispatch_deadline(in_cell, 1, table, 1_endpoint) == end);
    CHECK(policy.dispatch_deadline(in_cell, 1, table, 2_endpoint) == 0);
    CHECK(policy.client_retry_deadline(in_cell) == 0);
    const auto in_zone = sent(effect_kind::deduplicated, deduplication_scope::zone, outcome::reset);
    CHECK(policy.dispatch_deadline(in_zone, 1, table, 2_endpoint) == end);
    CHECK(policy.dispatch_deadline(in_zone, 1, table, 3_endpoint) == 0);
    CHECK(policy.client_retry_deadline(in_zone) == 0);
    const auto anywhere = sent(effect_kind::deduplicated, deduplication_scope::all, outcome::reset);
    CHECK(policy.dispatch_deadline(anywhere, 1, table, 3_endpoint) == end);
    CHECK(policy.client_retry_deadline(anywhere) == end);
}

TEST_CASE("retry policy: the window starts with the first attempt that was possibly executed") {
    const auto policy = configured();
    auto request = sent(effect_kind::deduplicated, deduplication_scope::all, outcome::overloaded);
    request.attempts.push_back({1_endpoint, 12});
    request.attempts.push_back({2_endpoint, 14});
    CHECK(policy.dispatch_deadline(request, 3, endpoints(), 3_endpoint) == 12 + 5 - margin);
}

TEST_CASE("retry policy: reads from the origin are not retried, writes are") {
    auto request = sent(effect_kind::idempotent, deduplication_scope::all, outcome::reset);
    CHECK(retry_policy::allows_retry(request));
    request.uses_origin = true;
    CHECK(!retry_policy::allows_retry(request));
    request.is_write = true;
    CHECK(retry_policy::allows_retry(request));
}

TEST_CASE("retry policy: attempts and time are limited") {
    const auto policy = configured(2);
    auto request = sent(effect_kind::idempotent, deduplication_scope::all, outcome::reset);
    CHECK(!policy.is_exhausted(request, 99));
    CHECK(policy.is_exhausted(request, 100));
    CHECK(policy.allows_cancel(request, 99));
    CHECK(policy.is_last_retry(request));
    CHECK(!policy.has_attempts_for_fetch(request));
    CHECK(configured(3).has_attempts_for_fetch(request));
    CHECK(!configured(1).is_last_retry(request_record{}));
    request.attempts.push_back({1_endpoint, 11});
    CHECK(policy.is_exhausted(request, 99));
    CHECK(!policy.allows_cancel(request, 99));
}

TEST_CASE("retry policy: the advised wait is half of the time left, within its bounds") {
    const auto policy = configured();
    CHECK(policy.advised_wait(-1) == 0);
    CHECK(policy.advised_wait(3) == 1.5);
    CHECK(policy.advised_wait(100) == 4);
}

TEST_CASE("retry budget: a fifth of the requests, saved up to ten retries") {
    retry_budget budget;
    for (int i = 0; i < 10; ++i) {
        CHECK(budget.is_available());
        budget.spend();
    }
    CHECK(!budget.is_available());
    for (int i = 0; i < 6; ++i)
        budget.earn();
    CHECK(budget.is_available());
    budget.spend();
    CHECK(!budget.is_available());
    for (int i = 0; i < 1000; ++i)
        budget.earn();
    int saved = 0;
    for (; budget.is_available(); ++saved)
        budget.spend();
    CHECK(saved == 10);
}

} // namespace harrierpass
