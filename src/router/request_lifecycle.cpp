// SPDX-License-Identifier: Apache-2.0
// The state machine of requests: the transition table and the handlers, which are members of request_router.
#include "router/request_lifecycle.hpp"

#include "router/request_router.hpp"

#include <algorithm>
#include <utility>

namespace harrierpass {

void request_router::apply_request_event(request_index id, request_event event) {
    while (event != request_event::no_event) {
        const auto *row = find_transition(transitions, requests_[id].state, event);
        if (row == nullptr)
            return;
        requests_[id].state = row->next;
        event = (this->*row->handler)(id);
    }
}

using enum request_state;

const std::array<request_router::request_transition, 15> request_router::transitions = {{
    /// A request over quota is admitted only while the fleet has spare capacity.
    {queued, request_event::received, queued, &request_router::admit},
    /// Attempts start only before the dispatch deadline of the retry policy.
    {queued, request_event::dispatch, queued, &request_router::dispatch},
    /// The latest attempt of a request in progress is open.
    {queued, request_event::attempt_started, in_progress, &request_router::await_attempt},
    /// A request stays queued until its queue deadline at the latest.
    {queued, request_event::no_capacity, queued, &request_router::enqueue},
    /// The advised wait ends within the deduplication window.
    {queued, request_event::not_servable, finished, &request_router::reject_or_fail},
    /// The deadline or the queue deadline of the request has passed.
    {queued, request_event::deadline_expired, finished, &request_router::reject_or_fail},
    /// Without a client no response is needed.
    {queued, request_event::client_disconnected, finished, &request_router::release},
    /// The retry does not draw on the retry budget, as the request was not executed.
    {in_progress, request_event::not_executed, queued, &request_router::retry_unexecuted},
    /// Retried within the retry budget, and only if the request class allows a second execution.
    {in_progress, request_event::possibly_executed, queued, &request_router::retry},
    /// Each key has one origin fetch at a time.
    {in_progress, request_event::cache_miss, queued, &request_router::fetch_from_origin},
    /// Canceled within the retry budget; the retry starts when the canceled attempt has ended.
    {in_progress, request_event::endpoint_ejected, in_progress, &request_router::cancel_for_retry},
    /// The client has received its response.
    {in_progress, request_event::response_finished, finished, &request_router::release},
    /// The attempt stays open until its result is reported.
    {in_progress, request_event::deadline_expired, finished, &request_router::reject_or_fail},
    /// The attempt stays open until its result is reported.
    {in_progress, request_event::client_disconnected, finished, &request_router::release},
    /// The end of the last open attempt of a finished request frees the request index.
    {finished, request_event::response_finished, finished, &request_router::release},
}};

request_event request_router::admit(request_index id) {
    const auto &request = requests_[id];
    const bool exceeds_capacity = endpoints_.table().fleet_in_flight() + request.admission_draw >=
                                  over_quota_capacity(endpoints_.capacity(), over_quota_weight_share_);
    return request.over_quota && exceeds_capacity ? request_event::not_servable : request_event::dispatch;
}

request_event request_router::dispatch(request_index id) {
    auto &request = requests_[id];
    if (retry_policy_.is_exhausted(request, now_))
        return request_event::not_servable;
    // The last retry goes to the origin: after a cache miss no attempt would be left for the origin fetch.
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

void request_router::start_attempt(request_index id, endpoint_index endpoint) {
    auto &request = requests_[id];
    if (!request.uses_origin && endpoints_.is_avoided(endpoints_.table()[endpoint]))
        endpoints_.on_request_as_health_check(endpoint, now_);
    queue_.remove(id);
    ++request.open_attempts;
    request.attempts.push_back({endpoint, now_});
    endpoints_.count_in_flight(request.attempts.back(), !request.streams_body, now_);
    actions.push_back({.kind = action_kind::start_attempt, .request = id, .endpoint = endpoint});
}

request_event request_router::enqueue(request_index id) {
    const auto &request = requests_[id];
    if (queue_.add(id, request.priority_weight))
        timers_.add(request.queue_deadline, id, request.generation);
    return now_ >= request.queue_deadline ? request_event::not_servable : request_event::no_event;
}

request_event request_router::reject_or_fail(request_index id) {
    const double retry_time_left = retry_policy_.client_retry_deadline(requests_[id]) - now_;
    actions.push_back({.kind = retry_time_left > 0 ? action_kind::reject_request : action_kind::fail_request,
                       .request = id,
                       .time = retry_policy_.advised_wait(retry_time_left)});
    return release(id);
}

request_event request_router::release(request_index id) {
    auto &request = requests_[id];
    queue_.remove(id);
    if (std::exchange(request.leads_fetch, false))
        fetches_.end_fetch(request.key);
    if (request.open_attempts == 0) {
        requests_.release(id);
        actions.push_back({.kind = action_kind::release_request, .request = id});
    }
    return request_event::no_event;
}

request_event request_router::retry(request_index id) {
    const auto &request = requests_[id];
    const auto &attempt = request.attempts.back();
    if (attempt.result == outcome::error && endpoints_.errors_are_common(attempt.endpoint))
        return request_event::not_servable;
    if (!retry_budget_.is_available() || !retry_policy::allows_retry(request))
        return request_event::not_servable;
    retry_budget_.withdraw();
    return request_event::dispatch;
}

request_event request_router::retry_unexecuted(request_index /*id*/) {
    return request_event::dispatch;
}

request_event request_router::cancel_for_retry(request_index id) {
    const auto &request = requests_[id];
    if (!retry_budget_.is_available() || !retry_policy_.allows_cancel(request, now_))
        return request_event::no_event;
    const auto latest_attempt = attempt_number(static_cast<index>(request.attempts.size() - 1));
    actions.push_back({.kind = action_kind::cancel_attempt, .request = id, .attempt = latest_attempt});
    return request_event::no_event;
}

// A request whose key is already being fetched stays queued until that fetch ends, and is then dispatched to
// the cache again.
request_event request_router::fetch_from_origin(request_index id) {
    auto &request = requests_[id];
    if (endpoints_.table().origin() == none)
        return request_event::not_servable;
    const double fetch_queue_deadline = now_ + max_queue_time(request.class_settings.latency_objective);
    request.queue_deadline =
        std::max(request.queue_deadline, std::min(fetch_queue_deadline, request.deadline));
    if (request.has_key && fetches_.is_in_progress(request.key) &&
        retry_policy_.has_attempts_for_fetch(request)) {
        request.awaits_fetch = true;
        return request_event::no_capacity;
    }
    request.uses_origin = true;
    request.leads_fetch = request.leads_fetch || (request.has_key && fetches_.begin_fetch(request.key, id));
    return request_event::dispatch;
}

request_event request_router::await_attempt(request_index /*id*/) {
    return request_event::no_event;
}

} // namespace harrierpass
