// SPDX-License-Identifier: Apache-2.0
// The servers and the list service of a run as processes of their own: one worker process for each host of
// servers, one for the list service. Starts them, passes on what the script does to their models, kills and
// stops them, and answers for the origin, whose state is in this process.
#pragma once

#include "testbed/processes/worker_process.hpp"
#include "testbed/runs/run_environment.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace harrierpass::testbed {

// How workers become processes; without `self` all is in the caller's loop.
struct worker_options {
    std::string self;   // path of this program, which can be a worker
    std::string folder; // for their setups and logs
};

// Where the servers and the list service of a run are; fixed once it has begun. Texts are HOST:PORT.
struct fleet_addresses {
    std::vector<std::string> servers;                            // by number; the origin's is the last
    std::vector<address> lists;                                  // the list service's, by proxy
    std::map<std::pair<index, index>, std::string> server_links; // of links to servers: by proxy, server
};

// Used from the loop's thread only. `environment` and `addresses` outlive it.
class fleet_workers {
public:
    fleet_workers(loop &in, run_environment &environment, worker_options options,
                  const fleet_addresses &addresses);
    ~fleet_workers() = default;
    fleet_workers(const fleet_workers &) = delete;
    fleet_workers &operator=(const fleet_workers &) = delete;

    // Starts what the experiment puts into processes, and takes the run's events from them.
    void start();
    // Whether the experiment and the options put servers, or the list service, into processes.
    bool has_servers() const { return !options_.self.empty() && environment_.settings.fleet.hosts > 0; }
    bool has_list() const { return !options_.self.empty() && environment_.settings.list.own_process; }

    // A fault of a server's model begins or ends: its process is told.
    void apply_server_fault(const fault_settings &fault, index server, bool begins);
    // The list service is killed, or stopped; without a process of its own it is silent.
    void on_list_fault(bool kills, bool begins);

    bool ready() const; // all are up, but for those that a fault has killed
    void end();         // sends them SIGTERM
    bool ended() const;
    std::uint64_t deaths() const { return deaths_; } // of workers, by themselves

    std::function<void(index server)> on_server_changed;          // a model's state is another one
    std::function<void(index server, bool begins)> on_connection; // one came to a server, or is over

private:
    std::unique_ptr<worker_process> make_worker(const std::string &name, const std::string &setup);
    void start_servers();
    void start_list();
    std::string setup(const std::string &role, index host, bool cold) const;
    void write_setup(const std::string &name, const std::string &text) const;
    void on_worker_message(worker_process &worker, const worker_message &what);
    void on_server_worker_ready(worker_process &worker, index host);
    void on_host_fault(index host, fault_kind kind, bool begins);
    void kill_host(index host);
    void publish_list();
    void deliver_events();

    loop &loop_;
    run_environment &environment_;
    const worker_options options_;
    const fleet_addresses &addresses_;
    std::vector<std::unique_ptr<worker_process>> servers_; // by host
    std::unique_ptr<worker_process> list_;
    std::vector<index> killed_, stopped_; // by host: faults that hold it; the list's behind them
    std::uint64_t deaths_ = 0;
};

} // namespace harrierpass::testbed
