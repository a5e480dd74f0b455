// SPDX-License-Identifier: Apache-2.0
// The coordinator of the router's modules: it applies events in order, moves requests through their life, and
// emits actions. It decides nothing that one of the modules can decide alone.
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

/// The router that make_router() makes. It owns the state of all modules.
///
/// Invariants: a request gets one final action (reject_request or fail_request, unless its response was
/// relayed), and release_request once no attempt of it is open. Random draws have a fixed order.
class request_router final : public router {
public:
    /// The first action is a timer. `seed` determines the random draws; `now` in seconds.
    request_router(const router_settings &settings, std::uint32_t seed, double now);
    /// Neither copied nor moved, as its modules refer to each other.
    request_router(const request_router &) = delete;
    request_router &operator=(const request_router &) = delete;
    request_router(request_router &&) = delete;
    request_router &operator=(request_router &&) = delete;
    ~request_router() override = default;

    /// Cancels attempts at endpoints that the update ejected, and dispatches queued requests.
    void on_endpoints_updated(double now, endpoint_update_kind kind,
                              std::span<const endpoint_info> entries) override;
    /// Dispatches, queues or rejects the request.
    void on_request(double now, const request_info &info) override;
    /// Updates the endpoint, then finishes or retries the request. An attempt that has ended is ignored.
    void on_attempt_finished(double now, request_index id, attempt_number number, outcome result, bool over,
                             bool fetched, const load_report &report) override;
    /// The attempt no longer counts in flight, and the request no longer expires.
    void on_response_started(double now, request_index id, bool fetched) override;
    /// The attempt counts in flight from now on.
    void on_request_body_sent(double now, request_index id, double deadline) override;
    /// Releases the request once its attempts have ended.
    void on_client_disconnected(double now, request_index id) override;
    /// Reinstates the endpoint, or extends its ejection.
    void on_health_check_finished(double now, endpoint_index endpoint, bool answered,
                                  const load_report &report) override;
    /// Polls for endpoints, checks their health, expires deadlines, and sets the next timer.
    void on_timer(double now) override;
    /// Takes over all settings; what was learned stays.
    void update_settings(double now, const router_settings &settings) override;
    /// 0 once the request or its endpoint may no longer be used.
    [[nodiscard]] double attempt_write_deadline(request_index id) const override;
    /// Ejected, and mass ejection does not override that.
    [[nodiscard]] bool avoids_endpoint(endpoint_index endpoint) const override;
    /// By its health alone.
    [[nodiscard]] bool is_ejected(endpoint_index endpoint) const override;

private:
    /// Returns the event that follows.
    using handler = request_event (request_router::*)(request_index);
    using request_transition = transition<request_state, request_event, handler>;
    static const std::array<request_transition, 15> transitions;

    /// Takes over settings; what was learned stays.
    void configure(const router_settings &settings);
    /// Fills the record of a new request. Draws from the random source.
    void initialize(request_record &request, const request_info &info);
    /// Gives the request its position on the ring; one without a key gets a random position.
    void place_on_ring(request_record &request, const request_info &info);
    /// Applies an event and those that follow from it.
    void apply_request_event(request_index id, request_event event);
    /// Requests whose latest attempt is at the endpoint are attempted elsewhere.
    void cancel_attempts_at(endpoint_index endpoint);
    /// Asks for the endpoint list, if that is due.
    void poll_endpoints();
    /// Looks for silent endpoints, finished warm-ups and due health checks.
    void check_endpoints();
    /// Ends requests, and waits, whose deadline has passed.
    void expire_deadlines();
    /// Dispatches the first requests in the queue, as capacity may have become free.
    void dispatch_queued();
    /// Sends the request to the endpoint.
    void start_attempt(request_index id, endpoint_index to);
    /// The event of a request whose attempt ended. `over`: the request has its final response.
    static request_event event_for(const request_record &request, outcome result, bool over);

    // Handlers of the transitions, in request_lifecycle.cpp.

    /// Rejects a request over quota where capacity is short.
    request_event admit(request_index id);
    /// Selects an endpoint and starts an attempt there.
    request_event dispatch(request_index id);
    /// Lets the request wait for capacity.
    request_event enqueue(request_index id);
    /// Gives the final answer: rejected where the client may retry, failed elsewhere.
    request_event finish(request_index id);
    /// Frees the index of a finished request, once its attempts have ended.
    request_event release(request_index id);
    /// Attempts the request again, within the retry budget, where a second execution is allowed.
    request_event retry(request_index id);
    /// Attempts the request again, as it was not executed.
    request_event retry_unexecuted(request_index id);
    /// Cancels the latest attempt; its end leads to a retry.
    request_event retry_elsewhere(request_index id);
    /// Sends the request to the origin, or lets it wait for another request's fetch of its key.
    request_event fetch_from_origin(request_index id);
    /// Nothing is to be done until the attempt ends.
    request_event wait_for_attempt(request_index id);

    double now_;           // of the event being applied, s
    random_source random_; // before the members that draw from it
    deployment_constraints constraints_;
    std::vector<request_class> request_classes_;
    double over_quota_weight_share_ = 1;
    bool has_origin_kind_ = false;
    double deadline_margin_ = 0; // s; a request gets its final answer so long before its client gives up
    double last_check_at_;       // s
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
