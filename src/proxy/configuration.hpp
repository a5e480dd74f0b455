// SPDX-License-Identifier: Apache-2.0
// The proxy's configuration, from the platform's JSON.
#pragma once

#include "base/json.hpp"
#include "discovery/poll_intervals.hpp"
#include "router/types.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace harrierpass::proxy {

// What one proxy is configured with. Immutable once it is shared between threads.
struct configuration {
    std::string name;             // this proxy's
    std::string listen;           // address for clients
    std::string discovery;        // address of the discovery service
    std::string control;          // address for operators; empty: there is no control server
    std::uint32_t seed = 1;       // of random numbers
    double memory_mb = 192;       // limit of the process
    index max_descriptors = 1024; // limit of the process
    json known_endpoints;         // the list as this proxy last had it, in the service's format
    router_settings router;

    discovery::poll_settings poll; // of the discovery service
    std::string snapshot_path;     // file that the list is kept in; empty: none
    double snapshot_max_age = 0;   // s; an older file is not used

    std::vector<std::string> request_classes, tenants, zones, kinds; // names by index
    std::vector<double> request_timeouts;                            // s, by request class
    double connect_timeout = 0.25;                                   // s, for a connection to an upstream
    double upstream_idle_timeout = 5; // s for which an upstream keeps an idle connection
};

// Reads the platform's JSON. Throws parse_error.
configuration read_configuration(std::string_view text);

// The position of a name in a list of names; `none` where it is not there.
index index_of_name(const std::vector<std::string> &names, std::string_view name);

} // namespace harrierpass::proxy
