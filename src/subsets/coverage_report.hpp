// SPDX-License-Identifier: Apache-2.0
// What the choices of many proxies add up to, worked out without any of them: for the operators' table and
// for the tests of the bounds that docs/subsets.md states.
#pragma once

#include "subsets/subset_size.hpp"

#include <string>
#include <vector>

namespace harrierpass::subsets {

struct coverage_endpoint {
    std::string id;
    double weight = 1;
    index zone = none;
};

struct coverage_proxy {
    index proxy_index = 0;
    double attempt_rate = 0; // executions a second
    index level = 0;
};

// The servers that a proxy uses where all are well, by place in `servers`.
std::vector<index> selected_endpoints(const coverage_proxy &of,
                                      const std::vector<coverage_endpoint> &servers);

struct coverage_report {
    std::vector<index> proxies_per_endpoint; // by server: how many use it
    std::vector<double> relative_load;       // by server: its load over its weight's share of all
    std::vector<double> idle_connections;    // by server: those that rest there, by the model of width.hpp
    std::vector<index> subset_sizes;         // by proxy
    double new_connections_per_attempt = 0;  // new connections an execution, by the same model
};
coverage_report compute_coverage(const std::vector<coverage_proxy> &proxies,
                                 const std::vector<coverage_endpoint> &servers, const subset_costs &given);

// Preferences, of all proxies' together, that are there after a change and were not before.
std::size_t count_new_assignments(const std::vector<coverage_proxy> &before,
                                  const std::vector<coverage_endpoint> &old_servers,
                                  const std::vector<coverage_proxy> &after,
                                  const std::vector<coverage_endpoint> &servers);

} // namespace harrierpass::subsets
