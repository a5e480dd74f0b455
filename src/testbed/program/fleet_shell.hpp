// SPDX-License-Identifier: Apache-2.0
// Runs the servers and discovery of a fleet at known ports, for interactive use and other programs. Faults
// come from the experiment or from commands on standard input.
#pragma once

#include "testbed/processes/fleet_ports.hpp"

#include <iosfwd>

namespace harrierpass::testbed {

struct shell_options {
    fleet_listen_ports ports;
    std::string proxy_address;      // the listen address in the proxy configuration
    std::string configuration_path; // where to write a proxy configuration; empty: none is written
    bool plays_faults = false;      // whether the experiment's faults take place
    bool prints_events = false;     // whether each event of the servers is printed
};

// Serves until SIGTERM, SIGINT or the command "quit". The end of standard input does not end it, so that it
// can run as a background job.
int serve_fleet(const experiment &settings, const shell_options &options);

} // namespace harrierpass::testbed
