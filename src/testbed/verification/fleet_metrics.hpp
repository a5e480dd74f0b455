// SPDX-License-Identifier: Apache-2.0
// Fleet-wide metrics that no single process can measure: the load of all proxies together on each server and
// on the list service. Recorded by the testbed's servers and list service; in virtual time, by the model of
// the links.
#pragma once

#include "testbed/model/experiment.hpp"
#include "testbed/model/histogram.hpp"
#include "testbed/model/timeline.hpp"

#include <cstdint>
#include <string>
#include <utility>

namespace harrierpass::testbed {

// How the list service responded to a poll.
enum class list_poll : std::uint8_t { snapshot, watch, rejected };

// `clock` and `settings` must outlive it.
class fleet_metrics {
public:
    // `servers`: the number of servers, including those that join later.
    fleet_metrics(const timeline &clock, const experiment &settings, index servers);

    // Sets the origin of the times; earlier events count in second 0.
    void on_load_started();
    // A connection to a server was attempted, opened, closed.
    void on_connect(index server, bool process_running);
    void on_connection_opened(index server);
    void on_connection_closed(index server);
    void on_attempt(index server);           // a server received an attempt
    void on_sent_to_dead(bool health_check); // an attempt or health check was sent to a dead server
    void on_poll(list_poll response, std::size_t bytes);
    // A client's request is finished; `served` and `requested` are priority weights.
    void on_request_settled(index proxy, double served, double requested);

    // Values by name, in the order of reports. `requests`: requests of the run, the divisor of the ratios.
    std::vector<std::pair<std::string, double>> values(std::uint64_t requests) const;
    std::vector<std::pair<std::string, std::vector<double>>> series() const; // by second

private:
    struct priority_weights {
        double served = 0, requested = 0;
    };
    using weights_by_second = std::vector<priority_weights>;
    std::size_t current_second() const;
    void add(weights_by_second &weights, double served, double requested) const;
    static double served_share(const weights_by_second &weights);
    const timeline &clock_;
    const experiment &experiment_;
    double start_time_ = 0;
    std::vector<std::vector<double>> connect_times_;   // by server
    std::vector<double> poll_times_;                   // of the endpoint list
    std::vector<std::vector<std::uint32_t>> attempts_; // by server, second
    std::vector<std::uint64_t> open_connections_;      // by server
    std::uint64_t max_open_connections_ = 0, dead_connects_ = 0, dead_attempts_ = 0, dead_health_checks_ = 0;
    std::uint64_t snapshots_ = 0, watches_ = 0, rejected_polls_ = 0, list_bytes_ = 0;
    std::vector<weights_by_second> zones_; // by zone
    // Weights of the proxies that a process fault or a partition names, and of the others; empty if the
    // faults name all proxies or none.
    std::vector<bool> faulted_; // by proxy
    weights_by_second faulted_weights_, other_weights_;
};

// The largest number of these ascending times that lie within any interval of `width` seconds.
std::size_t max_within(const std::vector<double> &times, double width);

} // namespace harrierpass::testbed
