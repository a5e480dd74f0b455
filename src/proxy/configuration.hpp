// SPDX-License-Identifier: Apache-2.0
// The proxy's configuration, from the platform's JSON.
#pragma once

#include "base/json.hpp"
#include "discovery/poll_intervals.hpp"
#include "router/types.hpp"

#include <string>
#include <vector>

namespace harrierpass::proxy {

struct configuration {
    std::string name, listen, discovery;
    std::string control; // the operators' address; empty: there is no door
    std::uint32_t seed = 1;
    double memory_mb = 192;       // the platform's least, as is the next
    index max_descriptors = 1024; // file descriptors
    json known_endpoints;         // the list as this proxy last had it, in discovery's form
    router_settings router;       // the router's

    discovery::poll_settings poll; // how the list service is asked
    std::string snapshot_path;     // the file that the list is kept in; empty: none is
    double snapshot_max_age = 0;   // s after which it is too old

    std::vector<std::string> request_classes, tenants, zones, kinds; // names by index
    std::vector<double> request_timeouts;                            // s, by use case
    double connect_timeout = 0.25;                                   // s
    double upstream_idle_timeout = 5; // s that a server keeps an idle connection
};

// Throws bad_text.
configuration read_configuration(std::string_view text);

// The place of a name in a list of names; `none` where it is not there.
index index_of_name(const std::vector<std::string> &names, std::string_view name);

} // namespace harrierpass::proxy
