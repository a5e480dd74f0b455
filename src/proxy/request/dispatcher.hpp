// SPDX-License-Identifier: Apache-2.0
// Runs the router under one lock, with its clock and its timer. Threads report events; each decision of the
// router is stored with its request, and the request's thread is woken.
#pragma once

#include "net/threads.hpp"
#include "proxy/configuration.hpp"
#include "router/indexed_vector.hpp"
#include "subsets/subset_router.hpp"

#include <functional>
#include <mutex>
#include <optional>

namespace harrierpass::proxy {

// What the thread of a request has to do; `reject` and `fail` are final.
enum class decision_type : std::uint8_t { queued, start_attempt, attempt_running, reject, fail };

// The router's current decision on a request.
struct routing_decision {
    decision_type type = decision_type::queued;
    endpoint_index endpoint = none; // start_attempt, attempt_running
    attempt_number attempt{};       // start_attempt, attempt_running
    bool cancel = false;            // attempt_running: the attempt has to be canceled
    double retry_after = 0;         // reject: advised wait of the client, in seconds
};

// Links a request's thread and the dispatcher. Protected by the dispatcher's lock; the thread accesses it
// only through the dispatcher.
class request_handle {
    friend class dispatcher;
    request_index request_ = none;
    pthread_t thread_{};
    routing_decision decision_;
    attempt_number next_attempt_{};
    std::vector<endpoint_index> attempt_endpoints_; // one for each attempt
};

// Creates the router; one other than the default is used for comparisons only.
using router_factory = std::unique_ptr<router> (*)(const router_settings &settings, std::uint32_t seed,
                                                   double now);

// Every member may be called from any thread, except where noted otherwise.
class dispatcher {
public:
    // Starts the clock and creates the router with these settings.
    dispatcher(std::shared_ptr<const configuration> settings,
               router_factory make_router = subsets::make_subset_router);

    // Returns the configuration in force. It may change between two calls; the returned object does not.
    std::shared_ptr<const configuration> configuration_in_force();
    // Puts a configuration and the snapshot that was read with it into force in one step.
    void apply(std::shared_ptr<const configuration> next, std::span<const endpoint_info> entries);

    double now() const; // Unix time in seconds; monotonic

    // Callbacks for the router's actions. They must not block and must be set before events are reported.
    std::function<void(endpoint_index endpoint)> on_check_health;
    std::function<void()> on_watch_endpoints;

    // The following are called by the request's own thread. A submitted request must exist until
    // is_released().

    // Returns false, without any effect, if the request was parsed with a configuration that is no longer in
    // force.
    bool submit(request_handle &handle, request_info request,
                const std::shared_ptr<const configuration> &parsed_with);
    // Returns start_attempt only once; the next calls return attempt_running.
    routing_decision next_decision(request_handle &handle);
    // Returns the time (Unix time in seconds) by which the running attempt must be written completely; 0: it
    // may not be written any more.
    double attempt_write_deadline(request_handle &handle);
    // `from_origin`: the endpoint fetched the response from the origin.
    void attempt_finished(request_handle &handle, outcome result, bool from_origin);
    // Like attempt_finished(), for a client that has its final response.
    void request_finished(request_handle &handle, outcome result);
    // Reports that the response is being forwarded to the client while it arrives. `from_origin`: the
    // endpoint fetched it from the origin.
    void response_started(request_handle &handle, bool from_origin);
    // Reports that the endpoint has begun its response and pauses.
    void response_paused(request_handle &handle);
    // Returns whether the request would be retried if its running attempt failed now.
    bool may_retry(request_handle &handle);
    // Reports that a long body has been sent; the time until the deadline starts.
    void request_body_sent(request_handle &handle, double deadline);
    // Reports that the client disconnected: a queued request ends, an attempt in flight continues.
    void client_disconnected(request_handle &handle);
    // Returns whether the router has released the request.
    [[nodiscard]] bool is_released(request_handle &handle);

    // Reports a change of the endpoint list or a failed poll.
    void endpoints_updated(endpoint_update_kind kind, std::span<const endpoint_info> entries);
    // `healthy` is empty if the check was not made.
    void health_check_finished(endpoint_index endpoint, std::optional<bool> healthy);
    // Returns whether an active request had an attempt at the endpoint, or a health check of it is in flight.
    bool is_referenced(endpoint_index endpoint);
    // Returns how many of these endpoints the router avoids.
    std::size_t count_avoided(std::span<const endpoint_index> endpoints);
    // Returns the endpoints that this proxy uses now.
    subset_view subset();
    // Runs the timer until `should_stop` returns true; called by the timer thread.
    void run_timer(const std::function<bool()> &should_stop);

private:
    // Calls event(now) under the lock and delivers the router's actions before the next event.
    template <typename Event> void report_event(Event event);
    // Stores the router's actions with the requests and wakes their threads. Actions to be done without the
    // lock are returned in the parameters. The caller holds lock_.
    void deliver_actions(std::vector<endpoint_index> &health_checks, bool &watch_requested);
    // Allocates the reference counts of these endpoints. The caller holds lock_.
    void reserve_references(std::span<const endpoint_info> entries);

    const double unix_start_;
    const double steady_start_;
    std::mutex lock_; // protects the members below and every request_handle
    std::shared_ptr<const configuration> configuration_;
    std::unique_ptr<router> router_;
    indexed_vector<request_index, request_handle *> requests_; // null: unused index
    std::vector<request_index> free_indices_;
    indexed_vector<endpoint_index, index> references_; // by attempts of active requests and health checks
    double wake_at_;                                   // Unix time in seconds; when the router's timer is due
};

} // namespace harrierpass::proxy
