// SPDX-License-Identifier: Apache-2.0
// Figures of a whole fleet that no one process could tell: what all proxies together do to each server and to
// the list service. Told by the stand-ins; in virtual time by the links' ends.
#pragma once

#include "testbed/model/experiment.hpp"
#include "testbed/model/histogram.hpp"
#include "testbed/model/timeline.hpp"

#include <cstdint>
#include <string>
#include <utility>

namespace harrierpass::testbed {

enum class list_poll : std::uint8_t { snapshot, watch, rejected };

class fleet_metrics {
public:
    fleet_metrics(const timeline &clock, const experiment &given, index servers);

    void on_load_started(); // the load does
    // A connection to a server. `there`: somebody is.
    void on_connect(index server, bool there);
    void on_connection_opened(index server);
    void on_connection_closed(index server);
    void on_attempt(index server);                 // came to a server
    void on_sent_to_dead(bool probe);              // an execution that found nobody, or a probe
    void on_poll(list_poll as, std::size_t bytes); // what the list service made of a call
    void on_request_settled(index proxy, double worth, double asked); // a client's query, settled

    // By name, in the order in which reports have them.
    std::vector<std::pair<std::string, double>> all(std::uint64_t queries) const;
    std::vector<std::pair<std::string, std::vector<double>>> series() const; // by second

private:
    using by_second = std::vector<std::pair<double, double>>; // served, asked
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
    // Of proxies that a fault of a process or a partition names, and of the others; where there are such.
    std::vector<bool> faulted_; // by proxy
    by_second faulted_served_, other_served_;
};

// The most of these times, in their order, that lie within any `width` s.
std::size_t max_within(const std::vector<double> &times, double width);

} // namespace harrierpass::testbed
