// SPDX-License-Identifier: Apache-2.0
#include "router/request_router.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace harrierpass {
namespace {

constexpr double timer_period = 0.05; // seconds

} // namespace

std::unique_ptr<router> make_router(const router_settings &settings, std::uint32_t seed, double now) {
    return std::make_unique<request_router>(settings, seed, now);
}

// ---- Settings

request_router::request_router(const router_settings &settings, std::uint32_t seed, double now)
    : now_(now), random_(seed), last_check_at_(now), hot_keys_(random_.fraction()),
      endpoint_refresh_(now, random_.fraction()), endpoints_(settings),
      selection_(endpoints_, retry_policy_) {
    configure(settings);
    actions.push_back({.kind = action_kind::set_timer, .time = now + timer_period});
}

void request_router::configure(const router_settings &settings) {
    constraints_ = settings.constraints;
    request_classes_ = settings.request_classes;
    over_quota_weight_share_ = settings.over_quota_weight_share;
    has_origin_kind_ = settings.origin_kind != none;
    const double batch_interval = settings.event_batch_interval;
    deadline_margin_ = std::max(timer_period, batch_interval) + 2 * batch_interval;
    quotas_.configure(settings.tenant_quotas, settings.proxy_count, now_);
    retry_policy_.configure(constraints_, deadline_margin_);
    selection_.configure(settings);
}

void request_router::update_settings(double now, const router_settings &settings) {
    now_ = now;
    configure(settings);
    endpoints_.update_settings(settings);
    for (request_index id{0}; id < requests_.end_index(); ++id) {
        auto &request = requests_[id];
        if (request.is_live)
            request.uses_origin = has_origin_kind_ && (request.uses_origin || request.is_write);
    }
}

// ---- Request events

void request_router::on_request(double now, const request_info &info) {
    now_ = now;
    auto &request = requests_.create(info.request);
    initialize(request, info);
    timers_.add(request.deadline, info.request, request.generation);
    apply_request_event(info.request, request_event::received);
}

void request_router::initialize(request_record &request, const request_info &info) {
    request.is_write = info.is_write;
    request.streams_body = info.streams_body;
    request.uses_origin = info.is_write && has_origin_kind_;
    request.class_settings = request_classes_[info.class_id.value()];
    place_on_ring(request, info);
    request.deadline = info.deadline - deadline_margin_;
    request.admission_draw = random_.fraction();
    request.queue_deadline =
        now_ + max_queue_time(std::min(request.class_settings.latency_objective, request.deadline - now_));
    retry_budget_.deposit();
    request.over_quota = quotas_.charge_request(info.tenant, now_);
    request.priority_weight =
        request.class_settings.priority_weight * (request.over_quota ? over_quota_weight_share_ : 1);
}

void request_router::place_on_ring(request_record &request, const request_info &info) {
    request.has_key = info.has_key;
    request.key = info.key;
    const std::uint64_t key = info.has_key ? info.key : random_.key();
    const std::uint32_t replica_count = info.has_key ? hot_keys_.record(key, endpoints_.members().size()) : 1;
    request.has_hot_key = replica_count > 1;
    request.ring_position = key_position(key, hot_keys_.select_replica(replica_count));
}

void request_router::on_attempt_finished(double now, request_index id, attempt_number number, outcome result,
                                         bool response_complete, bool origin_fetched,
                                         const load_report &report) {
    now_ = now;
    auto &request = requests_[id];
    if (number.value() >= request.attempts.size() || !request.attempts[number.value()].is_open)
        return;
    auto &attempt = request.attempts[number.value()];
    attempt.is_open = false;
    attempt.result = result;
    --request.open_attempts;
    const attempt_result finished_attempt = {
        attempt.endpoint, attempt.started_at,       request.class_settings.latency_objective,
        result,           attempt.counts_in_flight, origin_fetched};
    const bool is_failure = endpoints_.record_result(finished_attempt, report, now, random_);
    endpoints_.count_in_flight(attempt, false, now);
    if (endpoints_.update_health(finished_attempt, is_failure, now))
        cancel_attempts_at(finished_attempt.endpoint);
    apply_request_event(id, event_for(request, result, response_complete));
    dispatch_queued();
}

request_event request_router::event_for(const request_record &request, outcome result,
                                        bool response_complete) {
    if (response_complete || request.state == request_state::finished)
        return request_event::response_finished;
    if (result == outcome::cache_miss)
        return request_event::cache_miss;
    return known_not_executed(result) ? request_event::not_executed : request_event::possibly_executed;
}

void request_router::on_response_started(double now, request_index id, bool origin_fetched) {
    now_ = now;
    auto &request = requests_[id];
    auto &attempt = request.attempts.back();
    request.deadline = std::numeric_limits<double>::infinity();
    endpoints_.count_in_flight(attempt, false, now);
    endpoints_.record_response_start({attempt.endpoint, attempt.started_at,
                                      request.class_settings.latency_objective, outcome::completed, false,
                                      origin_fetched},
                                     now);
    dispatch_queued();
}

void request_router::on_response_paused(double now, request_index id) {
    now_ = now;
    auto &request = requests_[id];
    if (!request.attempts.empty() && request.attempts.back().is_open)
        endpoints_.record_response_pause(request.attempts.back(), now);
}

void request_router::on_request_body_sent(double now, request_index id, double deadline) {
    now_ = now;
    auto &request = requests_[id];
    request.deadline = deadline - deadline_margin_;
    timers_.add(request.deadline, id, request.generation);
    request.attempts.back().started_at = now;
    endpoints_.count_in_flight(request.attempts.back(), true, now);
}

void request_router::on_client_disconnected(double now, request_index id) {
    now_ = now;
    apply_request_event(id, request_event::client_disconnected);
}

double request_router::attempt_write_deadline(request_index id) const {
    const auto &request = requests_[id];
    const auto &attempt = request.attempts.back();
    if (request.state != request_state::in_progress ||
        endpoints_.table()[attempt.endpoint].info.state != endpoint_state::ready)
        return 0;
    return retry_policy_.dispatch_deadline(request, request.attempts.size() - 1, endpoints_.table(),
                                           attempt.endpoint);
}

bool request_router::may_retry(double now, request_index id) const {
    const auto &request = requests_[id];
    if (request.state != request_state::in_progress || request.uses_origin)
        return false;
    const endpoint_index current = request.attempts.back().endpoint;
    if (!retry_policy::allows_retry(request) || retry_policy_.is_exhausted(request, now) ||
        !retry_budget_.is_available() || endpoints_.errors_are_common(current))
        return false;
    const auto &table = endpoints_.table();
    return std::ranges::any_of(endpoints_.members(), [&](endpoint_index endpoint) {
        const auto &candidate = table[endpoint];
        return endpoint != current && !endpoints_.is_avoided(candidate) &&
               endpoints_.has_capacity(candidate, request.admission_draw, now) &&
               retry_policy_.dispatch_deadline(request, request.attempts.size(), table, endpoint) > now;
    });
}

// ---- Endpoint events

void request_router::on_endpoints_updated(double now, endpoint_update_kind kind,
                                          std::span<const endpoint_info> entries) {
    now_ = now;
    if (kind == endpoint_update_kind::poll_failed) {
        endpoint_refresh_.on_poll_failed(now, random_.fraction(), constraints_.max_poll_interval);
        return;
    }
    if (kind == endpoint_update_kind::delta || kind == endpoint_update_kind::snapshot)
        endpoint_refresh_.on_update();
    for (const endpoint_index endpoint : endpoints_.update(kind, entries, now))
        cancel_attempts_at(endpoint);
    dispatch_queued();
}

void request_router::on_health_check_finished(double now, endpoint_index endpoint, bool responded,
                                              const load_report &report) {
    now_ = now;
    endpoints_.on_health_check_finished(endpoint, responded, report, now);
}

bool request_router::avoids_endpoint(endpoint_index endpoint) const {
    return endpoints_.is_avoided(endpoints_.table()[endpoint]);
}

bool request_router::is_ejected(endpoint_index endpoint) const {
    return endpoints_.table()[endpoint].health == endpoint_health::ejected;
}

void request_router::cancel_attempts_at(endpoint_index endpoint) {
    for (request_index id{0}; id < requests_.end_index(); ++id) {
        const auto &request = requests_[id];
        if (!request.is_live || request.state != request_state::in_progress)
            continue;
        const auto &attempt = request.attempts.back();
        if (attempt.is_open && attempt.endpoint == endpoint)
            apply_request_event(id, request_event::endpoint_ejected);
    }
}

// ---- Periodic work

void request_router::on_timer(double now) {
    now_ = now;
    actions.push_back({.kind = action_kind::set_timer, .time = now + timer_period});
    poll_endpoints();
    check_endpoints();
    expire_deadlines();
    dispatch_queued();
}

void request_router::poll_endpoints() {
    if (!constraints_.watch_required || !endpoint_refresh_.is_due(now_))
        return;
    actions.push_back({.kind = action_kind::watch_endpoints});
    endpoint_refresh_.on_poll_sent(now_, constraints_.max_poll_interval);
}

void request_router::check_endpoints() {
    // While this process was paused it could not read responses, so the pause must not count as silence of an
    // endpoint.
    const double time_since_last_check = now_ - std::exchange(last_check_at_, now_);
    const double pause = std::max(0.0, time_since_last_check - 2 * timer_period);
    for (const endpoint_index endpoint : endpoints_.members()) {
        if (endpoints_.check_member(endpoint, pause, now_))
            cancel_attempts_at(endpoint);
        if (endpoints_.claim_due_health_check(endpoint, now_))
            actions.push_back({.kind = action_kind::check_health, .endpoint = endpoint});
    }
    endpoints_.refresh(now_);
}

void request_router::expire_deadlines() {
    while (const auto timer = timers_.take_due(now_))
        if (is_expired(*timer, requests_[timer->request], now_))
            apply_request_event(timer->request, request_event::deadline_expired);
}

void request_router::dispatch_queued() {
    for (const request_index id : queue_.next_batch()) {
        auto &request = requests_[id];
        request.awaits_fetch = request.awaits_fetch && fetches_.is_in_progress(request.key);
        if (!request.awaits_fetch)
            apply_request_event(id, request_event::dispatch);
    }
}

} // namespace harrierpass
