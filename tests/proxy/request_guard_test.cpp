// SPDX-License-Identifier: Apache-2.0
// The guard of a request's life: every step that would break an invariant is refused, counted and named.
#include "support/stand.hpp"

#include "proxy/request/request_guard.hpp"

namespace harrierpass::proxy {
namespace {

constexpr double deadline = 10; // s, of every request here

struct guarded {
    explicit guarded(effect_kind effect) {
        request_class kind;
        kind.effect = effect;
        kind.deduplication_window = 2;
        guard.emplace(monitor);
        guard->request_read("r1", kind, deadline);
    }
    std::uint64_t violations() const { return count.of(counter::invariants_violated); }
    bool logged(invariant which) const { return lines.str().find(name_of(which)) != std::string::npos; }

    std::ostringstream lines;
    log to{lines, log_level::error};
    counters count;
    invariant_monitor monitor{count, to};
    std::optional<request_guard> guard;
};

} // namespace

TEST_CASE("guard: a request's usual life breaks nothing") {
    guarded one(effect_kind::idempotent);
    CHECK(one.guard->may_start_attempt(1, 9));
    one.guard->attempt_finished(outcome::reset);
    CHECK(one.guard->may_start_attempt(2, 8));
    one.guard->attempt_finished(outcome::completed);
    CHECK(one.guard->may_respond());
    one.guard.reset();
    CHECK(one.violations() == 0);
}

TEST_CASE("guard: what it refuses, counts and names") {
    struct breach {
        invariant which;
        effect_kind effect;
        std::function<bool(request_guard &)> step; // allowed
    };
    const auto ran = [](request_guard &of) {
        of.may_start_attempt(1, 1);
        of.attempt_finished(outcome::timed_out);
    };
    const breach breaches[] = {
        {invariant::one_response, effect_kind::idempotent,
         [](request_guard &of) { return of.may_respond() && of.may_respond(); }},
        {invariant::attempt_before_response, effect_kind::idempotent,
         [](request_guard &of) { return of.may_respond() && of.may_start_attempt(1, 1); }},
        {invariant::attempt_before_deadline, effect_kind::idempotent,
         [](request_guard &of) { return of.may_start_attempt(deadline + 0.01, 0); }},
        {invariant::attempt_for_client, effect_kind::idempotent,
         [](request_guard &of) {
             of.on_client_disconnected();
             return of.may_start_attempt(1, 1);
         }},
        {invariant::one_attempt_at_a_time, effect_kind::idempotent,
         [](request_guard &of) { return of.may_start_attempt(1, 1) && of.may_start_attempt(2, 1); }},
        {invariant::no_unsafe_retry, effect_kind::non_idempotent,
         [&](request_guard &of) {
             ran(of);
             return of.may_start_attempt(2, 1);
         }},
        {invariant::retry_in_window, effect_kind::deduplicated,
         [&](request_guard &of) {
             ran(of);
             return of.may_start_attempt(3.01, 1);
         }},
        {invariant::deadline_forwarded, effect_kind::idempotent,
         [](request_guard &of) { return of.may_start_attempt(1, deadline); }}};
    for (const auto &each : breaches) {
        CAPTURE(name_of(each.which));
        guarded one(each.effect);
        CHECK_FALSE(each.step(*one.guard));
        CHECK(one.guard->was_violated());
        CHECK(one.violations() == 1);
        CHECK(one.logged(each.which));
    }
}

TEST_CASE("guard: repeats that are allowed") {
    guarded never_ran(effect_kind::non_idempotent), keyed(effect_kind::deduplicated);
    CHECK(never_ran.guard->may_start_attempt(1, 1));
    never_ran.guard->attempt_finished(outcome::connect_error);
    CHECK_FALSE(never_ran.guard->possibly_executed());
    CHECK(never_ran.guard->may_start_attempt(2, 1));
    CHECK(keyed.guard->may_start_attempt(1, 1));
    keyed.guard->attempt_finished(outcome::reset);
    CHECK(keyed.guard->may_start_attempt(2.9, 1)); // the window counts from the first that may have run
    CHECK(never_ran.violations() + keyed.violations() == 0);
}

TEST_CASE("guard: a request that is read owes an answer unless its client left") {
    guarded forgotten(effect_kind::idempotent), left(effect_kind::idempotent);
    forgotten.guard.reset();
    CHECK(forgotten.violations() == 1);
    CHECK(forgotten.logged(invariant::response_before_close));
    left.guard->on_client_disconnected();
    left.guard.reset();
    CHECK(left.violations() == 0);
}

} // namespace harrierpass::proxy
