// SPDX-License-Identifier: Apache-2.0
// The proxy as a whole: what a program makes, starts and ends.
#pragma once

#include "proxy/catalog.hpp"
#include "proxy/control.hpp"
#include "proxy/handover.hpp"
#include "proxy/listener.hpp"
#include "proxy/probe.hpp"
#include "proxy/stop_schedule.hpp"

namespace harrierpass::proxy {

class service {
public:
    // Throws bad_text or std::system_error where it cannot start.
    service(configuration given, std::ostream &log_to, level least,
            router_maker decides = subsets::make_chooser);
    ~service(); // a planned end without its grace, if none was asked for before

    // A planned stop by the schedule of the deployment (stop_schedule.hpp): serves as before, then closes
    // what is at rest, answers what is left, and returns. `grace`: s until connections close, in place of the
    // schedule's.
    void end() { end(schedule()); }
    void end(double grace);

    // Takes from a new configuration what may change under load: where discovery is. Throws bad_text, and
    // then all is as before.
    void reload(const configuration &next);

    const counters &counted() const { return counters_; }
    address at() const { return at_; }
    address door() const { return door_ ? door_->at() : address{}; } // the operators'; without size: none
    std::size_t server_places() const { return catalog_.places(); }  // records of servers, also of some gone
    log &lines() { return log_; }

private:
    bool over() const { return over_.load(); }
    stop_schedule schedule();
    void end(const stop_schedule &stop);
    void open_door();
    tcp_socket take_over(const address &where);
    void link_up();
    void operators_say(const news &what);
    bool share(bool done, const news &what);
    void leave_others(const in_use &used);
    in_use used();

    const configuration given_;
    log log_;
    counters counters_;
    buffer_pool buffers_;
    figures figures_;
    desk desk_;
    upstream upstream_;
    catalog catalog_;
    prober prober_;
    engine engine_;
    address at_;
    std::atomic<bool> over_ = false, takes_ = false;
    std::optional<listener> listener_;
    std::optional<handover> handover_;
    std::optional<control> door_;
    std::optional<joined_thread> timer_, follower_, acceptor_;
};

// The whole program: the configuration named by the first argument or by BALANCER_CONFIG, the level by
// BALANCER_LOG. SIGHUP: the file is read again. Counters are written on SIGUSR1 and at the end, which SIGTERM
// or SIGINT bring about.
int run(int arguments, char **values, router_maker decides = subsets::make_chooser);

} // namespace harrierpass::proxy
