// SPDX-License-Identifier: Apache-2.0
#include "proxy/request_guard.hpp"

#include <array>

namespace harrierpass::proxy {
namespace {

constexpr double deadline_slack = 0.15; // s; the protocol's, for the deadline that a server is told

constexpr std::array<const char *, 10> names = {"answered_before_close", "one_answer",
                                                "send_before_answer",    "send_before_deadline",
                                                "send_for_client",       "one_attempt_at_a_time",
                                                "no_unsafe_repeat",      "repeat_in_window",
                                                "deadline_told",         "nothing_left_at_end"};

} // namespace

const char *name_of(invariant which) {
    return names[static_cast<std::size_t>(which)];
}

void invariant_monitor::violated(invariant which, std::string_view request_id) {
    counters_.add(count::invariants_violated);
    log_.error("invariant-violated name=", name_of(which), " id=", request_id);
}

request_guard::~request_guard() {
    if (owes_answer())
        monitor_.violated(invariant::answered_before_close, id_);
}

void request_guard::read(std::string_view id, const use_case &kind, double deadline) {
    id_ = id;
    kind_ = kind;
    deadline_ = deadline;
    read_ = true;
}

bool request_guard::holds(bool condition, invariant which) {
    if (condition)
        return true;
    refused_ = true;
    monitor_.violated(which, id_);
    return false;
}

bool request_guard::may_send(double now, double told) {
    const bool unsafe = kind_.effect == effect_kind::non_idempotent;
    const bool keyed = kind_.effect == effect_kind::deduplicated;
    const bool may =
        holds(!answered_, invariant::send_before_answer) &&
        holds(!client_left_, invariant::send_for_client) &&
        holds(now < deadline_, invariant::send_before_deadline) &&
        holds(told <= deadline_ - now + deadline_slack, invariant::deadline_told) &&
        holds(!attempt_out_, invariant::one_attempt_at_a_time) &&
        holds(!(unsafe && may_have_run_), invariant::no_unsafe_repeat) &&
        holds(!(keyed && may_have_run_) || now < first_sent_ + kind_.window, invariant::repeat_in_window);
    if (may) {
        attempt_out_ = true;
        last_sent_ = now;
    }
    return may;
}

void request_guard::attempt_over(outcome result) {
    if (!attempt_out_)
        return;
    attempt_out_ = false;
    if (never_ran(result))
        return;
    if (!may_have_run_)
        first_sent_ = last_sent_;
    may_have_run_ = true;
}

bool request_guard::may_answer() {
    if (!holds(!answered_, invariant::one_answer))
        return false;
    answered_ = true;
    return true;
}

} // namespace harrierpass::proxy
