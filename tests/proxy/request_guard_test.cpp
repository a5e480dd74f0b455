// SPDX-License-Identifier: Apache-2.0
// The guard of a request's life: every step that would break an invariant is refused, counted and named.
#include "support/stand.hpp"

#include "proxy/request/request_guard.hpp"

namespace harrierpass::proxy {
namespace {

constexpr double deadline = 10; // Unix time, s, of every request here

struct guarded_request {
    explicit guarded_request(effect_kind effect) {
        request_class kind;
        kind.effect = effect;
        kind.deduplication_window = 2;
        guard.emplace(monitor);
        guard->request_read("r1", kind, deadline);
    }
    std::uint64_t violations() const { return count.value(counter::invariants_violated); }
    bool logged(invariant which) const { return log_lines.str().find(name_of(which)) != std::string::npos; }

    std::ostringstream log_lines;
    log logger{log_lines, log_level::error};
    counters count;
    invariant_monitor monitor{count, logger};
    std::optional<request_guard> guard;
};

} // namespace

TEST_CASE("guard: a request's usual life breaks nothing") {
    guarded_request request(effect_kind::idempotent);
    CHECK(request.guard->may_start_attempt(1, 9));
    request.guard->attempt_finished(outcome::reset);
    CHECK(request.guard->may_start_attempt(2, 8));
    request.guard->attempt_finished(outcome::completed);
    CHECK(request.guard->may_respond());
    request.guard.reset();
    CHECK(request.violations() == 0);
}

TEST_CASE("guard: what it refuses, counts and names") {
    struct breach {
        invariant which;
        effect_kind effect;
        std::function<bool(request_guard &)> step; // whether it was allowed
    };
    const auto time_out = [](request_guard &guard) {
        guard.may_start_attempt(1, 1);
        guard.attempt_finished(outcome::timed_out);
    };
    const breach breaches[] = {
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
    for (const auto &each : breaches) {
        CAPTURE(name_of(each.which));
        guarded_request request(each.effect);
        CHECK_FALSE(each.step(*request.guard));
        CHECK(request.guard->was_violated());
        CHECK(request.violations() == 1);
        CHECK(request.logged(each.which));
    }
}

TEST_CASE("guard: repeats that are allowed") {
    guarded_request not_executed(effect_kind::non_idempotent);
    guarded_request deduplicated(effect_kind::deduplicated);
    CHECK(not_executed.guard->may_start_attempt(1, 1));
    not_executed.guard->attempt_finished(outcome::connect_error);
    CHECK_FALSE(not_executed.guard->possibly_executed());
    CHECK(not_executed.guard->may_start_attempt(2, 1));
    CHECK(deduplicated.guard->may_start_attempt(1, 1));
    deduplicated.guard->attempt_finished(outcome::reset);
    // The window counts from the first attempt that may have been executed.
    CHECK(deduplicated.guard->may_start_attempt(2.9, 1));
    CHECK(not_executed.violations() + deduplicated.violations() == 0);
}

TEST_CASE("guard: a request that is read owes an answer unless its client left") {
    guarded_request forgotten(effect_kind::idempotent);
    guarded_request left(effect_kind::idempotent);
    forgotten.guard.reset();
    CHECK(forgotten.violations() == 1);
    CHECK(forgotten.logged(invariant::response_before_close));
    left.guard->on_client_disconnected();
    left.guard.reset();
    CHECK(left.violations() == 0);
}

} // namespace harrierpass::proxy
