// SPDX-License-Identifier: Apache-2.0
// The router behind one lock, with its clock and its timer. Threads report what they saw; what the router
// decides is handed to the query it names, and that query's thread is called out of its wait.
#pragma once

#include "net/threads.hpp"
#include "proxy/configuration.hpp"
#include "subsets/subset_router.hpp"

#include <functional>
#include <mutex>
#include <optional>

namespace harrierpass::proxy {

// What the router wants of a query now.
struct routing_decision {
    enum class kind : std::uint8_t { queued, start_attempt, attempt_running, reject, fail };
    kind kind_of = kind::queued;
    index endpoint = none;  // send, running
    index attempt = 0;      // its number: send, running
    bool cancel = false;    // running: give the execution up
    double retry_after = 0; // reject: advised wait, s
};

// A query as its thread and the desk both know it; the thread reads it through the desk.
class request_handle {
    friend class dispatcher;
    index request_ = none;
    pthread_t waiter_{};
    routing_decision decision_;
    index attempts_started_ = 0;
    std::vector<index> endpoints_used_; // the servers of its executions
};

// How a desk comes by its router; other than make_router() for comparisons only.
using router_factory = std::unique_ptr<router> (*)(const router_settings &given, std::uint32_t seed,
                                                   double now);

class dispatcher {
public:
    dispatcher(std::shared_ptr<const configuration> given,
               router_factory made_by = subsets::make_subset_router);

    // The configuration in force. It may change between two calls; a copy of the pointer stays as it is.
    std::shared_ptr<const configuration> configuration_in_force();
    // Another one is in force from now on, and the whole list as read by it: both in one step.
    void apply(std::shared_ptr<const configuration> next, std::span<const endpoint_info> entries);

    double now() const; // Unix time, s; goes forward only

    // What the router asks of others; neither may block.
    std::function<void(index server)> on_check_health;
    std::function<void()> on_watch_endpoints;

    // For the thread that sees the query through: every ticket that arrived must end as finished() says.
    // False, and nothing done, where another configuration is in force than the one it was read by.
    bool submit(request_handle &of, request_info from, const std::shared_ptr<const configuration> &by);
    routing_decision
    next_decision(request_handle &of); // a send is handed out once, and is running from then on
    // Until when (s) the execution that is running may be written, to its last byte; 0: not any more.
    double attempt_write_deadline(request_handle &of);
    void attempt_finished(request_handle &of, outcome result, bool fetched);
    void request_finished(request_handle &of,
                          outcome result); // as ended(), and the query has had its final answer
    void response_started(request_handle &of, bool fetched); // the answer goes on to the client as it comes
    void request_body_sent(request_handle &of,
                           double statement_end); // a long body is out; the client's time starts
    void client_disconnected(request_handle &of);
    bool is_released(request_handle &of);

    void endpoints_updated(endpoint_update_kind kind, std::span<const endpoint_info> entries);
    void health_check_finished(index server, std::optional<bool> answered); // empty: the probe was not made
    bool is_referenced(index server);                     // a query in hand was sent there, or a probe is out
    std::size_t count_avoided(std::span<const index> of); // of these servers, those that the router avoids
    subset_view subset();                                 // which servers this proxy uses now
    void run_timer(const std::function<bool()> &over);    // the timer's thread; until `over`

private:
    template <typename What> void report_event(What what);
    void deliver_actions(std::vector<index> &probes, bool &subscribes);
    void reserve_references(std::span<const endpoint_info> entries);

    const double unix_start_;
    const double steady_start_;
    std::mutex lock_;
    std::shared_ptr<const configuration> configuration_;
    std::unique_ptr<router> router_;
    std::vector<request_handle *> requests_; // by the router's index
    std::vector<index> free_indices_;
    std::vector<index> references_; // by server: sends of queries in hand, probes out
    double wake_at_;
};

} // namespace harrierpass::proxy
