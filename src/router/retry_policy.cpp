// SPDX-License-Identifier: Apache-2.0
#include "router/retry_policy.hpp"

#include <algorithm>
#include <limits>
#include <span>

namespace harrierpass {
namespace {

constexpr double budget_per_request = 0.2; // retries
constexpr double max_budget = 10;          // retries; about the attempts in flight at one failing endpoint
constexpr double advised_wait_share = 0.5; // share of the remaining time; the rest covers client and network

// The earliest attempt that was possibly executed or is still open; null if there is none.
const attempt_record *first_possibly_executed(std::span<const attempt_record> attempts) {
    const auto found = std::ranges::find_if(attempts, [](const attempt_record &attempt) {
        return attempt.is_open || !known_not_executed(attempt.result);
    });
    return found == attempts.end() ? nullptr : &*found;
}

bool shares_scope(deduplication_scope scope, const endpoint_info &first, const endpoint_info &second) {
    return scope == deduplication_scope::zone ? first.zone == second.zone : first.cell == second.cell;
}

} // namespace

retry_budget::retry_budget() : tokens_(max_budget) {}

void retry_budget::deposit() {
    tokens_ = std::min(max_budget, tokens_ + budget_per_request);
}

void retry_policy::configure(const deployment_constraints &constraints, double deadline_margin) {
    constraints_ = constraints;
    deadline_margin_ = deadline_margin;
}

double retry_policy::dispatch_deadline(const request_record &request, std::size_t attempt_count,
                                       const endpoint_table &endpoints, endpoint_index endpoint) const {
    const auto &settings = request.class_settings;
    const auto *first = first_possibly_executed(std::span(request.attempts).first(attempt_count));
    if (first == nullptr || settings.effect == effect_kind::idempotent)
        return std::numeric_limits<double>::infinity();
    if (settings.effect == effect_kind::non_idempotent)
        return 0;
    const double window_end = first->started_at + settings.deduplication_window - deadline_margin_;
    if (settings.scope == deduplication_scope::all)
        return window_end;
    return shares_scope(settings.scope, endpoints[first->endpoint].info, endpoints[endpoint].info)
               ? window_end
               : 0;
}

double retry_policy::client_retry_deadline(const request_record &request) const {
    const auto &settings = request.class_settings;
    const auto *first = first_possibly_executed(request.attempts);
    if (first == nullptr || settings.effect == effect_kind::idempotent)
        return std::numeric_limits<double>::infinity();
    if (settings.effect == effect_kind::non_idempotent || settings.scope != deduplication_scope::all)
        return 0;
    return first->started_at + settings.deduplication_window - deadline_margin_;
}

double retry_policy::advised_wait(double remaining_time) const {
    return std::min(constraints_.max_retry_after, std::max(0.0, remaining_time * advised_wait_share));
}

bool retry_policy::allows_retry(const request_record &request) {
    const bool reads_from_origin = request.uses_origin && !request.is_write;
    return !reads_from_origin && request.class_settings.effect != effect_kind::non_idempotent;
}

bool retry_policy::allows_cancel(const request_record &request, double now) const {
    return request.class_settings.effect != effect_kind::non_idempotent && constraints_.may_cancel &&
           !is_exhausted(request, now);
}

bool retry_policy::is_exhausted(const request_record &request, double now) const {
    return request.attempts.size() >= constraints_.max_attempts || now >= request.deadline;
}

bool retry_policy::is_last_retry(const request_record &request) const {
    return !request.attempts.empty() && request.attempts.size() + 1 == constraints_.max_attempts;
}

bool retry_policy::has_attempts_for_fetch(const request_record &request) const {
    return request.attempts.size() + 2 <= constraints_.max_attempts;
}

} // namespace harrierpass
