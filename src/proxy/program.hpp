// SPDX-License-Identifier: Apache-2.0
// The proxy as a program: command line, environment and signals.
#pragma once

#include "proxy/request/dispatcher.hpp"

namespace harrierpass::proxy {

// Runs the program until SIGTERM or SIGINT and returns its exit status. The configuration is named by the
// first argument or by BALANCER_CONFIG, the log level by BALANCER_LOG. With --check the configuration is
// previewed and nothing is started. SIGHUP reads the configuration again. The counters are printed on SIGUSR1
// and at the end.
int run(int argument_count, char **arguments, router_factory make_router = subsets::make_subset_router);

} // namespace harrierpass::proxy
