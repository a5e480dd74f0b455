// SPDX-License-Identifier: Apache-2.0
// Metrics of a whole fleet that no single process knows: the load that all proxies together put on each
// server and on the list service. Recorded by the stand-ins; in virtual time by the ends of links.
#pragma once

#include "testbed/model/experiment.hpp"
#include "testbed/model/histogram.hpp"
#include "testbed/model/timeline.hpp"

#include <cstdint>
#include <string>
#include <utility>

namespace harrierpass::testbed {

// How the list service answered a poll.
enum class list_poll : std::uint8_t { snapshot, watch, rejected };

// `clock` and `given` outlive it.
class fleet_metrics {
public:
    // `servers`: their number, with those that join later.
    fleet_metrics(const timeline &clock, const experiment &given, index servers);

    // Times count from here; what came before counts as of second 0.
    void on_load_started();
    // A connection to a server was attempted (`there`: its process runs), opened, closed.
    void on_connect(index server, bool there);
    void on_connection_opened(index server);
    void on_connection_closed(index server);
    void on_attempt(index server);                 // a server received an execution
    void on_sent_to_dead(bool probe);              // an execution, or a health check, at a dead server
    void on_poll(list_poll as, std::size_t bytes); // a poll of the list was answered
    void on_request_settled(index proxy, double worth, double asked); // a client's request is over

    // Values by name, in the order of reports. `queries`: requests of the run, for rates.
    std::vector<std::pair<std::string, double>> all(std::uint64_t queries) const;
    std::vector<std::pair<std::string, std::vector<double>>> series() const; // by second

private:
    using by_second = std::vector<std::pair<double, double>>; // priority weight served, asked for
    std::size_t second() const;
    void add(by_second &to, double worth, double asked) const;
    static double share(const by_second &of);
    const timeline &clock_;
    const experiment &experiment_;
    double began_ = 0;
    std::vector<std::vector<double>> dials_;             // by server: when
    std::vector<double> poll_times_;                     // of the list: when
    std::vector<std::vector<std::uint32_t>> executions_; // by server, second
    std::vector<std::uint64_t> open_;                    // by server
    std::uint64_t max_open_ = 0, dead_dials_ = 0, dead_sends_ = 0, dead_probes_ = 0;
    std::uint64_t snapshots_ = 0, watches_ = 0, rejected_polls_ = 0, list_bytes_ = 0;
    std::vector<by_second> zones_; // by zone
    // Served by proxies that a fault of a process or a partition names, and by the others; empty where all
    // or none are named.
    std::vector<bool> faulted_; // by proxy
    by_second faulted_served_, other_served_;
};

// The largest number of these ascending times that lie within any `width` s.
std::size_t max_within(const std::vector<double> &times, double width);

} // namespace harrierpass::testbed
