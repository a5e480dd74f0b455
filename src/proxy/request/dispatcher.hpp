// SPDX-License-Identifier: Apache-2.0
// The router behind one lock, with its clock and its timer. Threads report events; what the router decides is
// handed to the request that it names, whose thread is woken.
#pragma once

#include "net/threads.hpp"
#include "proxy/configuration.hpp"
#include "router/indexed_vector.hpp"
#include "subsets/subset_router.hpp"

#include <functional>
#include <mutex>
#include <optional>

namespace harrierpass::proxy {

// What the router wants of a request now.
struct routing_decision {
    enum class kind : std::uint8_t { queued, start_attempt, attempt_running, reject, fail };
    kind kind_of = kind::queued;
    endpoint_index endpoint = none; // start_attempt, attempt_running
    attempt_number attempt{};       // start_attempt, attempt_running
    bool cancel = false;            // attempt_running: the attempt is to be abandoned
    double retry_after = 0;         // reject: s that the client is to wait
};

// A request as its thread and the dispatcher know it. Protected by the dispatcher's lock; its thread reads it
// through the dispatcher alone.
class request_handle {
    friend class dispatcher;
    request_index request_ = none;
    pthread_t waiter_{};
    routing_decision decision_;
    attempt_number next_attempt_{};
    std::vector<endpoint_index> endpoints_used_; // of its attempts
};

// Makes the router; another one than the default is for comparisons only.
using router_factory = std::unique_ptr<router> (*)(const router_settings &settings, std::uint32_t seed,
                                                   double now);

// Every member may be called from any thread, except where it says otherwise.
class dispatcher {
public:
    dispatcher(std::shared_ptr<const configuration> settings,
               router_factory make_router = subsets::make_subset_router);

    // The configuration in force. It may change between two calls; a copy of the pointer stays as it is.
    std::shared_ptr<const configuration> configuration_in_force();
    // Puts another configuration and the snapshot that was read by it into force, in one step.
    void apply(std::shared_ptr<const configuration> next, std::span<const endpoint_info> entries);

    double now() const; // Unix time, s; goes forward only

    // What the router asks of others. Neither may block. Set before events are reported.
    std::function<void(endpoint_index endpoint)> on_check_health;
    std::function<void()> on_watch_endpoints;

    // The following are for the request's own thread. A submitted request must be kept until is_released().

    // False, and nothing done, where another configuration is in force than the one the request was read by.
    bool submit(request_handle &handle, request_info request,
                const std::shared_ptr<const configuration> &read_by);
    // A start_attempt is handed out once; from then on it is attempt_running.
    routing_decision next_decision(request_handle &handle);
    // Until when (Unix time, s) the running attempt may be written, to its last byte; 0: no longer.
    double attempt_write_deadline(request_handle &handle);
    // `fetched`: the response came from the origin.
    void attempt_finished(request_handle &handle, outcome result, bool fetched);
    // As attempt_finished(), and the client has had its final response.
    void request_finished(request_handle &handle, outcome result);
    // The response is passed on to the client as it comes. `fetched`: from the origin.
    void response_started(request_handle &handle, bool fetched);
    // A long body has been sent; the time until the deadline starts.
    void request_body_sent(request_handle &handle, double deadline);
    void client_disconnected(request_handle &handle);
    // Whether the router has let go of the request.
    [[nodiscard]] bool is_released(request_handle &handle);

    // The endpoint list changed, or a poll for it failed.
    void endpoints_updated(endpoint_update_kind kind, std::span<const endpoint_info> entries);
    // `answered` is empty where the check was not made.
    void health_check_finished(endpoint_index endpoint, std::optional<bool> answered);
    // Whether an active request had an attempt there, or a health check runs.
    bool is_referenced(endpoint_index endpoint);
    // How many of these endpoints the router avoids.
    std::size_t count_avoided(std::span<const endpoint_index> endpoints);
    subset_view subset();                                 // which endpoints this proxy uses now
    void run_timer(const std::function<bool()> &stopped); // the timer thread's loop, until `stopped`

private:
    template <typename Event> void report_event(Event event);
    void deliver_actions(std::vector<endpoint_index> &health_checks, bool &watch_requested);
    void reserve_references(std::span<const endpoint_info> entries);

    const double unix_start_;
    const double steady_start_;
    std::mutex lock_; // protects what follows, and every request_handle
    std::shared_ptr<const configuration> configuration_;
    std::unique_ptr<router> router_;
    indexed_vector<request_index, request_handle *> requests_; // null: free
    std::vector<request_index> free_indices_;
    indexed_vector<endpoint_index, index> references_; // attempts of active requests, and health checks
    double wake_at_;                                   // Unix time, s; when the router's timer is due
};

} // namespace harrierpass::proxy
