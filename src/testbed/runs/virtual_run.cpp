// SPDX-License-Identifier: Apache-2.0
#include "testbed/runs/virtual_run.hpp"

#include <chrono>

namespace harrierpass::testbed {
namespace {

constexpr double start_up = 0.5;         // s in which the proxies hear of the list before the load begins
constexpr double wind_down = 60;         // s after the load in which the last queries end, at most
constexpr double restart_time = 0.05;    // s from a process's end to its successor's start, at least
constexpr std::size_t answer_size = 300; // bytes of a query or an answer on a link with a pace
constexpr double told_every = 2;         // s between lines of progress

double wall_now() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

} // namespace

run_result run_virtual(const experiment &settings, const variant_settings &as, std::uint32_t seed,
                       const run_options &how) {
    const double began = wall_now();
    timeline clock(1000); // s; a time of 0 means "long ago" in the list
    run_environment all(clock, settings, seed, 0.001);
    all.checker.trace = how.trace;
    random_generator seeds(seed + 3);
    std::deque<virtual_proxy> proxies;
    virtual_links links(clock, all.links, seed + 4);
    for (index i = 0; i < settings.proxies.count; ++i) {
        proxies.emplace_back(all, links, as, i, seeds.seed());
        proxies.back().on_answer = [&, i](const client_request &of, reply with, double retry_after,
                                          bool fits) {
            links.carry({link_kind::client_proxy, 0, i}, direction::backward, settings.network.latency,
                        answer_size, [&all, op = of.op, attempt = of.attempt, with, retry_after, fits] {
                            all.load_clients.answered(op, attempt, with, retry_after, fits);
                        });
        };
    }
    all.load_clients.is_reachable = [&](index proxy) { return proxies[proxy].accepts(); };
    all.load_clients.send = [&](const client_request &query) {
        links.carry({link_kind::client_proxy, 0, query.proxy}, direction::forward, settings.network.latency,
                    answer_size, [&, query] {
                        auto &to = proxies[query.proxy];
                        if (!to.up()) { // it ended meanwhile: the connection is refused
                            all.checker.request_not_accepted(query.op, query.attempt);
                            return all.load_clients.answered(query.op, query.attempt, reply::cut, 0, false);
                        }
                        if (query.end > clock.now()) // held longer, its client has gone
                            to.receive(query);
                    });
    };
    all.load_clients.abandon = [&](const client_request &query) {
        proxies[query.proxy].disconnect(query.op, query.attempt);
    };
    all.on_link = [&](const link_id &which, const link_conditions &before, const link_conditions &now) {
        links.on_conditions_changed(which, before, now);
        if (which.kind == link_kind::proxy_server)
            proxies[which.near].on_link_changed(which.far, before, now);
    };
    all.list.on_change = [&](const membership::member &what) {
        if (settings.list.form == list_service_kind::central)
            return all.service.changed();
        for (auto &each : proxies)
            each.on_list_changed(what);
    };
    all.on_list_stop = [&](bool begins) { all.list.silent(begins); };
    all.on_list_kill = [&](bool begins) {
        if (settings.list.form == list_service_kind::agent)
            return all.list.silent(begins);
        if (!begins)
            return all.service.rise();
        all.service.die();
        for (auto &each : proxies)
            each.on_list_service_died();
    };
    all.on_broken = [&](index server) {
        for (auto &each : proxies)
            each.on_server_lost(server);
    };
    for (index i = 0; i < all.servers.size(); ++i)
        all.servers.at(i).on_change = [&, i] { // a cold server that fell over
            if (!all.servers.at(i).up() && all.list.actual(i).state != endpoint_state::removed)
                for (auto &each : proxies)
                    each.on_server_lost(i);
        };
    std::vector<index> killed(proxies.size());
    all.on_proxy_kill = [&](index proxy, bool begins) {
        if (begins && killed[proxy]++ == 0)
            proxies[proxy].kill();
        else if (!begins && --killed[proxy] == 0)
            proxies[proxy].start();
    };
    all.on_proxy_pause = [&](index proxy, bool begins) { proxies[proxy].pause(begins); };
    all.on_proxy_restart = [&](index proxy, const fault_settings &fault) {
        if (fault.kind == fault_kind::proxy_late)
            return proxies[proxy].start();
        if (killed[proxy] == 0)
            proxies[proxy].end(
                [&, proxy, again = fault.kind == fault_kind::proxy_restart, wait = fault.lasts] {
                    if (again)
                        clock.after(std::max(wait, restart_time), [&, proxy] {
                            if (killed[proxy] == 0 && !proxies[proxy].up())
                                proxies[proxy].start();
                        });
                });
    };
    const std::vector<bool> late = late_starting_proxies(settings);
    const auto start_proxies = [&] {
        for (index i = 0; i < proxies.size(); ++i)
            if (!late[i])
                proxies[i].start();
    };
    if (!settings.proxies.start_with_load) {
        start_proxies();
        clock.advance(clock.now() + start_up, true);
    }
    all.start();
    if (settings.proxies.start_with_load)
        start_proxies();

    double told = began;
    const double end = clock.now() + settings.length + wind_down;
    while (!all.done() && clock.now() < end) {
        clock.advance(clock.now() + 0.25, true);
        if (how.progress != nullptr && wall_now() - told > told_every) {
            told = wall_now();
            *how.progress << "  " << settings.name << " seed " << seed << " " << as.name << ": "
                          << static_cast<int>(clock.now() - all.load_clients.began()) << " of "
                          << settings.length << " s, " << all.load_clients.operations() << " queries"
                          << std::endl;
        }
    }
    run_result made = all.result(as, "virtual");
    proxy_counts sum;
    for (const auto &each : proxies)
        sum.add(each.counts());
    made.fleet.emplace_back("dials_failed", sum.connect_errors);
    made.fleet.emplace_back("probes", sum.health_checks);
    made.fleet.emplace_back("lists_lost", sum.polls_failed);
    made.fleet.emplace_back("found_p50_s", sum.detection_time.percentile(50));
    made.fleet.emplace_back("found_p99_s", sum.detection_time.percentile(99));
    made.proxies = {
        {"sent", sum.sent},
        {"completed", sum.completed},
        {"rejected", sum.rejected},
        {"aborted", sum.aborted},
        {"called_off", sum.canceled},
        {"false_called_off", sum.false_canceled},
        {"false_probes", sum.false_health_checks},
        {"found", sum.faults_found},
        {"found_after_p50_us", static_cast<std::uint64_t>(sum.detection_time.percentile(50) * 1e6)},
        {"found_after_p99_us", static_cast<std::uint64_t>(sum.detection_time.percentile(99) * 1e6)},
        {"given_up", sum.timed_out},
        {"resets", sum.resets},
        {"connect_errors", sum.connect_errors},
        {"errors", sum.errors},
        {"queue_full", sum.overloaded},
        {"probes", sum.health_checks},
        {"probes_failed", sum.health_checks_failed}};
    made.wall = wall_now() - began;
    if (!all.done())
        made.void_because = "queries were still open long after the load";
    return made;
}

} // namespace harrierpass::testbed
