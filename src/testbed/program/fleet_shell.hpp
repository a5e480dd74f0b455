// SPDX-License-Identifier: Apache-2.0
// A fleet on sockets for people and other programs: servers and discovery at known ports, faults by script or
// typed in.
#pragma once

#include "testbed/processes/fleet_ports.hpp"

#include <iosfwd>

namespace harrierpass::testbed {

struct shell_options {
    fleet_listen_ports where;
    std::string listen, configuration; // of a proxy; where its configuration is written, if anywhere
    bool scripted = false;             // the experiment's faults are played
    bool chatty = false;               // a line for each execution that a server gets
};

// Until SIGTERM, SIGINT or "quit". The end of the input ends nothing: it may be a background job's.
int serve_fleet(const experiment &settings, const shell_options &how);

} // namespace harrierpass::testbed
