// SPDX-License-Identifier: Apache-2.0
// Tests that request_guard refuses, counts and logs each step that would violate an invariant.
#include "support/stand.hpp"

#include "proxy/request/request_guard.hpp"

namespace harrierpass::proxy {
namespace {

constexpr double deadline = 10; // of every request in this file; Unix time in seconds

struct guarded_request {
    explicit guarded_request(effect_kind effect) {
        request_class settings;
        settings.effect = effect;
        settings.deduplication_window = 2;
        guard.emplace(monitor);
        guard->request_read("r1", settings, deadline);
    }
    std::uint64_t violations() const { return counts.value(counter::invariants_violated); }
    bool logged(invariant checked) const {
        return log_lines.str().find(name_of(checked)) != std::string::npos;
    }

    std::ostringstream log_lines;
    log logger{log_lines, log_level::error};
    counters counts;
    invariant_monitor monitor{counts, logger};
    std::optional<request_guard> guard;
};

} // namespace

TEST_CASE("request guard: a usual request violates no invariant") {
    guarded_request request(effect_kind::idempotent);
    CHECK(request.guard->may_start_attempt(1, 9));
    request.guard->attempt_finished(outcome::reset);
    CHECK(request.guard->may_start_attempt(2, 8));
    request.guard->attempt_finished(outcome::completed);
    CHECK(request.guard->may_respond());
    request.guard.reset();
    CHECK(request.violations() == 0);
}

TEST_CASE("request guard: a step that would violate an invariant is refused, counted and logged") {
    struct violation_case {
        invariant checked;
        effect_kind effect;
        std::function<bool(request_guard &)> step; // returns whether it was allowed
    };
    const auto time_out = [](request_guard &guard) {
        guard.may_start_attempt(1, 1);
        guard.attempt_finished(outcome::timed_out);
    };
    const violation_case violation_cases[] = {
        {invariant::one_response, effect_kind::idempotent,
         [](request_guard &guard) { return guard.may_respond() && guard.may_respond(); }},
        {invariant::attempt_before_response, effect_kind::idempotent,
         [](request_guard &guard) { return guard.may_respond() && guard.may_start_attempt(1, 1); }},
        {invariant::attempt_before_deadline, effect_kind::idempotent,
         [](request_guard &guard) { return guard.may_start_attempt(deadline + 0.01, 0); }},
        {invariant::attempt_for_client, effect_kind::idempotent,
         [](request_guard &guard) {
             guard.on_client_disconnected();
             return guard.may_start_attempt(1, 1);
         }},
        {invariant::one_attempt_at_a_time, effect_kind::idempotent,
         [](request_guard &guard) { return guard.may_start_attempt(1, 1) && guard.may_start_attempt(2, 1); }},
        {invariant::no_unsafe_retry, effect_kind::non_idempotent,
         [&](request_guard &guard) {
             time_out(guard);
             return guard.may_start_attempt(2, 1);
         }},
        {invariant::retry_in_window, effect_kind::deduplicated,
         [&](request_guard &guard) {
             time_out(guard);
             return guard.may_start_attempt(3.01, 1);
         }},
        {invariant::deadline_forwarded, effect_kind::idempotent,
         [](request_guard &guard) { return guard.may_start_attempt(1, deadline); }}};
    for (const auto &violating : violation_cases) {
        CAPTURE(name_of(violating.checked));
        guarded_request request(violating.effect);
        CHECK_FALSE(violating.step(*request.guard));
        CHECK(request.guard->step_was_refused());
        CHECK(request.violations() == 1);
        CHECK(request.logged(violating.checked));
    }
}

TEST_CASE("request guard: retries are allowed if not executed, or within the deduplication window") {
    guarded_request not_executed(effect_kind::non_idempotent);
    guarded_request deduplicated(effect_kind::deduplicated);
    CHECK(not_executed.guard->may_start_attempt(1, 1));
    not_executed.guard->attempt_finished(outcome::connect_error);
    CHECK_FALSE(not_executed.guard->possibly_executed());
    CHECK(not_executed.guard->may_start_attempt(2, 1));
    CHECK(deduplicated.guard->may_start_attempt(1, 1));
    deduplicated.guard->attempt_finished(outcome::reset);
    // The window starts with the first attempt that may have been executed.
    CHECK(deduplicated.guard->may_start_attempt(2.9, 1));
    CHECK(not_executed.violations() + deduplicated.violations() == 0);
}

TEST_CASE("request guard: a request without a response is a violation unless its client disconnected") {
    guarded_request without_response(effect_kind::idempotent);
    guarded_request client_disconnected(effect_kind::idempotent);
    without_response.guard.reset();
    CHECK(without_response.violations() == 1);
    CHECK(without_response.logged(invariant::response_before_close));
    client_disconnected.guard->on_client_disconnected();
    client_disconnected.guard.reset();
    CHECK(client_disconnected.violations() == 0);
}

} // namespace harrierpass::proxy
