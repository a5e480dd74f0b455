// SPDX-License-Identifier: Apache-2.0
// The proxy as a whole: what a program makes, starts and ends.
#pragma once

#include "proxy/client/listener.hpp"
#include "proxy/discovery/discovery_client.hpp"
#include "proxy/operations/control_server.hpp"
#include "proxy/operations/hot_restart.hpp"
#include "proxy/operations/stop_schedule.hpp"
#include "proxy/upstream/health_checker.hpp"

namespace harrierpass::proxy {

class service {
public:
    // Throws bad_text or std::system_error where it cannot start.
    service(configuration given, std::ostream &log_to, log_level least,
            router_factory decides = subsets::make_subset_router);
    ~service(); // a planned end without its grace, if none was asked for before

    // A planned stop by the schedule of the deployment (stop_schedule.hpp): serves as before, then closes
    // what is at rest, answers what is left, and returns. `grace`: s until connections close, in place of the
    // schedule's.
    void stop() { end(schedule()); }
    void end(double grace);

    // Takes from a new configuration what may change under load: where discovery is. Throws bad_text, and
    // then all is as before.
    void reload(const configuration &next);

    const counters &counts() const { return counters_; }
    address at() const { return at_; }
    address control_address() const {
        return control_ ? control_->at() : address{};
    } // the operators'; without size: none
    std::size_t endpoint_slots() const {
        return discovery_.slot_count();
    } // records of servers, also of some gone
    log &lines() { return log_; }

private:
    bool over() const { return over_.load(); }
    stop_schedule schedule();
    void end(const stop_schedule &stop);
    void start_control_server();
    tcp_socket take_over(const address &where);
    void start_hot_restart();
    void apply_peer_message(const peer_message &what);
    bool broadcast_if(bool done, const peer_message &what);
    void apply_peer_usage(const shared_usage &used);
    shared_usage local_usage();

    const configuration configuration_;
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
    std::atomic<bool> over_ = false, accepting_ = false;
    std::optional<listener> listener_;
    std::optional<hot_restart> hot_restart_;
    std::optional<control_server> control_;
    std::optional<joined_thread> timer_thread_, discovery_thread_, acceptor_thread_;
};

// The whole program: the configuration named by the first argument or by BALANCER_CONFIG, the level by
// BALANCER_LOG. SIGHUP: the file is read again. Counters are written on SIGUSR1 and at the end, which SIGTERM
// or SIGINT bring about.
int run(int arguments, char **values, router_factory decides = subsets::make_subset_router);

} // namespace harrierpass::proxy
