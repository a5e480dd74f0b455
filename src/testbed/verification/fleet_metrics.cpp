// SPDX-License-Identifier: Apache-2.0
#include "testbed/verification/fleet_metrics.hpp"

#include <algorithm>
#include <cmath>

namespace harrierpass::testbed {
namespace {

// Reported apart from the rest of the run, to show the effects of a start or restart.
constexpr std::size_t startup_seconds = 5;

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

fleet_metrics::fleet_metrics(const timeline &clock, const experiment &settings, index servers)
    : clock_(clock), experiment_(settings), start_time_(clock.now()), connect_times_(servers + 1),
      attempts_(servers + 1), open_connections_(servers + 1), zones_(settings.fleet.zones.size()) {
    std::vector<bool> faulted(settings.proxies.count);
    const auto mark_faulted = [&](const std::vector<index> &proxies) {
        for (const index proxy : proxies)
            faulted[proxy] = true;
    };
    for (const auto &fault : settings.faults)
        mark_faulted(fault.proxies);
    for (const auto &fault : settings.link_faults)
        if (fault.kind == link_fault_kind::partition)
            mark_faulted(fault.proxies);
    const auto count = std::count(faulted.begin(), faulted.end(), true);
    if (count > 0 && count < static_cast<std::ptrdiff_t>(faulted.size()))
        faulted_ = std::move(faulted);
}

// Polls and connections before the load belong to the proxies' start-up and count in second 0.
void fleet_metrics::on_load_started() {
    start_time_ = clock_.now();
}

std::size_t fleet_metrics::current_second() const {
    return static_cast<std::size_t>(std::max(0.0, clock_.now() - start_time_));
}

void fleet_metrics::on_connect(index server, bool process_running) {
    connect_times_.at(server).push_back(clock_.now());
    dead_connects_ += !process_running;
}

void fleet_metrics::on_connection_opened(index server) {
    max_open_connections_ = std::max(max_open_connections_, ++open_connections_.at(server));
}

void fleet_metrics::on_connection_closed(index server) {
    if (open_connections_.at(server) > 0)
        --open_connections_[server];
}

void fleet_metrics::on_attempt(index server) {
    auto &by_second = attempts_.at(server);
    by_second.resize(std::max(by_second.size(), current_second() + 1));
    ++by_second[current_second()];
}

void fleet_metrics::on_sent_to_dead(bool health_check) {
    ++(health_check ? dead_health_checks_ : dead_attempts_);
}

void fleet_metrics::on_poll(list_poll response, std::size_t bytes) {
    ++(response == list_poll::snapshot ? snapshots_
       : response == list_poll::watch  ? watches_
                                       : rejected_polls_);
    list_bytes_ += bytes;
    poll_times_.push_back(clock_.now());
}

void fleet_metrics::add(weights_by_second &weights, double served, double requested) const {
    weights.resize(std::max(weights.size(), current_second() + 1));
    weights[current_second()].served += served;
    weights[current_second()].requested += requested;
}

double fleet_metrics::served_share(const weights_by_second &weights) {
    double served = 0, requested = 0;
    for (const auto &second : weights) {
        served += second.served;
        requested += second.requested;
    }
    return requested > 0 ? served / requested : 1;
}

void fleet_metrics::on_request_settled(index proxy, double served, double requested) {
    add(zones_.at(zone_of_proxy(experiment_, proxy)), served, requested);
    if (!faulted_.empty())
        add(faulted_[proxy] ? faulted_weights_ : other_weights_, served, requested);
}

std::vector<std::pair<std::string, double>> fleet_metrics::values(std::uint64_t requests) const {
    const auto request_count = static_cast<double>(std::max<std::uint64_t>(1, requests));
    double connects = 0, max_connects = 0;
    for (const auto &times : connect_times_) {
        connects += static_cast<double>(times.size());
        max_connects = std::max(max_connects, static_cast<double>(max_within(times, 1)));
    }
    // For each second, attempts at the busiest server relative to the mean of all servers that received any
    // attempt in the run.
    std::vector<double> peak_to_mean;
    const auto seconds = static_cast<std::size_t>(experiment_.length);
    for (std::size_t i = 0; i < seconds; ++i) {
        double sum = 0, busiest = 0, servers = 0;
        for (const auto &by_second : attempts_) {
            if (by_second.empty())
                continue;
            const double attempts = i < by_second.size() ? by_second[i] : 0;
            sum += attempts;
            busiest = std::max(busiest, attempts);
            ++servers;
        }
        if (sum > 0)
            peak_to_mean.push_back(busiest * servers / sum);
    }
    std::sort(peak_to_mean.begin(), peak_to_mean.end());
    double worst_zone = 1;
    double startup_served = 0, startup_requested = 0, later_served = 0, later_requested = 0;
    for (const auto &zone : zones_) {
        for (std::size_t i = 0; i < zone.size(); ++i) {
            (i < startup_seconds ? startup_served : later_served) += zone[i].served;
            (i < startup_seconds ? startup_requested : later_requested) += zone[i].requested;
        }
        worst_zone = std::min(worst_zone, served_share(zone));
    }
    std::vector<std::pair<std::string, double>> values = {
        {"dials_a_query", connects / request_count},
        {"dials_most_1s", max_connects},
        {"open_most", static_cast<double>(max_open_connections_)},
        {"list_whole", static_cast<double>(snapshots_)},
        {"list_watch", static_cast<double>(watches_)},
        {"list_refused", static_cast<double>(rejected_polls_)},
        {"list_kb", static_cast<double>(list_bytes_) / 1024},
        {"list_most_100ms", static_cast<double>(max_within(poll_times_, 0.1))},
        {"dead_dials", static_cast<double>(dead_connects_)},
        {"dead_sends", static_cast<double>(dead_attempts_)},
        {"dead_probes", static_cast<double>(dead_health_checks_)},
        {"over_mean_p50", peak_to_mean.empty() ? 0 : peak_to_mean[peak_to_mean.size() / 2]},
        {"over_mean_most", peak_to_mean.empty() ? 0 : peak_to_mean.back()},
        {"worst_zone", worst_zone},
        {"first_5s", startup_requested > 0 ? startup_served / startup_requested : 1},
        {"after_5s", later_requested > 0 ? later_served / later_requested : 1}};
    if (!faulted_.empty()) {
        values.emplace_back("struck", served_share(faulted_weights_));
        values.emplace_back("not_struck", served_share(other_weights_));
    }
    return values;
}

std::vector<std::pair<std::string, std::vector<double>>> fleet_metrics::series() const {
    const auto seconds = static_cast<std::size_t>(std::ceil(experiment_.length));
    std::vector<std::pair<std::string, std::vector<double>>> all_series;
    const auto add_served_share = [&](const std::string &name, const weights_by_second &weights) {
        std::vector<double> shares(seconds, std::nan(""));
        for (std::size_t i = 0; i < std::min(seconds, weights.size()); ++i)
            if (weights[i].requested > 0)
                shares[i] = weights[i].served / weights[i].requested;
        all_series.emplace_back(name, std::move(shares));
    };
    for (std::size_t zone = 0; zone < zones_.size(); ++zone)
        add_served_share("zone " + experiment_.fleet.zones[zone], zones_[zone]);
    if (!faulted_.empty()) {
        add_served_share("group struck", faulted_weights_);
        add_served_share("group not struck", other_weights_);
    }
    std::vector<double> connects(seconds), polls(seconds);
    const auto count_at = [&](std::vector<double> &counts, double time) {
        const double second = time - start_time_;
        if (second >= 0 && second < static_cast<double>(seconds))
            ++counts[static_cast<std::size_t>(second)];
    };
    for (const auto &times : connect_times_)
        for (const double time : times)
            count_at(connects, time);
    for (const double time : poll_times_)
        count_at(polls, time);
    all_series.emplace_back("connections", std::move(connects));
    all_series.emplace_back("list calls", std::move(polls));
    return all_series;
}

} // namespace harrierpass::testbed
