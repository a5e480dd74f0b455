// SPDX-License-Identifier: Apache-2.0
// The guard of a request's life: every step that would break an invariant is refused, counted and named.
#include "stand.hpp"

#include "proxy/request_guard.hpp"

namespace harrierpass::proxy {
namespace {

constexpr double deadline = 10; // s, of every request here

struct guarded {
    explicit guarded(effect_kind effect) {
        use_case kind;
        kind.effect = effect;
        kind.window = 2;
        guard.emplace(monitor);
        guard->read("r1", kind, deadline);
    }
    std::uint64_t violations() const { return count.of(count::invariants_violated); }
    bool logged(invariant which) const { return lines.str().find(name_of(which)) != std::string::npos; }

    std::ostringstream lines;
    log to{lines, level::error};
    counters count;
    invariant_monitor monitor{count, to};
    std::optional<request_guard> guard;
};

} // namespace

TEST_CASE("guard: a request's usual life breaks nothing") {
    guarded one(effect_kind::idempotent);
    CHECK(one.guard->may_send(1, 9));
    one.guard->attempt_over(outcome::reset);
    CHECK(one.guard->may_send(2, 8));
    one.guard->attempt_over(outcome::completed);
    CHECK(one.guard->may_answer());
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
        of.may_send(1, 1);
        of.attempt_over(outcome::timed_out);
    };
    const breach breaches[] = {{invariant::one_answer, effect_kind::idempotent,
                                [](request_guard &of) { return of.may_answer() && of.may_answer(); }},
                               {invariant::send_before_answer, effect_kind::idempotent,
                                [](request_guard &of) { return of.may_answer() && of.may_send(1, 1); }},
                               {invariant::send_before_deadline, effect_kind::idempotent,
                                [](request_guard &of) { return of.may_send(deadline + 0.01, 0); }},
                               {invariant::send_for_client, effect_kind::idempotent,
                                [](request_guard &of) {
                                    of.client_left();
                                    return of.may_send(1, 1);
                                }},
                               {invariant::one_attempt_at_a_time, effect_kind::idempotent,
                                [](request_guard &of) { return of.may_send(1, 1) && of.may_send(2, 1); }},
                               {invariant::no_unsafe_repeat, effect_kind::non_idempotent,
                                [&](request_guard &of) {
                                    ran(of);
                                    return of.may_send(2, 1);
                                }},
                               {invariant::repeat_in_window, effect_kind::deduplicated,
                                [&](request_guard &of) {
                                    ran(of);
                                    return of.may_send(3.01, 1);
                                }},
                               {invariant::deadline_told, effect_kind::idempotent,
                                [](request_guard &of) { return of.may_send(1, deadline); }}};
    for (const auto &each : breaches) {
        CAPTURE(name_of(each.which));
        guarded one(each.effect);
        CHECK_FALSE(each.step(*one.guard));
        CHECK(one.guard->refused());
        CHECK(one.violations() == 1);
        CHECK(one.logged(each.which));
    }
}

TEST_CASE("guard: repeats that are allowed") {
    guarded never_ran(effect_kind::non_idempotent), keyed(effect_kind::deduplicated);
    CHECK(never_ran.guard->may_send(1, 1));
    never_ran.guard->attempt_over(outcome::connect_error);
    CHECK_FALSE(never_ran.guard->may_have_run());
    CHECK(never_ran.guard->may_send(2, 1));
    CHECK(keyed.guard->may_send(1, 1));
    keyed.guard->attempt_over(outcome::reset);
    CHECK(keyed.guard->may_send(2.9, 1)); // the window counts from the first that may have run
    CHECK(never_ran.violations() + keyed.violations() == 0);
}

TEST_CASE("guard: a request that is read owes an answer unless its client left") {
    guarded forgotten(effect_kind::idempotent), left(effect_kind::idempotent);
    forgotten.guard.reset();
    CHECK(forgotten.violations() == 1);
    CHECK(forgotten.logged(invariant::answered_before_close));
    left.guard->client_left();
    left.guard.reset();
    CHECK(left.violations() == 0);
}

} // namespace harrierpass::proxy
