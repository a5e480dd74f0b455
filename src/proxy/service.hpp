// SPDX-License-Identifier: Apache-2.0
// Builds the components of a proxy, connects them, and starts and stops their threads. Takes no routing
// decisions itself.
#pragma once

#include "proxy/client/listener.hpp"
#include "proxy/discovery/discovery_client.hpp"
#include "proxy/operations/control_server.hpp"
#include "proxy/operations/hot_restart.hpp"
#include "proxy/operations/request_id_file.hpp"
#include "proxy/operations/stop_schedule.hpp"
#include "proxy/program.hpp" // run(), for files that include only this header
#include "proxy/upstream/health_checker.hpp"

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <ostream>
#include <vector>

namespace harrierpass::proxy {

// One running proxy. Public functions are called by the main thread unless stated otherwise.
class service {
public:
    // Starts the proxy. Throws parse_error or std::system_error if it cannot start.
    service(configuration settings, std::ostream &log_output, log_level min_level,
            router_factory make_router = subsets::make_subset_router);
    ~service(); // stops without a grace period if it is still running
    service(const service &) = delete;
    service &operator=(const service &) = delete;

    // Performs a planned stop by the deployment's schedule (stop_schedule.hpp): continues to serve, then
    // closes idle connections, responds to the remaining requests, and returns.
    void stop() { end(schedule()); }

    // Like stop(), but connections are closed after `grace` seconds.
    void end(double grace);

    // Applies the fields of a new configuration that may change while the proxy runs. Throws parse_error and
    // changes nothing if the configuration cannot be applied.
    void reload(const configuration &next);

    // The process counters. Any thread.
    [[nodiscard]] const counters &counts() const { return counters_; }

    // The address on which clients are accepted.
    [[nodiscard]] address listen_address() const { return listen_address_; }

    // The address of the control server; its size is 0 if there is none.
    [[nodiscard]] address control_address() const {
        return control_ ? control_->listen_address() : address{};
    }

    // The largest number of endpoint slots in use at a time.
    [[nodiscard]] std::size_t endpoint_slots() const { return discovery_.slot_count(); }

    // The log of the proxy. Any thread.
    log &logger() { return log_; }

private:
    // Whether the threads have to stop.
    bool stopped() const { return stopped_.load(); }
    // Sets the callbacks of the dispatcher and of the discovery client.
    void connect_components();
    // Takes over the listening socket and the operators' state from the running processes of this proxy.
    // Returns an empty socket if no process hands one over; the stored state applies all the same.
    tcp_socket take_over(const address &configured_address);
    // Applies the state that a predecessor has handed over.
    void apply_handed_over_state(const std::vector<peer_message> &state);
    // The same for a predecessor that does not know the message `operator_state`: its state is complete, and
    // newer than what is stored.
    void apply_state_of_older_release(const std::vector<peer_message> &state);
    // Shares the request ids with the other processes of this proxy that use the directory.
    void share_request_ids(const std::string &directory);
    // Opens a listening socket; retries for listen_timeout. Throws std::system_error.
    tcp_socket listen(const address &configured_address);
    // Starts all threads. `inherited`: the listening socket was taken over from another process.
    void start_threads(bool inherited);
    // Body of the accepting thread. A successor accepts clients once it has an endpoint list.
    void accept_clients(bool inherited);
    // Starts the control server, if one is configured. Throws parse_error or std::system_error.
    void start_control_server();
    // Handlers for the requests to the control server.
    control_handlers make_control_handlers();
    // Starts the exchange of messages with other processes of this proxy, if hot restart is configured.
    void start_hot_restart();
    // Carries out a command of an operator at this process and at the others. Returns its result.
    bool carry_out(const std::function<bool()> &command);
    // The operators' state as messages, for processes that do not know the message `operator_state`.
    std::vector<peer_message> state_messages();
    // The commands that lead to that state, for such processes.
    std::vector<peer_message> all_commands();
    // Merges the state of such a process that has responded late: commands that this process knows are newer.
    void merge_older_state(const std::vector<peer_message> &state);
    // The commands since the last call, for such processes.
    std::vector<peer_message> new_commands();
    // Merges the operators' state of another process into that of this one. A malformed text is logged.
    void merge_operator_state(const std::string &text);
    // Applies a message of another process of this proxy.
    void apply_peer_message(const peer_message &message);
    // Sends clients to other proxies (the health check fails, connections close), or accepts them again, as
    // operators last told one of the processes.
    void apply_draining();
    // Lowers the limits of this process by the usage of the other processes.
    void apply_peer_usage(const shared_usage &peers);
    // The usage of the shared limits by this process.
    shared_usage local_usage();
    // The schedule of a planned stop that begins now.
    stop_schedule schedule();
    // Stops according to the schedule and joins the threads. Idempotent.
    void end(const stop_schedule &stop);

    const configuration configuration_; // at startup; a reload does not change it
    log log_;
    counters counters_;
    buffer_pool buffers_;
    request_metrics metrics_;
    dispatcher dispatcher_;
    upstream_pool upstream_;
    discovery_client discovery_;
    health_checker health_checker_;
    std::unique_ptr<request_id_file> request_ids_; // null: the ids are not shared with other processes
    proxy_context context_;
    address listen_address_;
    std::atomic<bool> stopped_ = false;   // the threads have to stop
    std::atomic<bool> accepting_ = false; // the listener accepts clients
    std::mutex draining_lock_;            // held while the state of draining is read and put into force
    operator_overrides announced_;        // what new_commands() has returned; hot-restart thread
    std::optional<listener> listener_;
    std::optional<hot_restart> hot_restart_; // empty: no handover to or from another process
    std::optional<control_server> control_;
    std::optional<joined_thread> timer_thread_, discovery_thread_, acceptor_thread_;
};

} // namespace harrierpass::proxy
