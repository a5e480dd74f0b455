// SPDX-License-Identifier: Apache-2.0
#include "proxy/request/dispatcher.hpp"

#include <algorithm>
#include <chrono>

namespace harrierpass::proxy {
namespace {

double unix_now() {
    return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

constexpr double max_timer_wait = 0.25; // seconds until the timer thread checks whether to stop

} // namespace

dispatcher::dispatcher(std::shared_ptr<const configuration> settings, router_factory make_router)
    : unix_start_(unix_now()), steady_start_(steady_now()), configuration_(std::move(settings)),
      router_(make_router(configuration_->router, configuration_->seed, now())), wake_at_(unix_start_) {}

std::shared_ptr<const configuration> dispatcher::configuration_in_force() {
    const std::lock_guard guard(lock_);
    return configuration_;
}

double dispatcher::now() const {
    return unix_start_ + (steady_now() - steady_start_);
}

// Reads the clock under the lock, so that the router's time never goes backwards.
template <typename Event> void dispatcher::report_event(Event event) {
    std::vector<endpoint_index> health_checks;
    bool watch_requested = false;
    {
        const std::lock_guard guard(lock_);
        event(now());
        deliver_actions(health_checks, watch_requested);
    }
    for (const endpoint_index endpoint : health_checks)
        on_check_health(endpoint);
    if (watch_requested)
        on_watch_endpoints();
}

void dispatcher::deliver_actions(std::vector<endpoint_index> &health_checks, bool &watch_requested) {
    for (const auto &action : router_->actions) {
        request_handle *const handle = action.request != none ? requests_[action.request] : nullptr;
        switch (action.kind) {
        case action_kind::start_attempt:
            handle->decision_ = {.type = decision_type::start_attempt,
                                 .endpoint = action.endpoint,
                                 .attempt = handle->next_attempt_};
            ++handle->next_attempt_;
            handle->attempt_endpoints_.push_back(action.endpoint);
            ++references_[action.endpoint];
            break;
        case action_kind::cancel_attempt:
            handle->decision_.cancel = handle->decision_.attempt == action.attempt;
            break;
        case action_kind::reject_request:
            handle->decision_.type = decision_type::reject;
            handle->decision_.retry_after = action.time;
            break;
        case action_kind::fail_request:
            handle->decision_.type = decision_type::fail;
            break;
        case action_kind::release_request:
            requests_[action.request] = nullptr;
            free_indices_.push_back(action.request);
            handle->request_ = none;
            for (const endpoint_index endpoint : handle->attempt_endpoints_)
                --references_[endpoint];
            continue; // no wake-up: the request's own thread reported the event
        case action_kind::check_health:
            health_checks.push_back(action.endpoint);
            ++references_[action.endpoint];
            continue;
        case action_kind::set_timer:
            wake_at_ = action.time;
            continue;
        case action_kind::watch_endpoints:
            watch_requested = true;
            continue;
        }
        if (!pthread_equal(handle->thread_, pthread_self()))
            wake_thread(handle->thread_);
    }
    router_->actions.clear();
}

bool dispatcher::submit(request_handle &handle, request_info request,
                        const std::shared_ptr<const configuration> &parsed_with) {
    bool submitted = false;
    report_event([&](double now) {
        // The request's class and tenant indices are valid for one configuration only.
        if (parsed_with != configuration_)
            return;
        submitted = true;
        if (free_indices_.empty())
            free_indices_.push_back(requests_.add(nullptr));
        request.request = handle.request_ = free_indices_.back();
        free_indices_.pop_back();
        handle.thread_ = pthread_self();
        requests_[request.request] = &handle;
        router_->on_request(now, request);
    });
    return submitted;
}

routing_decision dispatcher::next_decision(request_handle &handle) {
    const std::lock_guard guard(lock_);
    const routing_decision decision = handle.decision_;
    if (decision.type == decision_type::start_attempt)
        handle.decision_.type = decision_type::attempt_running;
    return decision;
}

double dispatcher::attempt_write_deadline(request_handle &handle) {
    const std::lock_guard guard(lock_);
    const bool is_running = handle.request_ != none &&
                            handle.decision_.type == decision_type::attempt_running &&
                            !handle.decision_.cancel;
    return is_running ? router_->attempt_write_deadline(handle.request_) : 0;
}

void dispatcher::attempt_finished(request_handle &handle, outcome result, bool from_origin) {
    report_event([&](double now) {
        const attempt_number attempt = handle.decision_.attempt;
        handle.decision_.cancel = false;
        if (handle.decision_.type == decision_type::attempt_running)
            handle.decision_ = {};
        if (handle.request_ != none)
            router_->on_attempt_finished(now, handle.request_, attempt, result, result == outcome::completed,
                                         from_origin);
    });
}

void dispatcher::request_finished(request_handle &handle, outcome result) {
    report_event([&](double now) {
        if (handle.request_ != none)
            router_->on_attempt_finished(now, handle.request_, handle.decision_.attempt, result, true, false);
    });
}

void dispatcher::response_started(request_handle &handle, bool from_origin) {
    report_event([&](double now) {
        if (handle.request_ != none)
            router_->on_response_started(now, handle.request_, from_origin);
    });
}

void dispatcher::response_paused(request_handle &handle) {
    report_event([&](double now) {
        if (handle.request_ != none)
            router_->on_response_paused(now, handle.request_);
    });
}

bool dispatcher::may_retry(request_handle &handle) {
    const std::lock_guard guard(lock_);
    return handle.request_ != none && router_->may_retry(now(), handle.request_);
}

void dispatcher::request_body_sent(request_handle &handle, double deadline) {
    report_event([&](double now) {
        if (handle.request_ != none)
            router_->on_request_body_sent(now, handle.request_, deadline);
    });
}

void dispatcher::client_disconnected(request_handle &handle) {
    report_event([&](double now) {
        if (handle.request_ != none)
            router_->on_client_disconnected(now, handle.request_);
    });
}

bool dispatcher::is_released(request_handle &handle) {
    const std::lock_guard guard(lock_);
    return handle.request_ == none;
}

void dispatcher::reserve_references(std::span<const endpoint_info> entries) {
    for (const auto &entry : entries)
        references_.grow_to(entry.endpoint);
}

void dispatcher::endpoints_updated(endpoint_update_kind kind, std::span<const endpoint_info> entries) {
    report_event([&](double now) {
        reserve_references(entries);
        router_->on_endpoints_updated(now, kind, entries);
    });
}

void dispatcher::apply(std::shared_ptr<const configuration> next, std::span<const endpoint_info> entries) {
    report_event([&](double now) {
        reserve_references(entries);
        configuration_ = std::move(next);
        router_->update_settings(now, configuration_->router);
        router_->on_endpoints_updated(now, endpoint_update_kind::snapshot, entries);
    });
}

void dispatcher::health_check_finished(endpoint_index endpoint, std::optional<bool> healthy) {
    report_event([&](double now) {
        --references_[endpoint];
        if (healthy)
            router_->on_health_check_finished(now, endpoint, *healthy);
    });
}

bool dispatcher::is_referenced(endpoint_index endpoint) {
    const std::lock_guard guard(lock_);
    return references_.contains(endpoint) && references_[endpoint] > 0;
}

std::size_t dispatcher::count_avoided(std::span<const endpoint_index> endpoints) {
    const std::lock_guard guard(lock_);
    return static_cast<std::size_t>(
        std::count_if(endpoints.begin(), endpoints.end(),
                      [&](endpoint_index each) { return router_->avoids_endpoint(each); }));
}

subset_view dispatcher::subset() {
    const std::lock_guard guard(lock_);
    return router_->subset();
}

void dispatcher::run_timer(const std::function<bool()> &should_stop) {
    while (!should_stop()) {
        double due;
        {
            const std::lock_guard guard(lock_);
            due = wake_at_;
            if (due <= now())
                wake_at_ = now() + max_timer_wait; // unless the router sets it earlier
        }
        if (const double wait = due - now(); wait > 0) {
            wait_on({}, std::min(wait, max_timer_wait));
            continue;
        }
        try {
            report_event([&](double now) { router_->on_timer(now); });
        } catch (const std::bad_alloc &) { // the next call continues the work
        }
    }
}

} // namespace harrierpass::proxy
