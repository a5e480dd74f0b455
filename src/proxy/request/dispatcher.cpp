// SPDX-License-Identifier: Apache-2.0
#include "proxy/request/dispatcher.hpp"

#include <algorithm>
#include <chrono>

namespace harrierpass::proxy {
namespace {

double unix_now() {
    return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

constexpr double longest_sleep = 0.25; // s; after it the timer looks whether it is to end

} // namespace

dispatcher::dispatcher(std::shared_ptr<const configuration> given, router_factory made_by)
    : unix_start_(unix_now()), steady_start_(steady_now()), configuration_(std::move(given)),
      router_(made_by(configuration_->router, configuration_->seed, now())), wake_at_(unix_start_) {}

std::shared_ptr<const configuration> dispatcher::configuration_in_force() {
    const std::lock_guard hold(lock_);
    return configuration_;
}

double dispatcher::now() const {
    return unix_start_ + (steady_now() - steady_start_);
}

// Every report to the router goes through here: one clock, read under the lock, so that its time never runs
// back; what it decided is handed out before the next report.
template <typename What> void dispatcher::report_event(What what) {
    std::vector<index> probes;
    bool subscribes = false;
    {
        const std::lock_guard hold(lock_);
        what(now());
        deliver_actions(probes, subscribes);
    }
    for (const index server : probes)
        on_check_health(server);
    if (subscribes)
        on_watch_endpoints();
}

void dispatcher::deliver_actions(std::vector<index> &probes, bool &subscribes) {
    for (const action &act : router_->actions) {
        request_handle *const of = act.request != none ? requests_[act.request] : nullptr;
        switch (act.kind) {
        case action_kind::start_attempt:
            of->decision_ = {routing_decision::kind::start_attempt, act.endpoint, of->attempts_started_++,
                             false, 0};
            of->endpoints_used_.push_back(act.endpoint);
            ++references_[act.endpoint];
            break;
        case action_kind::cancel_attempt:
            of->decision_.cancel = of->decision_.attempt == act.attempt;
            break;
        case action_kind::reject_request:
            of->decision_.kind_of = routing_decision::kind::reject;
            of->decision_.retry_after = act.time;
            break;
        case action_kind::fail_request:
            of->decision_.kind_of = routing_decision::kind::fail;
            break;
        case action_kind::release_request:
            requests_[act.request] = nullptr;
            free_indices_.push_back(act.request);
            of->request_ = none;
            for (const index each : of->endpoints_used_)
                --references_[each];
            continue; // its thread is the one that reported its end
        case action_kind::check_health:
            probes.push_back(act.endpoint);
            ++references_[act.endpoint];
            continue;
        case action_kind::set_timer:
            wake_at_ = act.time;
            continue;
        case action_kind::watch_endpoints:
            subscribes = true;
            continue;
        }
        if (!pthread_equal(of->waiter_, pthread_self()))
            wake_thread(of->waiter_);
    }
    router_->actions.clear();
}

bool dispatcher::submit(request_handle &of, request_info from,
                        const std::shared_ptr<const configuration> &by) {
    bool taken = false;
    report_event([&](double now) {
        // Guards against an index into lists of names that are no longer in force.
        if (by != configuration_)
            return;
        taken = true;
        if (free_indices_.empty()) {
            free_indices_.push_back(static_cast<index>(requests_.size()));
            requests_.push_back(nullptr);
        }
        from.request = of.request_ = free_indices_.back();
        free_indices_.pop_back();
        of.waiter_ = pthread_self();
        requests_[from.request] = &of;
        router_->on_request(now, from);
    });
    return taken;
}

routing_decision dispatcher::next_decision(request_handle &of) {
    const std::lock_guard hold(lock_);
    const routing_decision now = of.decision_;
    if (now.kind_of == routing_decision::kind::start_attempt)
        of.decision_.kind_of = routing_decision::kind::attempt_running;
    return now;
}

double dispatcher::attempt_write_deadline(request_handle &of) {
    const std::lock_guard hold(lock_);
    const bool stands = of.request_ != none &&
                        of.decision_.kind_of == routing_decision::kind::attempt_running &&
                        !of.decision_.cancel;
    return stands ? router_->attempt_write_deadline(of.request_) : 0;
}

void dispatcher::attempt_finished(request_handle &of, outcome result, bool fetched) {
    report_event([&](double now) {
        const index execution = of.decision_.attempt;
        of.decision_.cancel = false;
        if (of.decision_.kind_of == routing_decision::kind::attempt_running)
            of.decision_ = {};
        if (of.request_ != none)
            router_->on_attempt_finished(now, of.request_, execution, result, result == outcome::completed,
                                         fetched);
    });
}

void dispatcher::request_finished(request_handle &of, outcome result) {
    report_event([&](double now) {
        if (of.request_ != none)
            router_->on_attempt_finished(now, of.request_, of.decision_.attempt, result, true, false);
    });
}

void dispatcher::response_started(request_handle &of, bool fetched) {
    report_event([&](double now) {
        if (of.request_ != none)
            router_->on_response_started(now, of.request_, fetched);
    });
}

void dispatcher::request_body_sent(request_handle &of, double statement_end) {
    report_event([&](double now) {
        if (of.request_ != none)
            router_->on_request_body_sent(now, of.request_, statement_end);
    });
}

void dispatcher::client_disconnected(request_handle &of) {
    report_event([&](double now) {
        if (of.request_ != none)
            router_->on_client_disconnected(now, of.request_);
    });
}

bool dispatcher::is_released(request_handle &of) {
    const std::lock_guard hold(lock_);
    return of.request_ == none;
}

void dispatcher::reserve_references(std::span<const endpoint_info> entries) {
    for (const auto &each : entries)
        if (each.endpoint >= references_.size())
            references_.resize(each.endpoint + 1);
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

void dispatcher::health_check_finished(index server, std::optional<bool> answered) {
    report_event([&](double now) {
        --references_[server];
        if (answered)
            router_->on_health_check_finished(now, server, *answered);
    });
}

bool dispatcher::is_referenced(index server) {
    const std::lock_guard hold(lock_);
    return server < references_.size() && references_[server] > 0;
}

std::size_t dispatcher::count_avoided(std::span<const index> of) {
    const std::lock_guard hold(lock_);
    return static_cast<std::size_t>(
        std::count_if(of.begin(), of.end(), [&](index each) { return router_->avoids_endpoint(each); }));
}

subset_view dispatcher::subset() {
    const std::lock_guard hold(lock_);
    return router_->subset();
}

void dispatcher::run_timer(const std::function<bool()> &over) {
    while (!over()) {
        double due;
        {
            const std::lock_guard hold(lock_);
            due = wake_at_;
            if (due <= now())
                wake_at_ = now() + longest_sleep; // should the router fail to say when
        }
        if (const double wait = due - now(); wait > 0) {
            wait_on({}, std::min(wait, longest_sleep));
            continue;
        }
        try {
            report_event([&](double now) { router_->on_timer(now); });
        } catch (const std::bad_alloc &) { // the next sweep finds what this one left
        }
    }
}

} // namespace harrierpass::proxy
