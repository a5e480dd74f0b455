// SPDX-License-Identifier: Apache-2.0
// The coordinator of the router's modules: applies events in order, runs the state machine of requests, and
// emits actions. Decisions that a single module can make are left to that module.
#pragma once

#include "router/candidate_selection.hpp"
#include "router/endpoint_fleet.hpp"
#include "router/endpoint_refresh.hpp"
#include "router/hot_keys.hpp"
#include "router/origin_protection.hpp"
#include "router/quota.hpp"
#include "router/random_source.hpp"
#include "router/request_lifecycle.hpp"
#include "router/request_queue.hpp"
#include "router/request_table.hpp"
#include "router/retry_policy.hpp"
#include "router/router.hpp"
#include "router/state_table.hpp"

#include <array>

namespace harrierpass {

/// The implementation that make_router() creates. It owns the state of all modules.
///
/// Invariants: a request gets at most one final action, reject_request or fail_request, and none if its
/// response was relayed or its client disconnected. It gets release_request when none of its attempts is
/// open. Random draws have a fixed order.
class request_router final : public router {
public:
    /// Emits set_timer as the first action. `seed` determines the random draws; `now` is in seconds.
    request_router(const router_settings &settings, std::uint32_t seed, double now);
    /// Not copyable or movable, because the modules hold references to each other.
    request_router(const request_router &) = delete;
    request_router &operator=(const request_router &) = delete;
    request_router(request_router &&) = delete;
    request_router &operator=(request_router &&) = delete;
    ~request_router() override = default;

    /// Updates the endpoints, cancels attempts at those that the update ejected, and dispatches queued
    /// requests.
    void on_endpoints_updated(double now, endpoint_update_kind kind,
                              std::span<const endpoint_info> entries) override;
    /// Dispatches, queues or rejects the request.
    void on_request(double now, const request_info &info) override;
    /// Updates the endpoint, then finishes or retries the request. Ignores an attempt that has already ended.
    void on_attempt_finished(double now, request_index id, attempt_number number, outcome result,
                             bool response_complete, bool origin_fetched, const load_report &report) override;
    /// Stops counting the attempt as in flight, and removes the request's deadline.
    void on_response_started(double now, request_index id, bool origin_fetched) override;
    /// Stops counting the attempt towards the silence of its endpoint.
    void on_response_paused(double now, request_index id) override;
    /// Starts counting the attempt as in flight, and sets the request's deadline.
    void on_request_body_sent(double now, request_index id, double deadline) override;
    /// Releases the request when its attempts have ended.
    void on_client_disconnected(double now, request_index id) override;
    /// Reinstates the endpoint or extends its ejection.
    void on_health_check_finished(double now, endpoint_index endpoint, bool responded,
                                  const load_report &report) override;
    /// Sets the next timer, polls the endpoint list, checks endpoints, expires deadlines, and dispatches
    /// queued requests.
    void on_timer(double now) override;
    /// Replaces all settings. Keeps the health and the measurements of endpoints.
    void update_settings(double now, const router_settings &settings) override;
    /// Returns 0 if the request is not in progress or its endpoint is no longer ready.
    [[nodiscard]] double attempt_write_deadline(request_index id) const override;
    /// True if the retry policy and the retry budget allow a retry, and another endpoint has capacity for it.
    [[nodiscard]] bool may_retry(double now, request_index id) const override;
    /// True if the endpoint is ejected and mass ejection does not override that.
    [[nodiscard]] bool avoids_endpoint(endpoint_index endpoint) const override;
    /// True if the endpoint is ejected, regardless of mass ejection.
    [[nodiscard]] bool is_ejected(endpoint_index endpoint) const override;

private:
    /// A handler of a transition; returns the next event.
    using transition_handler = request_event (request_router::*)(request_index);
    using request_transition = transition<request_state, request_event, transition_handler>;
    static const std::array<request_transition, 15> transitions;

    /// Passes settings to the modules other than the endpoint fleet.
    void configure(const router_settings &settings);
    /// Initializes the record of a new request. Draws from the random source.
    void initialize(request_record &request, const request_info &info);
    /// Sets the ring position of the request, at random if it has no key.
    void place_on_ring(request_record &request, const request_info &info);
    /// Applies an event and the events that its handlers return.
    void apply_request_event(request_index id, request_event event);
    /// Cancels open attempts at the endpoint whose requests may be retried at another endpoint.
    void cancel_attempts_at(endpoint_index endpoint);
    /// Polls the endpoint list if a poll is due.
    void poll_endpoints();
    /// Ejects silent endpoints, ends finished warm-ups, and starts due health checks.
    void check_endpoints();
    /// Rejects or fails requests whose deadline or queue deadline has passed.
    void expire_deadlines();
    /// Dispatches the first requests in the queue; called when capacity may have become free.
    void dispatch_queued();
    /// Starts an attempt of the request at the endpoint.
    void start_attempt(request_index id, endpoint_index endpoint);
    /// The event of a request whose attempt ended. `response_complete`: the request has its final response.
    static request_event event_for(const request_record &request, outcome result, bool response_complete);

    // Transition handlers, defined in request_lifecycle.cpp.

    /// Rejects a request over quota if the fleet has no spare capacity.
    request_event admit(request_index id);
    /// Selects an endpoint and starts an attempt at it.
    request_event dispatch(request_index id);
    /// Queues the request until an endpoint has capacity.
    request_event enqueue(request_index id);
    /// Rejects the request if the client may retry it, fails it otherwise.
    request_event reject_or_fail(request_index id);
    /// Frees the index of a finished request when its attempts have ended.
    request_event release(request_index id);
    /// Retries the request if the retry budget and its class allow a possible second execution.
    request_event retry(request_index id);
    /// Retries a request that was not executed.
    request_event retry_unexecuted(request_index id);
    /// Cancels the latest attempt; the request is retried when the attempt has ended.
    request_event cancel_for_retry(request_index id);
    /// Dispatches the request to the origin, or queues it until another request's fetch of its key has ended.
    request_event fetch_from_origin(request_index id);
    /// Does nothing; the end of the attempt is the next event.
    request_event await_attempt(request_index id);

    double now_;           // time of the current event, s
    random_source random_; // declared before the members whose initializers draw from it
    deployment_constraints constraints_;
    std::vector<request_class> request_classes_;
    double over_quota_weight_share_ = 1;
    bool has_origin_kind_ = false;
    double deadline_margin_ = 0; // time from the final response of a request to the client's deadline, s
    double last_check_at_;       // time of the latest endpoint check, s
    hot_keys hot_keys_;
    endpoint_refresh endpoint_refresh_;
    tenant_quotas quotas_;
    request_table requests_;
    request_timers timers_;
    request_queue queue_;
    fetch_coalescer fetches_;
    retry_budget retry_budget_;
    retry_policy retry_policy_;
    endpoint_fleet endpoints_;
    candidate_selection selection_;
};

} // namespace harrierpass
