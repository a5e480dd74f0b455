// SPDX-License-Identifier: Apache-2.0
// The proxies of a run on sockets: processes of their own, or embedded as threads of this one. Starts them,
// asks each until it is ready, carries out faults of processes, and collects what they report. Lives in the
// loop's thread.
#pragma once

#include "proxy/service.hpp"
#include "testbed/load/client_connections.hpp"
#include "testbed/processes/fleet_ports.hpp"
#include "testbed/processes/process.hpp"
#include "testbed/runs/socket_run.hpp"

#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace harrierpass::testbed {

// What a run on sockets lends its proxies; all of it outlives them.
struct proxy_fleet_context {
    const experiment &settings;
    const variant_settings &variant;
    const socket_options &options;
    loop &events;
    run_environment &environment;
    fleet_ports &ports; // what proxies connect to
    client_connections &clients;
    std::string folder; // for configurations and logs
};

class proxy_fleet {
public:
    proxy_fleet(const proxy_fleet_context &context, std::uint32_t seed);

    // Prepares the start of all but those that only a fault starts: hundreds of configurations take a while.
    void prepare_all();
    // Starts those.
    void start_all();
    // Whether all of these are ready.
    bool ready() const;
    // Ends all and waits; those that do not end in time are killed. Returns the s of CPU they have used.
    double end_all();

    // Faults of the experiment.
    void kill(index number, bool begins);
    void pause(index number, bool begins);
    void restart(index number, const fault_settings &fault); // restart, end, late
    void reload(index number);                               // signals in series

    // Where clients reach it; nothing while it is not ready or stops.
    std::optional<address> reachable_at(index number) const;
    // Whether it was told to end with the run.
    bool ends(index number) const { return proxies_[number].ends; }
    index size() const { return static_cast<index>(proxies_.size()); }

    std::uint64_t crashes() const { return crashes_; }
    // Planned stops by faults, and those of them that did not end before the kill.
    double stops() const { return stops_; }
    double stops_killed() const { return stops_killed_; }
    // Invariants that proxies reported as violated, a line each.
    const std::vector<std::string> &violations() const { return violations_; }
    // A counter of the proxies that ran to their end, in all.
    double counter(const std::string &name) const;
    // By process, in the order of their numbers: s of CPU, kB resident at the end of the run.
    std::vector<double> cpu_times() const;
    std::vector<std::uint64_t> resident_kb() const;

private:
    struct proxy_state {
        std::unique_ptr<child_process> process;
        std::unique_ptr<std::ofstream> log;
        std::unique_ptr<proxy::service> service; // embedded
        std::optional<address> at;
        index killed = 0, paused = 0; // faults that hold
        bool ready = false;
        bool ends = false;            // with the run
        bool stopping = false;        // by a fault
        bool restart_pending = false; // killed, and due again before its end was seen
        index stops = 0;              // planned stops so far
        double restart_after = -1;    // s after its end; below 0: never
        std::uint64_t resident_kb = 0;
    };

    void start(index number, const std::string &listen);
    void prepare(index number, const std::string &listen);
    void start_prepared(index number);
    std::string path_of(index number) const; // of its files, without their endings
    void start_again(index number);
    void start_embedded(index number, const std::string &path);
    void create_process(index number, const std::string &path);
    std::vector<std::string> command_for(const std::string &path);
    std::vector<std::string> with_system_faults(std::vector<std::string> command);
    void on_exit(index number);
    void stop(index number);
    void check_ready(index number);
    void on_ready_checked(index number, bool ready);
    bool none_runs() const;

    proxy_fleet_context context_;
    loop &loop_;
    random_generator seeds_;
    std::map<std::string, double> counters_;
    std::uint64_t crashes_ = 0;
    double stops_ = 0, stops_killed_ = 0;
    std::vector<std::string> violations_;
    const std::vector<bool> late_; // by proxy: whether only a fault starts it
    std::unordered_map<index, std::shared_ptr<channel>> ready_checks_;
    std::vector<proxy_state> proxies_;
};

} // namespace harrierpass::testbed
