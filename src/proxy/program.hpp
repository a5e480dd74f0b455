// SPDX-License-Identifier: Apache-2.0
// The proxy as a program: command line, environment and signals.
#pragma once

#include "proxy/request/dispatcher.hpp"

namespace harrierpass::proxy {

// Runs the program until SIGTERM or SIGINT and returns its exit status. The first argument or BALANCER_CONFIG
// names the configuration file, BALANCER_LOG the log level. With --check, prints a preview of the
// configuration and starts nothing. SIGHUP reloads the configuration. The counters are printed on SIGUSR1 and
// at exit.
int run(int argument_count, char **arguments, router_factory make_router = subsets::make_subset_router);

} // namespace harrierpass::proxy
