// SPDX-License-Identifier: Apache-2.0
#include "router/request_router.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace harrierpass {
namespace {

constexpr double timer_period = 0.05; // s

} // namespace

std::unique_ptr<router> make_router(const router_settings &given, std::uint32_t seed, double now) {
    return std::make_unique<request_router>(given, seed, now);
}

// ---- Settings

request_router::request_router(const router_settings &settings, std::uint32_t seed, double now)
    : now_(now), random_(seed), last_check_at_(now), hot_keys_(random_.fraction()),
      endpoint_refresh_(now, random_.fraction()), endpoints_(settings),
      selection_(endpoints_, retry_policy_) {
    configure(settings);
    actions.push_back({action_kind::set_timer, none, none, 0, now + timer_period});
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
    for (request_index id = 0; id < requests_.size(); ++id) {
        auto &request = requests_[id];
        if (request.is_live)
            request.uses_origin = has_origin_kind_ && (request.uses_origin || request.is_write);
    }
}

// ---- Events of requests

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
    request.class_settings = request_classes_[info.class_id];
    place_on_ring(request, info);
    request.deadline = info.deadline - deadline_margin_;
    request.admission_draw = random_.fraction();
    request.queue_deadline =
        now_ + max_queue_time(std::min(request.class_settings.latency_objective, request.deadline - now_));
    retry_budget_.earn();
    request.over_quota = quotas_.is_over_quota(info.tenant, now_);
    request.priority_weight =
        request.class_settings.priority_weight * (request.over_quota ? over_quota_weight_share_ : 1);
}

void request_router::place_on_ring(request_record &request, const request_info &info) {
    request.has_key = info.has_key;
    request.key = info.key;
    const std::uint64_t key = info.has_key ? info.key : random_.key();
    const std::uint32_t replicas = info.has_key ? hot_keys_.record(key, endpoints_.members().size()) : 1;
    request.has_hot_key = replicas > 1;
    request.ring_position = key_position(key, hot_keys_.replica_of(replicas));
}

void request_router::on_attempt_finished(double now, request_index id, attempt_number number, outcome result,
                                         bool over, bool fetched, const load_report &report) {
    now_ = now;
    auto &request = requests_[id];
    if (number >= request.attempts.size() || !request.attempts[number].is_open)
        return;
    auto &attempt = request.attempts[number];
    attempt.is_open = false;
    attempt.result = result;
    --request.open_attempts;
    const attempt_result ended = {
        attempt.endpoint, attempt.started_at,       request.class_settings.latency_objective,
        result,           attempt.counts_in_flight, fetched};
    const bool is_failure = endpoints_.record_result(ended, report, now, random_);
    endpoints_.count_in_flight(attempt, false, now);
    if (endpoints_.update_health(ended, is_failure, now))
        cancel_attempts_at(ended.endpoint);
    apply_request_event(id, event_for(request, result, over));
    dispatch_queued();
}

request_event request_router::event_for(const request_record &request, outcome result, bool over) {
    if (over || request.state == request_state::finished)
        return request_event::response_finished;
    if (result == outcome::cache_miss)
        return request_event::cache_miss;
    return known_not_executed(result) ? request_event::not_executed : request_event::possibly_executed;
}

void request_router::on_response_started(double now, request_index id, bool fetched) {
    now_ = now;
    auto &request = requests_[id];
    auto &attempt = request.attempts.back();
    request.deadline = std::numeric_limits<double>::infinity();
    endpoints_.count_in_flight(attempt, false, now);
    endpoints_.record_response_start({attempt.endpoint, attempt.started_at,
                                      request.class_settings.latency_objective, outcome::completed, false,
                                      fetched},
                                     now);
    dispatch_queued();
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

// ---- Events of endpoints

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

void request_router::on_health_check_finished(double now, endpoint_index endpoint, bool answered,
                                              const load_report &report) {
    now_ = now;
    endpoints_.on_health_check_finished(endpoint, answered, report, now);
}

bool request_router::avoids_endpoint(endpoint_index endpoint) const {
    return endpoints_.is_avoided(endpoints_.table()[endpoint]);
}

bool request_router::is_ejected(endpoint_index endpoint) const {
    return endpoints_.table()[endpoint].health == endpoint_health::ejected;
}

// The requests whose latest attempt is at the endpoint are attempted elsewhere.
void request_router::cancel_attempts_at(endpoint_index endpoint) {
    for (request_index id = 0; id < requests_.size(); ++id) {
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
    actions.push_back({action_kind::set_timer, none, none, 0, now + timer_period});
    poll_endpoints();
    check_endpoints();
    expire_deadlines();
    dispatch_queued();
}

void request_router::poll_endpoints() {
    if (!constraints_.watch_required || !endpoint_refresh_.is_due(now_))
        return;
    actions.push_back({action_kind::watch_endpoints});
    endpoint_refresh_.on_poll_sent(now_, constraints_.max_poll_interval);
}

void request_router::check_endpoints() {
    // In a pause of this proxy it read nothing that endpoints sent.
    const double since_last = now_ - std::exchange(last_check_at_, now_);
    const double pause = std::max(0.0, since_last - 2 * timer_period);
    for (const endpoint_index endpoint : endpoints_.members()) {
        if (endpoints_.check(endpoint, pause, now_))
            cancel_attempts_at(endpoint);
        if (endpoints_.take_due_health_check(endpoint, now_))
            actions.push_back({action_kind::check_health, none, endpoint, 0, 0});
    }
    endpoints_.refresh(now_);
}

void request_router::expire_deadlines() {
    while (const auto timer = timers_.take_due(now_))
        if (is_expired(*timer, requests_[timer->request], now_))
            apply_request_event(timer->request, request_event::deadline_expired);
}

// Capacity may have become free.
void request_router::dispatch_queued() {
    for (const request_index id : queue_.next_batch()) {
        auto &request = requests_[id];
        request.awaits_fetch = request.awaits_fetch && fetches_.is_in_progress(request.key);
        if (!request.awaits_fetch)
            apply_request_event(id, request_event::dispatch);
    }
}

// ---- The life of a request

void request_router::apply_request_event(request_index id, request_event event) {
    while (event != request_event::nothing) {
        const auto *row = find_transition(transitions, requests_[id].state, event);
        if (row == nullptr)
            return;
        requests_[id].state = row->next;
        event = (this->*row->handler)(id);
    }
}

using enum request_state;

const std::array<request_router::request_transition, 15> request_router::transitions = {{
    /// Requests over quota are admitted while there is ample capacity.
    {queued, request_event::received, queued, &request_router::admit},
    /// Every attempt keeps to the dispatch deadline of the retry policy.
    {queued, request_event::dispatch, queued, &request_router::dispatch},
    {queued, request_event::attempt_started, in_progress, &request_router::wait_for_attempt},
    /// A request waits until its queue deadline at most.
    {queued, request_event::no_capacity, queued, &request_router::enqueue},
    /// The advice to retry stays within the deduplication window.
    {queued, request_event::not_servable, finished, &request_router::finish},
    {queued, request_event::deadline_expired, finished, &request_router::finish},
    {queued, request_event::client_disconnected, finished, &request_router::release},
    {in_progress, request_event::not_executed, queued, &request_router::retry_unexecuted},
    /// Within the retry budget, and only where the class allows a second execution.
    {in_progress, request_event::possibly_executed, queued, &request_router::retry},
    /// One origin fetch for each key at a time.
    {in_progress, request_event::cache_miss, queued, &request_router::fetch_from_origin},
    /// Within the retry budget; the retry follows once the attempt has ended.
    {in_progress, request_event::endpoint_ejected, in_progress, &request_router::retry_elsewhere},
    {in_progress, request_event::response_finished, finished, &request_router::release},
    {in_progress, request_event::deadline_expired, finished, &request_router::finish},
    {in_progress, request_event::client_disconnected, finished, &request_router::release},
    /// The last open attempt of a finished request frees its index.
    {finished, request_event::response_finished, finished, &request_router::release},
}};

request_event request_router::admit(request_index id) {
    const auto &request = requests_[id];
    const bool is_full = endpoints_.table().fleet_in_flight() + request.admission_draw >=
                         over_quota_capacity(endpoints_.capacity(), over_quota_weight_share_);
    return request.over_quota && is_full ? request_event::not_servable : request_event::dispatch;
}

request_event request_router::dispatch(request_index id) {
    auto &request = requests_[id];
    if (retry_policy_.is_exhausted(request, now_))
        return request_event::not_servable;
    // After a miss on the last attempt there would be none left for the fetch.
    const bool has_origin = endpoints_.table().origin() != none;
    request.uses_origin = request.uses_origin || (has_origin && retry_policy_.is_last_retry(request));
    const selection selected = selection_.select_endpoint(request, now_);
    if (selected.result == selection_result::no_capacity)
        return request_event::no_capacity;
    if (selected.result == selection_result::not_servable)
        return request_event::not_servable;
    start_attempt(id, selected.endpoint);
    return request_event::attempt_started;
}

void request_router::start_attempt(request_index id, endpoint_index to) {
    auto &request = requests_[id];
    if (!request.uses_origin && endpoints_.is_avoided(endpoints_.table()[to]))
        endpoints_.on_request_as_health_check(to, now_);
    queue_.remove(id);
    ++request.open_attempts;
    request.attempts.push_back({to, now_});
    endpoints_.count_in_flight(request.attempts.back(), !request.streams_body, now_);
    actions.push_back({action_kind::start_attempt, id, to, 0, 0});
}

request_event request_router::enqueue(request_index id) {
    const auto &request = requests_[id];
    if (queue_.add(id, request.priority_weight))
        timers_.add(request.queue_deadline, id, request.generation);
    return now_ >= request.queue_deadline ? request_event::not_servable : request_event::nothing;
}

request_event request_router::finish(request_index id) {
    const double time_left = retry_policy_.client_retry_deadline(requests_[id]) - now_;
    actions.push_back({time_left > 0 ? action_kind::reject_request : action_kind::fail_request, id});
    actions.back().time = retry_policy_.advised_wait(time_left);
    return release(id);
}

// Frees the index of a finished request, once its attempts have ended.
request_event request_router::release(request_index id) {
    auto &request = requests_[id];
    queue_.remove(id);
    if (std::exchange(request.leads_fetch, false))
        fetches_.end(request.key);
    if (request.open_attempts == 0) {
        requests_.release(id);
        actions.push_back({action_kind::release_request, id, none, 0, 0});
    }
    return request_event::nothing;
}

request_event request_router::retry(request_index id) {
    const auto &request = requests_[id];
    const auto &attempt = request.attempts.back();
    if (attempt.result == outcome::error && endpoints_.errors_are_common(attempt.endpoint))
        return request_event::not_servable;
    if (!retry_budget_.is_available() || !retry_policy::allows_retry(request))
        return request_event::not_servable;
    retry_budget_.spend();
    return request_event::dispatch;
}

request_event request_router::retry_unexecuted(request_index /*id*/) {
    return request_event::dispatch;
}

request_event request_router::retry_elsewhere(request_index id) {
    const auto &request = requests_[id];
    if (!retry_budget_.is_available() || !retry_policy_.allows_cancel(request, now_))
        return request_event::nothing;
    const auto number = static_cast<attempt_number>(request.attempts.size() - 1);
    actions.push_back({action_kind::cancel_attempt, id, none, number, 0});
    return request_event::nothing;
}

// Requests that miss a key while it is fetched wait, and then ask the cache again.
request_event request_router::fetch_from_origin(request_index id) {
    auto &request = requests_[id];
    if (endpoints_.table().origin() == none)
        return request_event::not_servable;
    const double until = now_ + max_queue_time(request.class_settings.latency_objective);
    request.queue_deadline = std::max(request.queue_deadline, std::min(until, request.deadline));
    if (request.has_key && fetches_.is_in_progress(request.key) &&
        retry_policy_.has_attempts_for_fetch(request)) {
        request.awaits_fetch = true;
        return request_event::no_capacity;
    }
    request.uses_origin = true;
    request.leads_fetch = request.leads_fetch || (request.has_key && fetches_.begin(request.key, id));
    return request_event::dispatch;
}

request_event request_router::wait_for_attempt(request_index /*id*/) {
    return request_event::nothing;
}

} // namespace harrierpass
