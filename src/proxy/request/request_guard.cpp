// SPDX-License-Identifier: Apache-2.0
#include "proxy/request/request_guard.hpp"

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
    counters_.add(counter::invariants_violated);
    log_.error("invariant-violated name=", name_of(which), " id=", request_id);
}

request_guard::~request_guard() {
    if (owes_response())
        monitor_.violated(invariant::response_before_close, id_);
}

void request_guard::request_read(std::string_view id, const request_class &kind, double deadline) {
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

bool request_guard::may_start_attempt(double now, double told) {
    const bool unsafe = kind_.effect == effect_kind::non_idempotent;
    const bool keyed = kind_.effect == effect_kind::deduplicated;
    const bool may = holds(!answered_, invariant::attempt_before_response) &&
                     holds(!client_left_, invariant::attempt_for_client) &&
                     holds(now < deadline_, invariant::attempt_before_deadline) &&
                     holds(told <= deadline_ - now + deadline_slack, invariant::deadline_forwarded) &&
                     holds(!attempt_out_, invariant::one_attempt_at_a_time) &&
                     holds(!(unsafe && may_have_run_), invariant::no_unsafe_retry) &&
                     holds(!(keyed && may_have_run_) || now < first_sent_ + kind_.deduplication_window,
                           invariant::retry_in_window);
    if (may) {
        attempt_out_ = true;
        last_sent_ = now;
    }
    return may;
}

void request_guard::attempt_finished(outcome result) {
    if (!attempt_out_)
        return;
    attempt_out_ = false;
    if (known_not_executed(result))
        return;
    if (!may_have_run_)
        first_sent_ = last_sent_;
    may_have_run_ = true;
}

bool request_guard::may_respond() {
    if (!holds(!answered_, invariant::one_response))
        return false;
    answered_ = true;
    return true;
}

} // namespace harrierpass::proxy
