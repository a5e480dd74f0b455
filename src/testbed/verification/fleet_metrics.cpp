// SPDX-License-Identifier: Apache-2.0
#include "testbed/verification/fleet_metrics.hpp"

#include <algorithm>
#include <cmath>

namespace harrierpass::testbed {
namespace {

constexpr std::size_t first_seconds = 5; // of a run, told apart from the rest: a start's, a restart's

} // namespace

std::size_t max_within(const std::vector<double> &times, double width) {
    std::size_t largest = 0, first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= width)
            ++first;
        largest = std::max(largest, last - first + 1);
    }
    return largest;
}

fleet_metrics::fleet_metrics(const timeline &clock, const experiment &given, index servers)
    : clock_(clock), experiment_(given), began_(clock.now()), dials_(servers + 1), executions_(servers + 1),
      open_(servers + 1), zones_(given.fleet.zones.size()) {
    std::vector<bool> faulted(given.proxies.count);
    const auto name = [&](const std::vector<index> &proxies) {
        for (const index each : proxies)
            faulted[each] = true;
    };
    for (const auto &each : given.faults)
        name(each.proxies);
    for (const auto &each : given.link_faults)
        if (each.kind == link_fault_kind::partition)
            name(each.proxies);
    const auto count = std::count(faulted.begin(), faulted.end(), true);
    if (count > 0 && count < static_cast<std::ptrdiff_t>(faulted.size()))
        faulted_ = std::move(faulted);
}

// What the proxies did before the load is start-up: calls and connections of it count as of second 0.
void fleet_metrics::on_load_started() {
    began_ = clock_.now();
}

std::size_t fleet_metrics::second() const {
    return static_cast<std::size_t>(std::max(0.0, clock_.now() - began_));
}

void fleet_metrics::on_connect(index server, bool there) {
    dials_.at(server).push_back(clock_.now());
    dead_dials_ += !there;
}

void fleet_metrics::on_connection_opened(index server) {
    max_open_ = std::max(max_open_, ++open_.at(server));
}

void fleet_metrics::on_connection_closed(index server) {
    if (open_.at(server) > 0)
        --open_[server];
}

void fleet_metrics::on_attempt(index server) {
    auto &of = executions_.at(server);
    of.resize(std::max(of.size(), second() + 1));
    ++of[second()];
}

void fleet_metrics::on_sent_to_dead(bool probe) {
    ++(probe ? dead_probes_ : dead_sends_);
}

void fleet_metrics::on_poll(list_poll as, std::size_t bytes) {
    ++(as == list_poll::snapshot ? snapshots_ : as == list_poll::watch ? watches_ : rejected_polls_);
    list_bytes_ += bytes;
    poll_times_.push_back(clock_.now());
}

void fleet_metrics::add(by_second &to, double worth, double asked) const {
    to.resize(std::max(to.size(), second() + 1));
    to[second()].first += worth;
    to[second()].second += asked;
}

double fleet_metrics::share(const by_second &of) {
    double worth = 0, asked = 0;
    for (const auto &[served, wanted] : of) {
        worth += served;
        asked += wanted;
    }
    return asked > 0 ? worth / asked : 1;
}

void fleet_metrics::on_request_settled(index proxy, double worth, double asked) {
    add(zones_.at(zone_of_proxy(experiment_, proxy)), worth, asked);
    if (!faulted_.empty())
        add(faulted_[proxy] ? faulted_served_ : other_served_, worth, asked);
}

std::vector<std::pair<std::string, double>> fleet_metrics::all(std::uint64_t queries) const {
    const auto count = static_cast<double>(std::max<std::uint64_t>(1, queries));
    double dials = 0, largest = 0;
    for (const auto &each : dials_) {
        dials += static_cast<double>(each.size());
        largest = std::max(largest, static_cast<double>(max_within(each, 1)));
    }
    // In each second the busiest server against the mean of all that got any in the run.
    std::vector<double> over;
    const auto seconds = static_cast<std::size_t>(experiment_.length);
    for (std::size_t i = 0; i < seconds; ++i) {
        double sum = 0, busiest = 0, servers = 0;
        for (const auto &each : executions_) {
            if (each.empty())
                continue;
            const double one = i < each.size() ? each[i] : 0;
            sum += one;
            busiest = std::max(busiest, one);
            ++servers;
        }
        if (sum > 0)
            over.push_back(busiest * servers / sum);
    }
    std::sort(over.begin(), over.end());
    double worst_zone = 1;
    double early = 0, early_asked = 0, later = 0, later_asked = 0;
    for (const auto &zone : zones_) {
        for (std::size_t i = 0; i < zone.size(); ++i) {
            (i < first_seconds ? early : later) += zone[i].first;
            (i < first_seconds ? early_asked : later_asked) += zone[i].second;
        }
        worst_zone = std::min(worst_zone, share(zone));
    }
    std::vector<std::pair<std::string, double>> made = {
        {"dials_a_query", dials / count},
        {"dials_most_1s", largest},
        {"open_most", static_cast<double>(max_open_)},
        {"list_whole", static_cast<double>(snapshots_)},
        {"list_watch", static_cast<double>(watches_)},
        {"list_refused", static_cast<double>(rejected_polls_)},
        {"list_kb", static_cast<double>(list_bytes_) / 1024},
        {"list_most_100ms", static_cast<double>(max_within(poll_times_, 0.1))},
        {"dead_dials", static_cast<double>(dead_dials_)},
        {"dead_sends", static_cast<double>(dead_sends_)},
        {"dead_probes", static_cast<double>(dead_probes_)},
        {"over_mean_p50", over.empty() ? 0 : over[over.size() / 2]},
        {"over_mean_most", over.empty() ? 0 : over.back()},
        {"worst_zone", worst_zone},
        {"first_5s", early_asked > 0 ? early / early_asked : 1},
        {"after_5s", later_asked > 0 ? later / later_asked : 1}};
    if (!faulted_.empty()) {
        made.emplace_back("struck", share(faulted_served_));
        made.emplace_back("not_struck", share(other_served_));
    }
    return made;
}

std::vector<std::pair<std::string, std::vector<double>>> fleet_metrics::series() const {
    const auto seconds = static_cast<std::size_t>(std::ceil(experiment_.length));
    std::vector<std::pair<std::string, std::vector<double>>> made;
    const auto line = [&](const std::string &name, const by_second &of) {
        std::vector<double> values(seconds, std::nan(""));
        for (std::size_t i = 0; i < std::min(seconds, of.size()); ++i)
            if (of[i].second > 0)
                values[i] = of[i].first / of[i].second;
        made.emplace_back(name, std::move(values));
    };
    for (std::size_t zone = 0; zone < zones_.size(); ++zone)
        line("zone " + experiment_.fleet.zones[zone], zones_[zone]);
    if (!faulted_.empty()) {
        line("group struck", faulted_served_);
        line("group not struck", other_served_);
    }
    std::vector<double> dials(seconds), calls(seconds);
    const auto add = [&](std::vector<double> &to, double when) {
        const double at = when - began_;
        if (at >= 0 && at < static_cast<double>(seconds))
            ++to[static_cast<std::size_t>(at)];
    };
    for (const auto &server : dials_)
        for (const double when : server)
            add(dials, when);
    for (const double when : poll_times_)
        add(calls, when);
    made.emplace_back("connections", std::move(dials));
    made.emplace_back("list calls", std::move(calls));
    return made;
}

} // namespace harrierpass::testbed
