// SPDX-License-Identifier: Apache-2.0
#include "testbed/runs/proxy_fleet.hpp"

#include "proxy/operations/stop_schedule.hpp"
#include "testbed/runs/baseline_policies.hpp"

#include <algorithm>
#include <csignal>
#include <sstream>
#include <utility>

namespace harrierpass::testbed {
namespace {

constexpr double ready_check_period = 0.02; // s
constexpr double end_limit = 6;             // s for a planned end
constexpr double client_drain_time = 0.3;   // s after a stop began in which new clients still come
constexpr int signals_in_series = 3;
constexpr const char *any_port = "127.0.0.1:0";

} // namespace

proxy_fleet::proxy_fleet(const proxy_fleet_context &context, std::uint32_t seed)
    : context_(context), loop_(context.events), seeds_(seed), late_(late_starting_proxies(context.settings)),
      proxies_(context.settings.proxies.count) {}

void proxy_fleet::prepare_all() {
    for (index i = 0; i < proxies_.size(); ++i)
        if (!late_[i])
            prepare(i, any_port);
}

void proxy_fleet::start_all() {
    for (index i = 0; i < proxies_.size(); ++i)
        if (!late_[i])
            start_prepared(i);
}

bool proxy_fleet::ready() const {
    for (index i = 0; i < proxies_.size(); ++i)
        if (!late_[i] && !proxies_[i].ready)
            return false;
    return true;
}

// All are told before any is waited for: a planned end takes most of a second, and hundreds in turn minutes.
double proxy_fleet::end_all() {
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

bool proxy_fleet::none_runs() const {
    return std::none_of(proxies_.begin(), proxies_.end(),
                        [](const proxy_state &each) { return each.process && each.process->runs(); });
}

// ---- Starting

void proxy_fleet::start(index number, const std::string &listen) {
    prepare(number, listen);
    start_prepared(number);
}

void proxy_fleet::prepare(index number, const std::string &listen) {
    const std::string path = path_of(number);
    std::ofstream(path + ".json") << context_.ports.configuration(number, listen, seeds_.seed());
    if (!context_.options.embeds && !proxies_[number].process)
        create_process(number, path);
}

void proxy_fleet::start_prepared(index number) {
    auto &proxy = proxies_[number];
    proxy.ready = false;
    proxy.stopping = false;
    if (context_.options.embeds)
        return start_embedded(number, path_of(number));
    proxy.process->start();
}

std::string proxy_fleet::path_of(index number) const {
    return context_.folder + "/p" + std::to_string(number);
}

// Where clients know it; on any port if it ended before it had one.
void proxy_fleet::start_again(index number) {
    const auto &at = proxies_[number].at;
    start(number, at ? to_text(*at) : any_port);
}

void proxy_fleet::start_embedded(index number, const std::string &path) {
    auto &proxy = proxies_[number];
    std::ifstream in(path + ".json");
    std::ostringstream text;
    text << in.rdbuf();
    proxy.log = std::make_unique<std::ofstream>(path + ".log", std::ios::app);
    proxy.service =
        std::make_unique<proxy::service>(proxy::read_configuration(text.str()), *proxy.log,
                                         log_level::warning, policy_factory_for(context_.variant.policy));
    proxy.at = proxy.service->listen_address();
    check_ready(number);
}

void proxy_fleet::create_process(index number, const std::string &path) {
    auto &process = proxies_[number].process;
    process = std::make_unique<child_process>(loop_, command_for(path + ".json"), path + ".log");
    process->on_listening = [this, number](const address &at) {
        proxies_[number].at = at;
        check_ready(number);
    };
    process->on_violation = [this](const std::string &line) { violations_.push_back(line + '\n'); };
    process->on_counter = [this](const std::string &name, double value) { counters_[name] += value; };
    process->on_exit = [this, number] { on_exit(number); };
}

std::vector<std::string> proxy_fleet::command_for(const std::string &path) {
    const auto &variant = context_.variant;
    const auto &options = context_.options;
    std::vector<std::string> command = {options.program, path};
    if (variant.violation != injected_violation::nothing)
        command = {options.self, "proxy", "--plant", name_of(variant.violation), path};
    else if (variant.policy != policy_kind::module)
        command = {options.self, "proxy", "--by", name_of(variant.policy), path};
    return context_.settings.system.any() ? with_system_faults(std::move(command)) : command;
}

// The same command with the library of system faults in it, which stands beside this program.
std::vector<std::string> proxy_fleet::with_system_faults(std::vector<std::string> command) {
    const auto &faults = context_.settings.system;
    const std::string &self = context_.options.self;
    const std::string library = self.substr(0, self.rfind('/') + 1) + "harrierpass_system_faults.so";
    std::ostringstream plan;
    plan << "HARRIERPASS_FAULTS=" << seeds_.seed() << ' ' << faults.rate << ' ' << faults.from << ' '
         << faults.lasts << ' ' << faults.clock_step;
    command.insert(command.begin(), {"/usr/bin/env", "LD_PRELOAD=" + library, plan.str()});
    return command;
}

// Asks whether it is ready until it says so.
void proxy_fleet::check_ready(index number) {
    auto &proxy = proxies_[number];
    if (!proxy.at || proxy.killed > 0)
        return;
    const auto on =
        std::make_shared<channel>(loop_, start_dial(*proxy.at), http_reader::message_kind::response);
    ready_checks_[number] = on;
    if (!on->open())
        return;
    on->on_message = [this, number](const auto &from, const http_reader &response) {
        const bool ready = response.head().status == 200;
        from->end(false);
        on_ready_checked(number, ready);
    };
    on->on_end = [this, number](const auto &, channel::ending) { on_ready_checked(number, false); };
    on->start(true);
    on->send("GET /_health HTTP/1.1\r\nHost: lab\r\n\r\n");
}

void proxy_fleet::on_ready_checked(index number, bool ready) {
    auto &proxy = proxies_[number];
    if (proxy.killed > 0 || proxy.ready)
        return;
    if (!ready)
        return loop_.clock.after(ready_check_period, [this, number] { check_ready(number); });
    proxy.ready = true;
    context_.clients.set_proxy_address(number, context_.ports.proxy_at(number, *proxy.at));
}

// ---- Faults

// The end of a process, whoever asked for it.
void proxy_fleet::on_exit(index number) {
    auto &proxy = proxies_[number];
    if (proxy.ends)
        return;
    proxy.ready = false;
    if (proxy.killed > 0 || proxy.restart_pending) { // by a fault; it may be due again by now
        if (std::exchange(proxy.restart_pending, false))
            start_again(number);
        return;
    }
    crashes_ += proxy.stopping ? 0 : 1; // by itself
    context_.environment.event_observer.proxy_restarted(number, !proxy.stopping);
    context_.clients.set_proxy_address(number, std::nullopt);
    if (proxy.stopping && proxy.restart_after >= 0)
        loop_.clock.after(proxy.restart_after, [this, number] {
            const auto &due = proxies_[number];
            // The end of a kill may have started it already.
            if (!due.ends && due.killed == 0 && !due.process->runs())
                start_again(number);
        });
}

void proxy_fleet::restart(index number, const fault_settings &fault) {
    auto &proxy = proxies_[number];
    if (fault.kind == fault_kind::proxy_late)
        return start(number, any_port);
    if (!proxy.process || !proxy.process->runs() || proxy.stopping)
        return;
    proxy.stopping = true;
    proxy.restart_after = fault.kind == fault_kind::proxy_restart ? fault.lasts : -1;
    stop(number);
}

// A planned stop: clients go on using what they have, and for a moment go on coming. It is killed at the
// earliest moment that the proxy's stop schedule allows.
void proxy_fleet::stop(index number) {
    auto &proxy = proxies_[number];
    ++stops_;
    proxy.process->signal(SIGTERM);
    proxy.process->signal(SIGTERM); // a second one changes nothing
    std::vector<double> deadlines;
    for (const auto &use_case : context_.settings.use_cases)
        deadlines.push_back(use_case.timeout);
    const auto schedule = proxy::stop_schedule_for(proxy::longest_deadline(deadlines));
    loop_.clock.after(schedule.earliest_kill, [this, number, stop = ++proxy.stops] {
        auto &stopped = proxies_[number];
        if (!stopped.stopping || stopped.stops != stop || !stopped.process->runs())
            return;
        ++stops_killed_;
        stopped.process->signal(SIGKILL); // its end is seen in the loop, and what it had accepted is lost
    });
    loop_.clock.after(client_drain_time, [this, number] {
        if (proxies_[number].stopping)
            context_.clients.stop_connecting_to(number);
    });
}

// The file is as it was, and yet each configuration is read and comes into force with its list.
void proxy_fleet::reload(index number) {
    auto &proxy = proxies_[number];
    if (proxy.process && proxy.process->runs() && proxy.ready)
        for (int i = 0; i < signals_in_series; ++i)
            proxy.process->signal(SIGHUP);
}

void proxy_fleet::kill(index number, bool begins) {
    auto &proxy = proxies_[number];
    if (!proxy.process)
        throw experiment_error("an embedded proxy cannot be killed: leave --embed out");
    if (begins && proxy.killed++ == 0) {
        proxy.ready = false;
        context_.environment.event_observer.proxy_restarted(number, true);
        proxy.process->signal(SIGKILL); // its end is seen in the loop, as hundreds may die at once
        context_.clients.set_proxy_address(number, std::nullopt);
    } else if (!begins && --proxy.killed == 0 && !proxy.ends) { // none is started once the run ends
        if (proxy.process->runs())
            proxy.restart_pending = true;
        else
            start_again(number);
    }
}

void proxy_fleet::pause(index number, bool begins) {
    auto &proxy = proxies_[number];
    if (!proxy.process)
        throw experiment_error("an embedded proxy cannot be stopped: leave --embed out");
    context_.environment.event_observer.proxy_paused(number, begins);
    proxy.paused += begins ? 1 : static_cast<index>(-1);
    proxy.process->signal(proxy.paused > 0 ? SIGSTOP : SIGCONT);
}

// ---- What they came to

std::optional<address> proxy_fleet::reachable_at(index number) const {
    const auto &proxy = proxies_[number];
    return proxy.ready && !proxy.stopping ? proxy.at : std::nullopt;
}

double proxy_fleet::counter(const std::string &name) const {
    const auto found = counters_.find(name);
    return found == counters_.end() ? 0 : found->second;
}

std::vector<double> proxy_fleet::cpu_times() const {
    std::vector<double> made;
    for (const auto &each : proxies_)
        if (each.process)
            made.push_back(each.process->cpu());
    return made;
}

std::vector<std::uint64_t> proxy_fleet::resident_kb() const {
    std::vector<std::uint64_t> made;
    for (const auto &each : proxies_)
        if (each.process)
            made.push_back(each.resident_kb);
    return made;
}

} // namespace harrierpass::testbed
