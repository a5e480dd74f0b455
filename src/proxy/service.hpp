// SPDX-License-Identifier: Apache-2.0
// The proxy as a whole: makes its parts, connects them, starts their threads and ends them. Decisions are the
// parts' own.
#pragma once

#include "proxy/client/listener.hpp"
#include "proxy/discovery/discovery_client.hpp"
#include "proxy/operations/control_server.hpp"
#include "proxy/operations/hot_restart.hpp"
#include "proxy/operations/stop_schedule.hpp"
#include "proxy/program.hpp" // run(), for those that include this file for it
#include "proxy/upstream/health_checker.hpp"

#include <atomic>
#include <optional>
#include <ostream>
#include <vector>

namespace harrierpass::proxy {

// One running proxy. Public functions are the main thread's, unless they say otherwise.
class service {
public:
    // Starts the proxy. Throws parse_error or std::system_error where it cannot start.
    service(configuration settings, std::ostream &log_output, log_level min_level,
            router_factory make_router = subsets::make_subset_router);
    ~service(); // stops without a grace period, unless it was stopped before
    service(const service &) = delete;
    service &operator=(const service &) = delete;

    // A planned stop by the deployment's schedule (stop_schedule.hpp): serves as before, then closes idle
    // connections, answers what is left, and returns.
    void stop() { end(schedule()); }

    // As stop(), but connections close after `grace` seconds.
    void end(double grace);

    // Takes from a new configuration what may change while the proxy runs. Throws parse_error, and then
    // nothing has changed.
    void reload(const configuration &next);

    // The process counters. Any thread.
    [[nodiscard]] const counters &counts() const { return counters_; }

    // The address that clients connect to.
    [[nodiscard]] address at() const { return at_; }

    // The address of the control server; of size 0 where there is none.
    [[nodiscard]] address control_address() const {
        return control_ ? control_->listen_address() : address{};
    }

    // Slots that endpoints ever held at a time.
    [[nodiscard]] std::size_t endpoint_slots() const { return discovery_.slot_count(); }

    // The log that the proxy writes. Any thread.
    log &lines() { return log_; }

private:
    // Whether the threads are to end.
    bool over() const { return over_.load(); }
    // Connects the callbacks of dispatcher and discovery client.
    void connect_components();
    // The listening socket of the process that serves, with its operators' state; empty: none hands it over.
    tcp_socket take_over(const address &listen_address);
    // A listening socket of its own; retries for a while. Throws std::system_error.
    tcp_socket listen(const address &listen_address);
    // Starts all threads. `inherited`: the listening socket is another process's.
    void start_threads(bool inherited);
    // The accepting thread. A successor accepts clients once it has a list.
    void accept_clients(bool inherited);
    // Starts the control server, if one is configured. Throws parse_error or std::system_error.
    void start_control_server();
    // What the requests of operators do.
    control_handlers make_control_handlers();
    // Starts to exchange messages with other processes, if that is configured.
    void start_hot_restart();
    // What a successor has to know: operators' overrides and what this process uses.
    std::vector<peer_message> state_for_successor();
    // Carries out what another process of this proxy was told.
    void apply_peer_message(const peer_message &message);
    // Asks clients to go elsewhere, or accepts them again.
    void set_disabled(bool disabled);
    // Sends the message to the other processes if `done`, which it returns.
    bool broadcast_if(bool done, const peer_message &message);
    // Lowers this process's limits by what others use.
    void apply_peer_usage(const shared_usage &used);
    // What this process uses of the shared limits.
    shared_usage local_usage();
    // The schedule of a stop that begins now.
    stop_schedule schedule();
    // Stops by the schedule and waits for the threads. Idempotent.
    void end(const stop_schedule &stop);

    const configuration configuration_; // that it was started with
    log log_;
    counters counters_;
    buffer_pool buffers_;
    request_metrics metrics_;
    dispatcher dispatcher_;
    upstream_pool upstream_;
    discovery_client discovery_;
    health_checker health_checker_;
    proxy_context context_;
    address at_;
    std::atomic<bool> over_ = false;      // the threads are to end
    std::atomic<bool> accepting_ = false; // clients are accepted
    std::optional<listener> listener_;
    std::optional<hot_restart> hot_restart_; // empty: another process can neither take over nor hand over
    std::optional<control_server> control_;
    std::optional<joined_thread> timer_thread_, discovery_thread_, acceptor_thread_;
};

} // namespace harrierpass::proxy
