// SPDX-License-Identifier: Apache-2.0
// A run on sockets, in real time: the modelled servers and the clients in one loop of this process, each
// proxy a process of its own, or embedded as the library that others can link.
#pragma once

#include "testbed/runs/run_environment.hpp"

namespace harrierpass::testbed {

constexpr double socket_clock_slack = 0.05;  // s by which the clocks of processes and their reports differ
constexpr double socket_wind_down_time = 30; // s after the load for the last requests, at most

// How proxies are run.
struct socket_options {
    std::string program; // the proxy; for baselines `self` proxy --by NAME
    std::string self;    // this program
    std::string logs;    // a folder for proxies' logs and configurations; empty: a temporary one
    bool embeds = false; // proxies as threads of this process
    std::ostream *progress = nullptr;
};

// Runs one variant with one seed. Throws experiment_error if the run cannot be set up.
run_result run_on_sockets(const experiment &settings, const variant_settings &variant, std::uint32_t seed,
                          const socket_options &options);

} // namespace harrierpass::testbed
