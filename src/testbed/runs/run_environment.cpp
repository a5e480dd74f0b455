// SPDX-License-Identifier: Apache-2.0
#include "testbed/runs/run_environment.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace harrierpass::testbed {
namespace {

constexpr double flap_period = 0.5;     // s that a flapping list names a server, and leaves it out
constexpr double min_fault_time = 0.25; // s; a shorter silence is a pause, and who suspects it is wrong
constexpr double heal_time = 0.1;       // s after a link's trouble in which its ends hear of what broke
constexpr double samples_a_slot = 4;    // looks at what servers have in hand
constexpr std::size_t max_sampled_servers = 400; // of which a run keeps what they had in hand

} // namespace

run_environment::run_environment(timeline &with, const experiment &of, std::uint32_t seed, double slack,
                                 const std::function<double()> &exact)
    : clock(with), settings(of), checked_time_(with.now()), checker(exact ? checked_time_ : with, of, slack),
      events(checked_time_, checker), own_events(events.add_source()),
      writer_(exact, [this](const observed_event &what) { events.add(own_events, what); }),
      event_observer(exact ? static_cast<observer &>(writer_) : checker),
      servers(with, of, event_observer, seed), list(with, of, servers.size(), seed + 1),
      service(with, of.list, list), load_clients(with, of, event_observer, seed + 2),
      links(of, servers.size() + (of.fleet.cache_aside ? 1 : 0), seed), metrics(with, of, servers.size()),
      seed_(seed) {
    checker.on_received = [this](index server) { metrics.on_attempt(server); };
    load_clients.on_settled = [this](index proxy, double served, double asked) {
        metrics.on_request_settled(proxy, served, asked);
    };
    links.on_change = [this](const link_id &which, const link_conditions &before,
                             const link_conditions &now) {
        if (before.impaired() != now.impaired())
            event_observer.link_fault_changed(which.kind, which.near, which.far, now.impaired());
        if (which.kind == link_kind::client_proxy)
            client_link_faulty_until_[which.far] =
                now.impaired() ? std::numeric_limits<double>::infinity() : clock.now() + heal_time;
        if (on_link)
            on_link(which, before, now);
    };
    if (settings.fleet.starts_warm)
        for (index i = 0; i < settings.fleet.servers; ++i)
            servers.at(i).fill_most_popular();
    in_flight_.resize(std::min<std::size_t>(servers.size(), max_sampled_servers));
}

bool run_environment::client_link_was_faulty(index proxy, double since) const {
    const auto found = client_link_faulty_until_.find(proxy);
    return found != client_link_faulty_until_.end() && found->second >= since;
}

void run_environment::start() {
    metrics.on_load_started();
    start_faults();
    load_clients.start();
    sample();
}

void run_environment::start_faults() {
    const auto plan = [this](const auto &fault, bool ends, const std::function<void(bool begins)> &what) {
        for (double at = fault.at; at < settings.length; at += fault.every) {
            clock.after(at, [what] { what(true); });
            if (ends)
                clock.after(at + fault.lasts, [what] { what(false); });
            if (fault.every <= 0)
                break;
        }
    };
    for (const auto &each : settings.faults)
        plan(each, has_end(each), [this, &each](bool begins) { apply(each, begins); });
    for (std::size_t i = 0; i < settings.link_faults.size(); ++i)
        plan(settings.link_faults[i], true, [this, i](bool begins) { links.apply(i, begins); });
}

void run_environment::sample() {
    const auto slot =
        static_cast<std::size_t>((clock.now() - load_clients.began()) / load_clients.slot_length());
    if (slot >= load_clients.slots().size())
        return;
    samples_.resize(std::max(samples_.size(), slot + 1));
    fetches_.resize(std::max(fetches_.size(), slot + 1));
    ++samples_[slot];
    fetches_[slot] += static_cast<double>(servers.source().fetches() - fetched_);
    fetched_ = servers.source().fetches();
    for (index i = 0; i < in_flight_.size(); ++i) {
        in_flight_[i].resize(samples_.size());
        in_flight_[i][slot] += static_cast<double>(servers.at(i).active_and_queued());
    }
    clock.after(load_clients.slot_length() / samples_a_slot, [this] { sample(); });
}

// Whether a server, also one that joined later, is in one of the processes that the fault names.
bool run_environment::stands_on(const fault_settings &fault, index server) const {
    const index host = host_of(settings, server);
    return std::find(fault.hosts.begin(), fault.hosts.end(), host) != fault.hosts.end();
}

void run_environment::apply(const fault_settings &fault, bool begins) {
    for (const index each : fault.servers)
        set_server(fault, each, begins);
    if (on_host)
        for (const index each : fault.hosts)
            on_host(each, fault.kind, begins);
    // A process that stands still reads late what came in time, and sees late what ended: as on a silent
    // link.
    if (fault.kind == fault_kind::host_stop)
        for (index server = 0; server < servers.size(); ++server)
            for (index proxy = 0; proxy < settings.proxies.count && stands_on(fault, server); ++proxy)
                event_observer.link_fault_changed(link_kind::proxy_server, proxy, server, begins);
    switch (fault.kind) {
    case fault_kind::list_silent:
        return list.set_silent(begins);
    case fault_kind::list_stale:
        return list.set_stale(begins);
    case fault_kind::origin_slow:
        return servers.source().slow(fault.factor, begins);
    case fault_kind::origin_stop:
        return servers.source().stop(begins);
    case fault_kind::burst:
        return load_clients.burst(fault.factor, begins);
    case fault_kind::flood:
        return load_clients.flood(fault.tenant, fault.factor, begins);
    case fault_kind::client_pause:
        return load_clients.pause(begins);
    case fault_kind::list_kill:
        if (on_list_kill)
            on_list_kill(begins);
        return;
    case fault_kind::list_stop:
        if (on_list_stop)
            on_list_stop(begins);
        return;
    case fault_kind::proxy_restart:
    case fault_kind::proxy_end:
    case fault_kind::proxy_late:
        for (const index each : fault.proxies)
            if (on_proxy_restart)
                on_proxy_restart(each, fault);
        return;
    case fault_kind::proxy_signals:
        for (const index each : fault.proxies)
            if (on_proxy_signals)
                on_proxy_signals(each);
        return;
    default:
        break;
    }
    for (const index each : fault.proxies)
        if (fault.kind == fault_kind::proxy_kill && on_proxy_kill)
            on_proxy_kill(each, begins);
        else if (fault.kind == fault_kind::proxy_pause && on_proxy_pause)
            on_proxy_pause(each, begins);
}

void run_environment::set_server(const fault_settings &fault, index server, bool begins) {
    auto &of = servers.at(server);
    const bool silences = fault.kind == fault_kind::crash || fault.kind == fault_kind::hang ||
                          fault.kind == fault_kind::host_kill || fault.kind == fault_kind::host_stop ||
                          fault.kind == fault_kind::vanish || fault.kind == fault_kind::one_way;
    if (silences && (fault.lasts <= 0 || fault.lasts >= min_fault_time))
        of.set_faulty(begins);
    if (fault.kind != fault_kind::drain) // its refusals come later
        model(fault, server, begins);
    switch (fault.kind) {
    case fault_kind::join:
        return list.record_change(server, endpoint_state::ready, of.started());
    case fault_kind::crash:
    case fault_kind::host_kill:
        if (begins) {
            if (on_broken && !of.silent())
                on_broken(server);
            notice(server);
        } else if (of.up() && list.actual(server).state != endpoint_state::draining) {
            list.record_change(server, endpoint_state::ready, of.started());
        }
        return;
    case fault_kind::drain:
        list.record_change(server, endpoint_state::draining, of.started());
        // A server that drains finishes what it has; later it is gone.
        clock.after(settings.list.drain_grace + 4 * settings.list.lag,
                    [this, &fault, server] { model(fault, server, true); });
        if (fault.lasts > 0)
            clock.after(fault.lasts, [this, server, &of] {
                list.record_change(server, endpoint_state::removed, of.started());
                fault_settings gone;
                gone.kind = fault_kind::crash;
                model(gone, server, true);
                if (on_broken)
                    on_broken(server);
            });
        return;
    case fault_kind::flap:
        if (begins)
            flap(fault, server, clock.now() + fault.lasts);
        return;
    default:
        return;
    }
}

void run_environment::model(const fault_settings &fault, index server, bool begins) {
    apply_server_fault(servers.at(server), fault, begins);
    if (on_model)
        on_model(fault, server, begins);
}

// The list leaves a dead process out when it notices, unless that is back by then.
void run_environment::notice(index server) {
    clock.after(settings.list.notice, [this, server] {
        if (!servers.at(server).up())
            list.record_change(server, endpoint_state::removed, list.actual(server).started);
    });
}

void run_environment::flap(const fault_settings &fault, index server, double until) {
    const bool here = list.actual(server).state == endpoint_state::ready;
    const bool ends = clock.now() >= until;
    if (ends && here)
        return;
    list.record_change(server, here ? endpoint_state::removed : endpoint_state::ready,
                       servers.at(server).started());
    if (!ends)
        clock.after(flap_period, [this, &fault, server, until] { flap(fault, server, until); });
}

void take_totals(run_result &to, const load_generator &of) {
    const load_counts &all = of.total();
    to.service = all.asked > 0 ? all.served / all.asked : 0;
    to.queries = all.queries;
    to.completed = all.completed;
    to.late = all.late;
    to.rejected = all.rejected;
    to.aborted = all.aborted;
    to.none = all.none;
    to.retries = all.retries;
    to.p50 = all.times.percentile(50);
    to.p90 = all.times.percentile(90);
    to.p99 = all.times.percentile(99);
    to.p999 = all.times.percentile(99.9);
    to.lateness_p99 = of.lateness().percentile(99);
    to.max_lateness = of.lateness().maximum();
}

run_result run_environment::result(const variant_settings &of, const char *mode) const {
    run_result made;
    made.experiment = settings.name;
    made.variant = of.name;
    made.mode = mode;
    made.seed = seed_;
    made.length = settings.length;
    take_totals(made, load_clients);
    made.executions = checker.executions();
    made.fetches = servers.source().fetches();
    made.events = clock.events_run();
    made.trace = checker.trace_hash();
    for (std::size_t i = 0; i < static_cast<std::size_t>(rule::total); ++i)
        made.rules.emplace_back(name_of(static_cast<rule>(i)), checker.broken(static_cast<rule>(i)));
    made.histories = checker.histories();
    const auto share = [](const load_counts &part) {
        return part.asked > 0 ? part.served / part.asked : 1.0;
    };
    for (std::size_t i = 0; i < settings.use_cases.size(); ++i)
        made.use_cases.emplace_back(settings.use_cases[i].name, share(load_clients.use_cases()[i]));
    for (std::size_t i = 0; i < settings.tenants.size(); ++i)
        made.tenants.emplace_back(settings.tenants[i].name, share(load_clients.tenants()[i]));
    made.fleet = metrics.values(made.queries);
    made.series = metrics.series();
    made.slot_length = load_clients.slot_length();
    for (std::size_t i = 0; i < load_clients.slots().size(); ++i) {
        const auto &part = load_clients.slots()[i];
        made.slot_service.push_back(part.asked > 0 ? part.served / part.asked : std::nan(""));
        made.slot_p50.push_back(part.times.percentile(50));
        made.slot_p99.push_back(part.times.percentile(99));
        made.slot_rate.push_back(static_cast<double>(part.queries) / load_clients.slot_length());
        made.slot_fetches.push_back(i < fetches_.size()
                                        ? fetches_[i] * samples_a_slot / load_clients.slot_length() /
                                              std::max(1.0, samples_[i])
                                        : 0);
    }
    for (const auto &each : in_flight_) {
        auto mean = each;
        for (std::size_t i = 0; i < mean.size(); ++i)
            mean[i] /= std::max(1.0, samples_[i]);
        made.in_flight.push_back(std::move(mean));
    }
    return made;
}

} // namespace harrierpass::testbed
