// SPDX-License-Identifier: Apache-2.0
// The state machine of requests: the table of its transitions and their handlers, which are members of the
// coordinator.
#include "router/request_lifecycle.hpp"

#include "router/request_router.hpp"

#include <algorithm>
#include <utility>

namespace harrierpass {

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
    /// Its latest attempt is open.
    {queued, request_event::attempt_started, in_progress, &request_router::wait_for_attempt},
    /// A request waits until its queue deadline at most.
    {queued, request_event::no_capacity, queued, &request_router::enqueue},
    /// The advice to retry stays within the deduplication window.
    {queued, request_event::not_servable, finished, &request_router::finish},
    /// The deadline of the request or of its wait has passed.
    {queued, request_event::deadline_expired, finished, &request_router::finish},
    /// No answer is owed any more.
    {queued, request_event::client_disconnected, finished, &request_router::release},
    /// Costs no retry budget, as nothing was executed.
    {in_progress, request_event::not_executed, queued, &request_router::retry_unexecuted},
    /// Within the retry budget, and only where the class allows a second execution.
    {in_progress, request_event::possibly_executed, queued, &request_router::retry},
    /// One origin fetch for each key at a time.
    {in_progress, request_event::cache_miss, queued, &request_router::fetch_from_origin},
    /// Within the retry budget; the retry follows once the attempt has ended.
    {in_progress, request_event::endpoint_ejected, in_progress, &request_router::retry_elsewhere},
    /// The client has its response.
    {in_progress, request_event::response_finished, finished, &request_router::release},
    /// The attempt stays open until its end is reported.
    {in_progress, request_event::deadline_expired, finished, &request_router::finish},
    /// The attempt stays open until its end is reported.
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
    actions.push_back({.kind = action_kind::start_attempt, .request = id, .endpoint = to});
}

request_event request_router::enqueue(request_index id) {
    const auto &request = requests_[id];
    if (queue_.add(id, request.priority_weight))
        timers_.add(request.queue_deadline, id, request.generation);
    return now_ >= request.queue_deadline ? request_event::not_servable : request_event::nothing;
}

request_event request_router::finish(request_index id) {
    const double time_left = retry_policy_.client_retry_deadline(requests_[id]) - now_;
    actions.push_back({.kind = time_left > 0 ? action_kind::reject_request : action_kind::fail_request,
                       .request = id,
                       .time = retry_policy_.advised_wait(time_left)});
    return release(id);
}

request_event request_router::release(request_index id) {
    auto &request = requests_[id];
    queue_.remove(id);
    if (std::exchange(request.leads_fetch, false))
        fetches_.end(request.key);
    if (request.open_attempts == 0) {
        requests_.release(id);
        actions.push_back({.kind = action_kind::release_request, .request = id});
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
    const auto number = attempt_number(static_cast<index>(request.attempts.size() - 1));
    actions.push_back({.kind = action_kind::cancel_attempt, .request = id, .attempt = number});
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
