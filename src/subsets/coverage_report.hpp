// SPDX-License-Identifier: Apache-2.0
// What the subsets of many proxies add up to, computed without running any of them: for the operators' table
// and for the tests of the bounds that docs/subsets.md states. Pure functions.
#pragma once

#include "subsets/subset_size.hpp"

#include <string>
#include <vector>

namespace harrierpass::subsets {

// An endpoint, as far as subsets depend on it.
struct coverage_endpoint {
    std::string id;
    double weight = 1;
    zone_index zone = none;
};

// A proxy, as far as its subset depends on it.
struct coverage_proxy {
    index proxy_index = 0;
    double attempt_rate = 0; // attempts per second
    index level = 0;
};

// The endpoints that a proxy uses while all are healthy, as positions in `endpoints`, nearest first.
std::vector<index> selected_endpoints(const coverage_proxy &proxy,
                                      const std::vector<coverage_endpoint> &endpoints);

// The load and the connections that result, by the model of request_cost().
struct coverage_report {
    std::vector<index> proxies_per_endpoint; // by endpoint: how many use it
    std::vector<double> relative_load;       // by endpoint: its load over its fair share by weight
    std::vector<double> idle_connections;    // by endpoint: the mean number kept open
    std::vector<index> subset_sizes;         // by proxy
    double new_connections_per_attempt = 0;
};

// The report for a fleet of proxies before all endpoints, these healthy.
coverage_report compute_coverage(const std::vector<coverage_proxy> &proxies,
                                 const std::vector<coverage_endpoint> &endpoints, const subset_costs &costs);

// Pairs of a proxy and a selected endpoint that exist after a change and did not before it.
std::size_t count_new_assignments(const std::vector<coverage_proxy> &proxies_before,
                                  const std::vector<coverage_endpoint> &endpoints_before,
                                  const std::vector<coverage_proxy> &proxies_after,
                                  const std::vector<coverage_endpoint> &endpoints_after);

} // namespace harrierpass::subsets
