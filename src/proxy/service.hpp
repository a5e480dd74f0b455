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

    [[nodiscard]] const counters &counts() const { return counters_; }

    // The address that clients connect to.
    [[nodiscard]] address at() const { return at_; }

    // The address of the control server; of size 0 where there is none.
    [[nodiscard]] address control_address() const { return control_ ? control_->at() : address{}; }

    // Slots that endpoints ever held at a time.
    [[nodiscard]] std::size_t endpoint_slots() const { return discovery_.slot_count(); }

    log &lines() { return log_; }

private:
    bool over() const { return over_.load(); }
    void connect_components();
    tcp_socket take_over(const address &listen_address);
    tcp_socket listen(const address &listen_address);
    void start_threads(bool inherited);
    void accept_clients(bool inherited);
    void start_control_server();
    control_handlers make_control_handlers();
    void start_hot_restart();
    std::vector<peer_message> state_for_successor();
    void apply_peer_message(const peer_message &message);
    void set_disabled(bool disabled);
    bool broadcast_if(bool done, const peer_message &message);
    void apply_peer_usage(const shared_usage &used);
    shared_usage local_usage();
    stop_schedule schedule();
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
