// SPDX-License-Identifier: Apache-2.0
#include "testbed/runs/virtual_run.hpp"

#include <algorithm>
#include <chrono>
#include <deque>

namespace harrierpass::testbed {
namespace {

constexpr double start_of_time = 1000;    // s; a time of 0 means "long ago" in the list
constexpr double clock_slack = 0.001;     // s; there is one clock
constexpr double start_up_time = 0.5;     // s in which the proxies get the list before the load begins
constexpr double wind_down_time = 60;     // s after the load in which the last requests end, at most
constexpr double restart_time = 0.05;     // s from a process's end to its successor's start, at least
constexpr std::size_t message_size = 300; // bytes of a request or a response on a link with a data rate
constexpr double advance_step = 0.25;     // s of virtual time between looks at the end and the progress
constexpr double progress_period = 2;     // s of real time between lines of progress

double wall_now() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

// Connects the environment, the links and the proxies of one run, and runs it.
class virtual_run {
public:
    virtual_run(const experiment &settings, const variant_settings &variant, std::uint32_t seed,
                const run_options &options)
        : began_(wall_now()), settings_(settings), variant_(variant), seed_(seed), options_(options),
          environment_(clock_, settings, seed, clock_slack), seeds_(seed + 3),
          links_(clock_, environment_.links, seed + 4) {
        environment_.checker.trace = options.trace;
        for (index i = 0; i < settings.proxies.count; ++i)
            add_proxy(i);
        stopped_by_fault_.resize(proxies_.size());
        connect_clients();
        connect_links();
        connect_list();
        connect_servers();
        connect_proxy_faults();
    }

    run_result run() {
        start();
        double reported = began_;
        const double end = clock_.now() + settings_.length + wind_down_time;
        while (!environment_.done() && clock_.now() < end) {
            clock_.advance(clock_.now() + advance_step, true);
            if (options_.progress != nullptr && wall_now() - reported > progress_period) {
                reported = wall_now();
                report_progress();
            }
        }
        return result();
    }

private:
    void add_proxy(index number) {
        proxies_.emplace_back(environment_, links_, variant_, number, seeds_.seed());
        proxies_.back().on_answer = [this, number](const client_request &request, reply with,
                                                   double retry_after, bool body_fits) {
            links_.carry({link_kind::client_proxy, 0, number}, direction::backward, settings_.network.latency,
                         message_size,
                         [this, op = request.op, attempt = request.attempt, with, retry_after, body_fits] {
                             environment_.load_clients.answered(op, attempt, with, retry_after, body_fits);
                         });
        };
    }

    void connect_clients() {
        auto &clients = environment_.load_clients;
        clients.is_reachable = [this](index proxy) { return proxies_[proxy].accepts(); };
        clients.send = [this](const client_request &request) {
            links_.carry({link_kind::client_proxy, 0, request.proxy}, direction::forward,
                         settings_.network.latency, message_size, [this, request] { deliver(request); });
        };
        clients.abandon = [this](const client_request &request) {
            proxies_[request.proxy].disconnect(request.op, request.attempt);
        };
    }

    void deliver(const client_request &request) {
        auto &proxy = proxies_[request.proxy];
        if (!proxy.up()) { // it ended meanwhile: the connection is refused
            environment_.checker.request_not_accepted(request.op, request.attempt);
            return environment_.load_clients.answered(request.op, request.attempt, reply::cut, 0, false);
        }
        if (request.end > clock_.now()) // delayed for longer, its client has gone
            proxy.receive(request);
    }

    void connect_links() {
        environment_.on_link = [this](const link_id &which, const link_conditions &before,
                                      const link_conditions &now) {
            links_.on_conditions_changed(which, before, now);
            if (which.kind == link_kind::proxy_server)
                proxies_[which.near].on_link_changed(which.far, before, now);
        };
    }

    void connect_list() {
        environment_.list.on_change = [this](const membership::member &changed) {
            if (settings_.list.form == list_service_kind::central)
                return environment_.service.on_list_changed();
            for (auto &proxy : proxies_)
                proxy.on_list_changed(changed);
        };
        environment_.on_list_stop = [this](bool begins) { environment_.list.set_silent(begins); };
        environment_.on_list_kill = [this](bool begins) {
            if (settings_.list.form == list_service_kind::agent)
                return environment_.list.set_silent(begins);
            if (!begins)
                return environment_.service.restart();
            environment_.service.stop();
            for (auto &proxy : proxies_)
                proxy.on_list_service_died();
        };
    }

    void connect_servers() {
        environment_.on_broken = [this](index server) { break_connections(server); };
        for (index i = 0; i < environment_.servers.size(); ++i)
            environment_.servers.at(i).on_change = [this, i] { // a warming server that was overloaded
                if (!environment_.servers.at(i).up() &&
                    environment_.list.actual(i).state != endpoint_state::removed)
                    break_connections(i);
            };
    }

    void break_connections(index server) {
        for (auto &proxy : proxies_)
            proxy.on_server_lost(server);
    }

    void connect_proxy_faults() {
        environment_.on_proxy_kill = [this](index proxy, bool begins) {
            if (begins && stopped_by_fault_[proxy]++ == 0)
                proxies_[proxy].kill();
            else if (!begins && --stopped_by_fault_[proxy] == 0)
                proxies_[proxy].start();
        };
        environment_.on_proxy_pause = [this](index proxy, bool begins) { proxies_[proxy].pause(begins); };
        environment_.on_proxy_restart = [this](index proxy, const fault_settings &fault) {
            restart(proxy, fault);
        };
    }

    void restart(index proxy, const fault_settings &fault) {
        if (fault.kind == fault_kind::proxy_late)
            return proxies_[proxy].start();
        if (stopped_by_fault_[proxy] > 0)
            return;
        proxies_[proxy].end(
            [this, proxy, again = fault.kind == fault_kind::proxy_restart, wait = fault.lasts] {
                if (again)
                    clock_.after(std::max(wait, restart_time), [this, proxy] {
                        if (stopped_by_fault_[proxy] == 0 && !proxies_[proxy].up())
                            proxies_[proxy].start();
                    });
            });
    }

    void start() {
        if (!settings_.proxies.start_with_load) {
            start_proxies();
            clock_.advance(clock_.now() + start_up_time, true);
        }
        environment_.start();
        if (settings_.proxies.start_with_load)
            start_proxies();
    }

    void start_proxies() {
        const std::vector<bool> late = late_starting_proxies(settings_);
        for (index i = 0; i < proxies_.size(); ++i)
            if (!late[i])
                proxies_[i].start();
    }

    void report_progress() const {
        const auto &clients = environment_.load_clients;
        *options_.progress << "  " << settings_.name << " seed " << seed_ << " " << variant_.name << ": "
                           << static_cast<int>(clock_.now() - clients.began()) << " of " << settings_.length
                           << " s, " << clients.operations() << " queries" << std::endl;
    }

    run_result result() const {
        run_result made = environment_.result(variant_, "virtual");
        proxy_counts sum;
        for (const auto &proxy : proxies_)
            sum.add(proxy.counts());
        add_counts(made, sum);
        made.wall = wall_now() - began_;
        if (!environment_.done())
            made.void_because = "queries were still open long after the load";
        return made;
    }

    // Maps the counts to the names that results have.
    static void add_counts(run_result &made, const proxy_counts &sum) {
        const double detected_p50 = sum.detection_time.percentile(50);
        const double detected_p99 = sum.detection_time.percentile(99);
        made.fleet.emplace_back("dials_failed", sum.connect_errors);
        made.fleet.emplace_back("probes", sum.health_checks);
        made.fleet.emplace_back("lists_lost", sum.polls_failed);
        made.fleet.emplace_back("found_p50_s", detected_p50);
        made.fleet.emplace_back("found_p99_s", detected_p99);
        made.proxies = {{"sent", sum.sent},
                        {"completed", sum.completed},
                        {"rejected", sum.rejected},
                        {"aborted", sum.aborted},
                        {"called_off", sum.canceled},
                        {"false_called_off", sum.false_canceled},
                        {"false_probes", sum.false_health_checks},
                        {"found", sum.faults_found},
                        {"found_after_p50_us", static_cast<std::uint64_t>(detected_p50 * 1e6)},
                        {"found_after_p99_us", static_cast<std::uint64_t>(detected_p99 * 1e6)},
                        {"given_up", sum.timed_out},
                        {"resets", sum.resets},
                        {"connect_errors", sum.connect_errors},
                        {"errors", sum.errors},
                        {"queue_full", sum.overloaded},
                        {"probes", sum.health_checks},
                        {"probes_failed", sum.health_checks_failed}};
    }

    const double began_; // real time
    const experiment &settings_;
    const variant_settings &variant_;
    const std::uint32_t seed_;
    const run_options &options_;
    timeline clock_{start_of_time};
    run_environment environment_;
    random_generator seeds_;
    std::deque<virtual_proxy> proxies_;
    virtual_links links_;
    std::vector<index> stopped_by_fault_; // by proxy: faults that keep it down
};

} // namespace

run_result run_virtual(const experiment &settings, const variant_settings &variant, std::uint32_t seed,
                       const run_options &options) {
    return virtual_run(settings, variant, seed, options).run();
}

} // namespace harrierpass::testbed
