// SPDX-License-Identifier: Apache-2.0
#include "testbed/runs/socket_run.hpp"

#include "net/threads.hpp"
#include "testbed/load/client_connections.hpp"
#include "testbed/processes/fleet_ports.hpp"
#include "testbed/runs/generator_lateness.hpp"
#include "testbed/runs/proxy_fleet.hpp"
#include "testbed/runs/run_folder.hpp"

#include <algorithm>
#include <map>
#include <sys/resource.h>
#include <utility>

namespace harrierpass::testbed {
namespace {

constexpr double ready_limit = 10;          // s for worker processes and proxies to be ready
constexpr double worker_end_limit = 6;      // s for worker processes to end
constexpr double idle_reconnect_time = 0.2; // s until an idle client whose connection ended comes back
constexpr double progress_period = 5;       // s between lines of progress

// As many descriptors as this process may have; too few are reported before anything starts.
void raise_descriptors(const experiment &settings, std::size_t links) {
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
    const std::size_t needed = fleet_ports::descriptors(settings, links);
    if (needed > limit.rlim_cur)
        throw experiment_error(settings.name + ": needs " + std::to_string(needed) +
                               " descriptors on sockets, and this process may have " +
                               std::to_string(limit.rlim_cur) +
                               " (ulimit -n); in virtual time it needs none");
}

class socket_run {
public:
    socket_run(const experiment &settings, const variant_settings &variant, std::uint32_t seed,
               const socket_options &options)
        : settings_(settings), variant_(variant), options_(options), folder_(options.logs),
          environment_(loop_.clock, settings, seed, socket_clock_slack, exact_clock()),
          ports_((raise_descriptors(settings, environment_.links.size()), loop_), environment_, {},
                 {options.self, folder_.path()}),
          clients_(loop_, settings, environment_.load_clients, environment_.event_observer,
                   settings.proxies.count),
          proxies_({settings, variant, options, loop_, environment_, ports_, clients_, folder_.path()},
                   seed + 3) {
        environment_.on_proxy_kill = [this](index proxy, bool begins) { proxies_.kill(proxy, begins); };
        environment_.on_proxy_pause = [this](index proxy, bool begins) { proxies_.pause(proxy, begins); };
        environment_.on_proxy_signals = [this](index proxy) { proxies_.reload(proxy); };
        environment_.on_proxy_restart = [this](index proxy, const fault_settings &fault) {
            proxies_.restart(proxy, fault);
        };
        clients_.link_impaired_since = [this](index proxy, double since) {
            return environment_.client_link_was_faulty(proxy, since);
        };
    }

    run_result run() {
        const double began = steady_now();
        await_workers();
        const double start_time = start_proxies();
        open_idle_connections();
        await_load_end();
        const bool finished = environment_.done();
        const double end_began = loop_.clock.now();
        const double proxy_cpu = proxies_.end_all();
        const double end_time = loop_.clock.now() - end_began;
        end_workers();
        run_result made = environment_.result(variant_, "sockets");
        if (!finished)
            made.void_because = "queries were still open long after the load";
        add_rules(made);
        add_proxy_metrics(made, proxy_cpu, start_time, end_time);
        add_datagram_metrics(made);
        made.wall = steady_now() - began;
        void_if_generator_was_late(made, settings_);
        return made;
    }

private:
    // The machine's clock at the moment, where parts of the model are other processes.
    std::function<double()> exact_clock() {
        if (settings_.fleet.hosts == 0 && !settings_.list.own_process)
            return {};
        return [this] { return loop_.precise_now(); };
    }

    void await_workers() {
        const double limit = loop_.clock.now() + ready_limit;
        loop_.run([&] { return ports_.ready() || loop_.clock.now() > limit; });
        if (!ports_.ready())
            throw experiment_error("a process of the world was not ready in time; see its log with --logs");
    }

    // Starts proxies and load; returns the s that all proxies took to be ready. Where proxies start with the
    // load it waits for none of them, nor do the faults of its first moment, and some proxies may wait for
    // their turn at the list.
    double start_proxies() {
        const bool with_load = settings_.proxies.start_with_load;
        proxies_.prepare_all();
        loop_.run_due_timers(); // the clock stood still meanwhile
        const double began = loop_.clock.now();
        if (with_load)
            environment_.start();
        proxies_.start_all();
        const double limit = began + (with_load ? settings_.length : ready_limit);
        loop_.run([&] { return proxies_.ready() || loop_.clock.now() > limit; });
        if (!proxies_.ready() && !with_load)
            throw experiment_error("a proxy was not ready in time; see its log with --logs");
        const double time = loop_.clock.now() - began;
        if (!with_load)
            environment_.start();
        return time;
    }

    void open_idle_connections() {
        for (index proxy = 0; proxy < proxies_.size(); ++proxy)
            for (index client = 0; client < settings_.load.idle_connections; ++client)
                keep_idle(proxy, client);
    }

    // Idle clients: every second one has sent no request at all. They come back when their connection ends.
    void keep_idle(index proxy, index client) {
        if (environment_.done() || proxies_.ends(proxy))
            return;
        const auto reconnect = [this, proxy, client] {
            loop_.clock.after(idle_reconnect_time, [this, proxy, client] { keep_idle(proxy, client); });
        };
        const auto at = proxies_.reachable_at(proxy);
        if (!at)
            return reconnect();
        const auto on =
            std::make_shared<channel>(loop_, start_dial(*at), http_reader::message_kind::response);
        idle_[{proxy, client}] = on;
        if (!on->open())
            return reconnect();
        on->on_message = [](const auto &, const http_reader &) {};
        on->on_end = [reconnect](const auto &, channel::ending) { reconnect(); };
        on->start(true);
        if (client % 2 == 1)
            on->send("GET /_health HTTP/1.1\r\nHost: lab\r\n\r\n");
    }

    void await_load_end() {
        const double end = loop_.clock.now() + settings_.length + socket_wind_down_time;
        double reported = loop_.clock.now();
        loop_.run([&] {
            if (options_.progress != nullptr && loop_.clock.now() - reported > progress_period) {
                reported = loop_.clock.now();
                report_progress();
            }
            return environment_.done() || loop_.clock.now() > end;
        });
    }

    void report_progress() const {
        const auto &clients = environment_.load_clients;
        *options_.progress << "  " << settings_.name << ' ' << variant_.name << ": "
                           << static_cast<int>(loop_.clock.now() - clients.began()) << " of "
                           << settings_.length << " s, " << clients.operations() << " queries" << std::endl;
    }

    // What worker processes have seen to the last is checked, too.
    void end_workers() {
        ports_.end();
        const double limit = loop_.clock.now() + worker_end_limit;
        loop_.run([&] { return ports_.ended() || loop_.clock.now() > limit; });
        environment_.events.close_source(environment_.own_events);
        environment_.events.deliver_ready();
        environment_.checker.finish();
    }

    void add_rules(run_result &made) const {
        const auto &violations = proxies_.violations();
        made.rules.emplace_back("crashed", proxies_.crashes() + ports_.deaths());
        made.rules.emplace_back("invariants", violations.size());
        made.histories.insert(made.histories.end(), violations.begin(), violations.end());
    }

    // Maps what the proxies came to to the names that results have.
    void add_proxy_metrics(run_result &made, double cpu, double start_time, double end_time) const {
        const auto requests = static_cast<double>(std::max<std::uint64_t>(1, made.queries));
        made.fleet.emplace_back("stops", proxies_.stops());
        made.fleet.emplace_back("stops_killed", proxies_.stops_killed());
        std::uint64_t max_resident = 0;
        for (const std::uint64_t resident : proxies_.resident_kb()) {
            max_resident = std::max(max_resident, resident);
            made.proxy_mb.push_back(static_cast<double>(resident) / 1024);
        }
        std::vector<double> cpu_times = proxies_.cpu_times();
        made.proxy_cpu = cpu_times;
        std::sort(cpu_times.begin(), cpu_times.end());
        made.proxies = {{"cpu_ns_a_query", static_cast<std::uint64_t>(cpu * 1e9 / requests)},
                        {"resident_kb", max_resident},
                        {"client_dials", clients_.connects()}};
        // What nobody but a proxy sees, from the counters of those that ran to the end.
        for (const auto &[counter, name] :
             {std::pair("server_dials_failed", "dials_failed"), std::pair("probes_sent", "probes"),
              std::pair("lists_lost", "lists_lost")})
            made.fleet.emplace_back(name, proxies_.counter(counter));
        made.fleet.emplace_back("all_up_s", start_time);
        made.fleet.emplace_back("all_ended_s", end_time);
        made.fleet.emplace_back("proxy_cpu_s_p50", cpu_times.empty() ? 0 : cpu_times[cpu_times.size() / 2]);
        made.fleet.emplace_back("proxy_cpu_s_most", cpu_times.empty() ? 0 : cpu_times.back());
        made.fleet.emplace_back("proxy_mb_most", static_cast<double>(max_resident) / 1024);
    }

    void add_datagram_metrics(run_result &made) const {
        const auto *const datagrams = ports_.datagrams();
        if (datagrams == nullptr)
            return;
        const auto requests = static_cast<double>(std::max<std::uint64_t>(1, made.queries));
        const auto &counts = datagrams->counters();
        made.fleet.emplace_back("datagrams_a_query", static_cast<double>(counts.sent) / requests);
        made.fleet.emplace_back("datagram_bytes_a_query", static_cast<double>(counts.bytes) / requests);
    }

    const experiment &settings_;
    const variant_settings &variant_;
    const socket_options &options_;
    loop loop_;
    run_folder folder_; // the processes' own, which are gone before it
    run_environment environment_;
    fleet_ports ports_;
    client_connections clients_;
    std::map<std::pair<index, index>, std::shared_ptr<channel>> idle_; // by proxy and client
    proxy_fleet proxies_;
};

} // namespace

run_result run_on_sockets(const experiment &settings, const variant_settings &variant, std::uint32_t seed,
                          const socket_options &options) {
    return socket_run(settings, variant, seed, options).run();
}

} // namespace harrierpass::testbed
