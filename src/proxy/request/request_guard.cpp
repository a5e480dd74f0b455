// SPDX-License-Identifier: Apache-2.0
#include "proxy/request/request_guard.hpp"

#include <array>
#include <cstddef>

namespace harrierpass::proxy {
namespace {

// Seconds by which, in the protocol, the time that an endpoint is given may exceed the client's.
constexpr double deadline_slack = 0.15;

// Names in the log, by invariant.
constexpr std::array<const char *, 10> invariant_names = {"answered_before_close", "one_answer",
                                                          "send_before_answer",    "send_before_deadline",
                                                          "send_for_client",       "one_attempt_at_a_time",
                                                          "no_unsafe_repeat",      "repeat_in_window",
                                                          "deadline_told",         "nothing_left_at_end"};

} // namespace

const char *name_of(invariant value) {
    return invariant_names[static_cast<std::size_t>(value)];
}

void invariant_monitor::report_violation(invariant violated, std::string_view request_id) {
    counters_.add(counter::invariants_violated);
    log_.error("invariant-violated name=", name_of(violated), " id=", request_id);
}

request_guard::~request_guard() {
    if (owes_response())
        monitor_.report_violation(invariant::response_before_close, id_);
}

void request_guard::request_read(std::string_view id, const request_class &settings, double deadline) {
    id_ = id;
    class_settings_ = settings;
    deadline_ = deadline;
    is_read_ = true;
}

bool request_guard::require(bool condition, invariant checked) {
    if (condition)
        return true;
    step_refused_ = true;
    monitor_.report_violation(checked, id_);
    return false;
}

bool request_guard::may_start_attempt(double now, double forwarded_timeout) {
    const bool retries_unsafely = possibly_executed_ && class_settings_.effect == effect_kind::non_idempotent;
    const bool needs_window = possibly_executed_ && class_settings_.effect == effect_kind::deduplicated;
    const bool in_window = now < first_executed_at_ + class_settings_.deduplication_window;
    const bool allowed =
        require(!response_started_, invariant::attempt_before_response) &&
        require(!client_disconnected_, invariant::attempt_for_client) &&
        require(now < deadline_, invariant::attempt_before_deadline) &&
        require(forwarded_timeout <= deadline_ - now + deadline_slack, invariant::deadline_forwarded) &&
        require(!attempt_in_flight_, invariant::one_attempt_at_a_time) &&
        require(!retries_unsafely, invariant::no_unsafe_retry) &&
        require(!needs_window || in_window, invariant::retry_in_window);
    if (allowed) {
        attempt_in_flight_ = true;
        last_sent_at_ = now;
    }
    return allowed;
}

void request_guard::attempt_finished(outcome result) {
    if (!attempt_in_flight_)
        return;
    attempt_in_flight_ = false;
    if (known_not_executed(result))
        return;
    if (!possibly_executed_)
        first_executed_at_ = last_sent_at_;
    possibly_executed_ = true;
}

bool request_guard::may_respond() {
    if (!require(!response_started_, invariant::one_response))
        return false;
    response_started_ = true;
    return true;
}

} // namespace harrierpass::proxy
