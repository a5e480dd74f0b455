// SPDX-License-Identifier: Apache-2.0
#include "testbed/runs/socket_run.hpp"

#include "net/threads.hpp"
#include "proxy/operations/stop_schedule.hpp"
#include "proxy/service.hpp"
#include "testbed/load/client_connections.hpp"
#include "testbed/processes/fleet_ports.hpp"
#include "testbed/processes/process.hpp"
#include "testbed/runs/baseline_policies.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <sys/resource.h>
#include <utility>

namespace harrierpass::testbed {
namespace {

constexpr double slack = 0.05;      // s by which the clocks of processes and their reports may differ
constexpr double ready_limit = 10;  // s for a proxy to be ready
constexpr double look_again = 0.02; // s between looks whether it is
constexpr double wind_down = 30;    // s after the load for the last queries, at most
constexpr double end_limit = 6;     // s for a planned end
constexpr double still_come = 0.3;  // s after a proxy was told to end in which clients still come to it
constexpr int signals_in_series = 3;
constexpr double idle_return = 0.2;  // s until an idle client that was ended comes back
constexpr double late_share = 0.1;   // of the shortest SLO time; a generator later than this measures itself
constexpr double least_late = 0.005; // s; or than this

// One proxy of a run, whichever way it is there.
struct proxy_here {
    std::unique_ptr<child_process> process;
    std::unique_ptr<std::ofstream> log;
    std::unique_ptr<proxy::service> service;
    std::optional<address> at;
    index killed = 0, stopped = 0;
    bool ready = false, ends = false;
    bool leaves = false; // told to end by the script
    bool reborn = false; // killed, and due again before its end was seen
    index stops = 0;     // times that it was told to end by the script
    double again = -1;   // s after that end in which it is started again; below 0: never
    std::uint64_t resident_kb = 0;
};

// Where logs and configurations are; a temporary folder goes with the run.
class run_folder {
public:
    explicit run_folder(std::string path) : path_(std::move(path)) {
        if (path_.empty()) {
            std::string name =
                (std::filesystem::temp_directory_path() / "harrierpass_testbed-XXXXXX").string();
            if (::mkdtemp(name.data()) == nullptr)
                throw std::system_error(errno, std::generic_category(), "no temporary folder");
            path_ = name;
            temporary_ = true;
        }
        std::filesystem::create_directories(path_);
    }
    ~run_folder() {
        std::error_code failed;
        if (temporary_)
            std::filesystem::remove_all(path_, failed);
    }
    run_folder(const run_folder &) = delete;
    run_folder &operator=(const run_folder &) = delete;
    const std::string &path() const { return path_; }

private:
    std::string path_;
    bool temporary_ = false;
};

// As many descriptors as this process may have; too few are told before anything starts.
void raise_descriptors(const experiment &settings, std::size_t links) {
    rlimit most{};
    getrlimit(RLIMIT_NOFILE, &most);
    most.rlim_cur = most.rlim_max;
    setrlimit(RLIMIT_NOFILE, &most);
    const std::size_t needed = fleet_ports::descriptors(settings, links);
    if (needed > most.rlim_cur)
        throw experiment_error(settings.name + ": needs " + std::to_string(needed) +
                               " descriptors on sockets, and this process may have " +
                               std::to_string(most.rlim_cur) + " (ulimit -n); in virtual time it needs none");
}

class whole_run {
public:
    whole_run(const experiment &settings, const variant_settings &as, std::uint32_t seed,
              const socket_options &how)
        : settings_(settings), as_(as), how_(how), folder_(how.logs),
          all_(loop_.clock, settings, seed, slack, exact_for(settings)),
          fleet_((raise_descriptors(settings, all_.links.size()), loop_), all_, {},
                 {how.self, folder_.path()}),
          port_(loop_, settings, all_.load_clients, all_.event_observer, settings.proxies.count),
          seeds_(seed + 3) {}

    run_result run() {
        const double began = steady_now();
        all_.on_proxy_kill = [this](index proxy, bool begins) { kill(proxy, begins); };
        all_.on_proxy_pause = [this](index proxy, bool begins) { pause(proxy, begins); };
        port_.link_impaired_since = [this](index proxy, double since) {
            return all_.client_link_was_faulty(proxy, since);
        };
        all_.on_proxy_signals = [this](index proxy) { send_signals(proxy); };
        all_.on_proxy_restart = [this](index proxy, const fault_settings &fault) { restart(proxy, fault); };
        proxies_.resize(settings_.proxies.count);
        const std::vector<bool> late = late_starting_proxies(settings_);
        const double limit = loop_.clock.now() + ready_limit;
        loop_.run([&] { return fleet_.ready() || loop_.clock.now() > limit; });
        if (!fleet_.ready())
            throw experiment_error("a process of the world was not ready in time; see its log with --logs");
        const double starts = loop_.clock.now();
        // Where all start together the load does not wait, nor do the faults of its first moment.
        if (settings_.proxies.start_with_load)
            all_.start();
        for (index i = 0; i < proxies_.size(); ++i)
            if (!late[i])
                start(i, "127.0.0.1:0");
        const auto ready = [&] {
            for (index i = 0; i < proxies_.size(); ++i)
                if (!late[i] && !proxies_[i].ready)
                    return false;
            return true;
        };
        // Where they start together the load is there already, and some may wait for their turn at the list.
        loop_.run([&] {
            return ready() ||
                   loop_.clock.now() >
                       starts + (settings_.proxies.start_with_load ? settings_.length : ready_limit);
        });
        if (!ready() && !settings_.proxies.start_with_load)
            throw experiment_error("a proxy was not ready in time; see its log with --logs");
        const double all_up = loop_.clock.now() - starts;
        if (!settings_.proxies.start_with_load)
            all_.start();
        for (index i = 0; i < proxies_.size(); ++i)
            for (index j = 0; j < settings_.load.idle_connections; ++j)
                keep_idle(i, j);
        const double end = loop_.clock.now() + settings_.length + wind_down;
        double told = loop_.clock.now();
        loop_.run([&] {
            if (how_.progress != nullptr && loop_.clock.now() - told > 5) {
                told = loop_.clock.now();
                *how_.progress << "  " << settings_.name << ' ' << as_.name << ": "
                               << static_cast<int>(told - all_.load_clients.began()) << " of "
                               << settings_.length << " s, " << all_.load_clients.operations() << " queries"
                               << std::endl;
            }
            return all_.done() || loop_.clock.now() > end;
        });
        const bool done = all_.done();
        const double ends = loop_.clock.now();
        const double cpu = end_all();
        const double all_ended = loop_.clock.now() - ends;
        // What the parts of the world have seen to the last is judged, too.
        fleet_.end();
        const double patience = loop_.clock.now() + end_limit;
        loop_.run([&] { return fleet_.ended() || loop_.clock.now() > patience; });
        all_.events.close_source(all_.own_events);
        all_.events.deliver_ready();
        all_.checker.finish();
        run_result made = all_.result(as_, "sockets");
        if (!done)
            made.void_because = "queries were still open long after the load";
        made.rules.emplace_back("crashed", crashes_ + fleet_.deaths());
        made.rules.emplace_back("invariants", violations_.size());
        made.histories.insert(made.histories.end(), violations_.begin(), violations_.end());
        made.fleet.emplace_back("stops", stops_);
        made.fleet.emplace_back("stops_killed", stops_killed_);
        const auto count = std::max<std::uint64_t>(1, made.queries);
        std::uint64_t resident = 0;
        std::vector<double> cpus;
        for (const auto &each : proxies_) {
            resident = std::max(resident, each.resident_kb);
            if (!each.process)
                continue;
            cpus.push_back(each.process->cpu());
            made.proxy_cpu.push_back(cpus.back());
            made.proxy_mb.push_back(static_cast<double>(each.resident_kb) / 1024);
        }
        std::sort(cpus.begin(), cpus.end());
        made.proxies = {
            {"cpu_ns_a_query", static_cast<std::uint64_t>(cpu * 1e9 / static_cast<double>(count))},
            {"resident_kb", resident},
            {"client_dials", port_.connects()}};
        // What nobody but a proxy sees, from the counters of those that ran to the end.
        for (const auto &[name, as] :
             {std::pair("server_dials_failed", "dials_failed"), std::pair("probes_sent", "probes"),
              std::pair("lists_lost", "lists_lost")})
            made.fleet.emplace_back(as, counted_[name]);
        made.fleet.emplace_back("all_up_s", all_up);
        made.fleet.emplace_back("all_ended_s", all_ended);
        made.fleet.emplace_back("proxy_cpu_s_p50", cpus.empty() ? 0 : cpus[cpus.size() / 2]);
        made.fleet.emplace_back("proxy_cpu_s_most", cpus.empty() ? 0 : cpus.back());
        made.fleet.emplace_back("proxy_mb_most", static_cast<double>(resident) / 1024);
        if (const auto *const between = fleet_.datagrams()) {
            made.fleet.emplace_back("datagrams_a_query", static_cast<double>(between->counters().sent) /
                                                             static_cast<double>(count));
            made.fleet.emplace_back("datagram_bytes_a_query", static_cast<double>(between->counters().bytes) /
                                                                  static_cast<double>(count));
        }
        made.wall = steady_now() - began;
        judge_lateness(made, settings_);
        return made;
    }

    static void judge_lateness(run_result &of, const experiment &settings) {
        double shortest = 1e9;
        for (const auto &each : settings.use_cases)
            shortest = std::min(shortest, each.routing.latency_objective);
        const double most = std::max(least_late, late_share * shortest);
        const bool pauses =
            std::any_of(settings.faults.begin(), settings.faults.end(), [](const fault_settings &each) {
                return each.kind == fault_kind::client_pause; // late on purpose
            });
        if (!pauses && of.lateness_p99 > most)
            of.void_because = "the machine was too slow: the load generator was late by " +
                              std::to_string(of.lateness_p99 * 1000) + " ms in its slowest hundredth";
    }

private:
    std::function<double()> exact_for(const experiment &settings) {
        if (settings.fleet.hosts == 0 && !settings.list.own_process)
            return {};
        return [this] { return loop_.exact(); };
    }
    // All are told before any is waited for: a planned end takes most of a second, and hundreds in turn
    // minutes.
    double end_all() {
        for (auto &each : proxies_) {
            each.ends = true;
            if (!each.process || !each.process->runs())
                continue;
            if (const auto weight = measure_usage(each.process->pid()))
                each.resident_kb = weight->resident_kb;
            each.process->signal(SIGCONT);
            each.process->signal(SIGUSR1); // its counters
            each.process->signal(SIGTERM);
        }
        const double limit = loop_.clock.now() + end_limit;
        loop_.run([&] { return none_runs() || loop_.clock.now() > limit; });
        double cpu = 0;
        for (auto &each : proxies_) {
            if (!each.process)
                continue;
            crashes_ += each.process->runs() ? 1 : 0;
            each.process->kill();
            cpu += each.process->cpu();
        }
        return cpu;
    }
    bool none_runs() const {
        return std::none_of(proxies_.begin(), proxies_.end(),
                            [](const proxy_here &each) { return each.process && each.process->runs(); });
    }

    void start(index number, const std::string &listen) {
        auto &here = proxies_[number];
        here.ready = false;
        here.leaves = false;
        const std::string path = folder_.path() + "/p" + std::to_string(number);
        std::ofstream(path + ".json") << fleet_.configuration(number, listen, seeds_.seed());
        if (how_.embeds) {
            std::ifstream in(path + ".json");
            std::ostringstream text;
            text << in.rdbuf();
            here.log = std::make_unique<std::ofstream>(path + ".log", std::ios::app);
            here.service =
                std::make_unique<proxy::service>(proxy::read_configuration(text.str()), *here.log,
                                                 log_level::warning, policy_factory_for(as_.policy));
            here.at = here.service->at();
            return look(number);
        }
        if (!here.process) {
            std::vector<std::string> command = {how_.program, path + ".json"};
            if (as_.violation != injected_violation::nothing)
                command = {how_.self, "proxy", "--plant", name_of(as_.violation), path + ".json"};
            else if (as_.policy != policy_kind::module)
                command = {how_.self, "proxy", "--by", name_of(as_.policy), path + ".json"};
            if (settings_.system.any())
                command = with_system_faults(std::move(command));
            here.process = std::make_unique<child_process>(loop_, command, path + ".log");
            here.process->on_listening = [this, number](const address &at) {
                proxies_[number].at = at;
                look(number);
            };
            here.process->on_violation = [this](const std::string &line) {
                violations_.push_back(line + '\n');
            };
            here.process->on_counter = [this](const std::string &name, double value) {
                counted_[name] += value;
            };
            here.process->on_exit = [this, number] {
                auto &left = proxies_[number];
                if (left.ends)
                    return;
                left.ready = false;
                if (left.killed > 0 || left.reborn) { // by the script; it may be due again by now
                    if (std::exchange(left.reborn, false))
                        start(number, to_text(*left.at));
                    return;
                }
                crashes_ += left.leaves ? 0 : 1; // by itself
                all_.event_observer.proxy_restarted(number, !left.leaves);
                port_.set_proxy_address(number, std::nullopt);
                if (left.leaves && left.again >= 0)
                    loop_.clock.after(left.again, [this, number] {
                        if (!proxies_[number].ends && proxies_[number].killed == 0)
                            start(number, to_text(*proxies_[number].at));
                    });
            };
        }
        here.process->start();
    }

    // Asks whether it is ready until it says so.
    void look(index number) {
        auto &here = proxies_[number];
        if (!here.at || here.killed > 0)
            return;
        const auto on =
            std::make_shared<channel>(loop_, start_connecting(*here.at), http_reader::message_kind::response);
        looks_[number] = on;
        if (!on->open())
            return;
        on->on_message = [this, number](const auto &from, const http_reader &answer) {
            const bool ready = answer.head().status == 200;
            from->end(false);
            looked(number, ready);
        };
        on->on_end = [this, number](const auto &, channel::ending) { looked(number, false); };
        on->start(true);
        on->send("GET /_health HTTP/1.1\r\nHost: lab\r\n\r\n");
    }
    void looked(index number, bool ready) {
        auto &here = proxies_[number];
        if (here.killed > 0 || here.ready)
            return;
        if (!ready)
            return loop_.clock.after(look_again, [this, number] { look(number); });
        here.ready = true;
        port_.set_proxy_address(number, fleet_.proxy_at(number, *here.at));
    }

    // Told to end: clients go on using what they have, and for a moment go on coming.
    void restart(index number, const fault_settings &fault) {
        auto &here = proxies_[number];
        if (fault.kind == fault_kind::proxy_late)
            return start(number, "127.0.0.1:0");
        if (!here.process || !here.process->runs() || here.leaves)
            return;
        here.leaves = true;
        here.again = fault.kind == fault_kind::proxy_restart ? fault.lasts : -1;
        ++stops_;
        here.process->signal(SIGTERM);
        here.process->signal(SIGTERM); // a second one is no news
        // The platform's patience ends at the earliest moment that its page allows.
        std::vector<double> deadlines;
        for (const auto &each : settings_.use_cases)
            deadlines.push_back(each.timeout);
        const auto stop = proxy::stop_schedule_for(proxy::longest_deadline(deadlines));
        loop_.clock.after(stop.earliest_kill, [this, number, now = ++here.stops] {
            auto &still = proxies_[number];
            if (!still.leaves || still.stops != now || !still.process->runs())
                return;
            ++stops_killed_;
            still.process->signal(SIGKILL); // its end is seen in the loop, and what it had taken is lost
        });
        loop_.clock.after(still_come, [this, number] {
            if (proxies_[number].leaves)
                port_.stop_connecting_to(number);
        });
    }

    // The same command with the library of system faults in it, which stands beside this program.
    std::vector<std::string> with_system_faults(std::vector<std::string> command) {
        const auto &faults = settings_.system;
        const std::string library =
            how_.self.substr(0, how_.self.rfind('/') + 1) + "harrierpass_system_faults.so";
        std::ostringstream plan;
        plan << "HARRIERPASS_FAULTS=" << seeds_.seed() << ' ' << faults.rate << ' ' << faults.from << ' '
             << faults.lasts << ' ' << faults.clock_step;
        command.insert(command.begin(), {"/usr/bin/env", "LD_PRELOAD=" + library, plan.str()});
        return command;
    }

    // Configurations in a row: the file is as it was, and yet each is read and comes into force with its
    // list.
    void send_signals(index number) {
        auto &here = proxies_[number];
        if (here.process && here.process->runs() && here.ready)
            for (int i = 0; i < signals_in_series; ++i)
                here.process->signal(SIGHUP);
    }

    // Clients that rest: every second one has asked for nothing at all. They come back when they are ended.
    void keep_idle(index number, index which) {
        auto &here = proxies_[number];
        if (all_.done() || here.ends)
            return;
        const auto again = [this, number, which] {
            loop_.clock.after(idle_return, [this, number, which] { keep_idle(number, which); });
        };
        if (!here.at || !here.ready || here.leaves)
            return again();
        const auto on =
            std::make_shared<channel>(loop_, start_connecting(*here.at), http_reader::message_kind::response);
        idle_[{number, which}] = on;
        if (!on->open())
            return again();
        on->on_message = [](const auto &, const http_reader &) {};
        on->on_end = [again](const auto &, channel::ending) { again(); };
        on->start(true);
        if (which % 2 == 1)
            on->send("GET /_health HTTP/1.1\r\nHost: lab\r\n\r\n");
    }

    void kill(index number, bool begins) {
        auto &here = proxies_[number];
        if (!here.process)
            throw experiment_error("an embedded proxy cannot be killed: leave --embed out");
        if (begins && here.killed++ == 0) {
            here.ready = false;
            all_.event_observer.proxy_restarted(number, true);
            here.process->signal(SIGKILL); // its end is seen in the loop, as hundreds may die at once
            port_.set_proxy_address(number, std::nullopt);
        } else if (!begins && --here.killed == 0 && !here.ends) { // none is started once all were told to end
            if (here.process->runs())
                here.reborn = true;
            else
                start(number, to_text(*here.at));
        }
    }

    void pause(index number, bool begins) {
        auto &here = proxies_[number];
        if (!here.process)
            throw experiment_error("an embedded proxy cannot be stopped: leave --embed out");
        all_.event_observer.proxy_paused(number, begins);
        here.stopped += begins ? 1 : static_cast<index>(-1);
        here.process->signal(here.stopped > 0 ? SIGSTOP : SIGCONT);
    }

    const experiment &settings_;
    const variant_settings &as_;
    const socket_options &how_;
    loop loop_;
    run_folder folder_; // the processes' own, which are gone before it
    run_environment all_;
    fleet_ports fleet_;
    client_connections port_;
    random_generator seeds_;
    std::map<std::string, double> counted_; // by the proxies, in all
    std::uint64_t crashes_ = 0;
    double stops_ = 0, stops_killed_ = 0; // by the script; of them, those that did not end before the kill
    std::vector<std::string> violations_; // of invariants, as the proxies told them
    std::map<std::pair<index, index>, std::shared_ptr<channel>> idle_;
    std::unordered_map<index, std::shared_ptr<channel>> looks_;
    std::vector<proxy_here> proxies_;
};

double own_cpu() {
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    return static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) +
           static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec) * 1e-6;
}

} // namespace

run_result run_on_sockets(const experiment &settings, const variant_settings &as, std::uint32_t seed,
                          const socket_options &how) {
    return whole_run(settings, as, seed, how).run();
}

load_result run_load(const experiment &settings, const load_options &how) {
    experiment asked = settings;
    asked.proxies.count = static_cast<index>(how.to.size());
    asked.faults.clear();
    loop in;
    rule_checker judge(in.clock, asked, slack);
    load_generator people(in.clock, asked, judge, how.seed);
    client_connections port(in, asked, people, judge, asked.proxies.count);
    std::vector<std::shared_ptr<channel>> resting;
    for (index i = 0; i < how.to.size(); ++i) {
        const auto at = parse_address(how.to[i]);
        if (!at)
            throw experiment_error(how.to[i] + " is no address such as 127.0.0.1:9000");
        port.set_proxy_address(i, at);
        std::size_t heard = 0;
        for (index j = 0; j < how.idle; ++j) {
            const auto on =
                std::make_shared<channel>(in, start_connecting(*at), http_reader::message_kind::response);
            if (!on->open())
                throw experiment_error("no descriptors for so many connections at rest");
            on->on_message = [&heard](const auto &, const http_reader &) { ++heard; };
            on->on_end = [&heard](const auto &, channel::ending) { ++heard; };
            on->start(true);
            on->send("GET /" + settings.use_cases[0].name +
                     "/1 HTTP/1.1\r\nHost: lab\r\nX-Request-Id: rest-" + std::to_string(i) + "-" +
                     std::to_string(j) + "\r\n\r\n");
            resting.push_back(on);
        }
        const double limit = in.clock.now() + 10;
        in.run([&] { return heard >= how.idle || in.clock.now() > limit; });
    }
    const auto before = how.pid > 0 ? measure_usage(how.pid) : std::nullopt;
    const double cpu = own_cpu(), began = steady_now();
    people.start();
    std::optional<process_usage> after;
    const double end = in.clock.now() + asked.length + wind_down;
    in.run([&] {
        if (people.over() && !after && how.pid > 0)
            after = measure_usage(how.pid);
        return people.idle() || in.clock.now() > end;
    });
    load_result made;
    const double took = std::min(asked.length, steady_now() - began);
    auto &run = made.run;
    run.experiment = settings.name;
    run.variant = "load";
    run.mode = "load";
    run.seed = how.seed;
    run.length = asked.length;
    take_totals(run, people);
    run.wall = steady_now() - began;
    for (const rule each : {rule::lost, rule::answered_twice, rule::wrong_body})
        run.rules.emplace_back(name_of(each), judge.broken(each));
    run.histories = judge.histories();
    whole_run::judge_lateness(run, asked);
    if (run.completed == 0 && run.void_because.empty())
        run.void_because = "no query was completed: is anybody there?";
    const auto count = static_cast<double>(std::max<std::uint64_t>(1, run.queries));
    made.rate = static_cast<double>(run.completed) / took;
    made.own_cpu_us = (own_cpu() - cpu) * 1e6 / count;
    if (before && after) {
        made.cpu_us = (after->cpu - before->cpu) * 1e6 / count;
        made.resident_kb = after->resident_kb;
        made.descriptors = after->descriptors;
    }
    return made;
}

} // namespace harrierpass::testbed
