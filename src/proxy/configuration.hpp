// SPDX-License-Identifier: Apache-2.0
// The configuration of one proxy, read from the platform's JSON.
#pragma once

#include "base/json.hpp"
#include "discovery/poll_intervals.hpp"
#include "router/types.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace harrierpass::proxy {

// The configuration of one proxy. Immutable once it is shared between threads.
struct configuration {
    std::string name;              // name of this proxy
    std::string listen_address;    // on which clients are accepted
    std::string discovery_address; // of the discovery service
    std::string control_address;   // of the control server; empty: no control server
    std::uint32_t seed = 1;        // seed of the random number generators
    double memory_mb = 192;        // memory limit of the process, MB
    index max_descriptors = 1024;  // descriptor limit of the process
    json known_endpoints;          // latest endpoint list known to this proxy, in the service's format
    router_settings router;

    discovery::poll_settings poll; // how the discovery service is polled
    std::string snapshot_path;     // file in which the endpoint list is kept; empty: none
    double snapshot_max_age = 0;   // s; an older file is not used

    std::vector<std::string> request_classes, tenants, zones, kinds; // names by index
    std::vector<double> request_timeouts;                            // s, by request class
    double connect_timeout = 0.25;                                   // s; for connections to upstreams
    double upstream_idle_timeout = 5; // s; how long an upstream keeps an idle connection open
};

// Reads the platform's JSON. Throws parse_error if it is not a valid configuration.
configuration read_configuration(std::string_view text);

// The position of a name in a list of names, or `none`.
index index_of_name(const std::vector<std::string> &names, std::string_view name);

} // namespace harrierpass::proxy
