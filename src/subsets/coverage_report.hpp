// SPDX-License-Identifier: Apache-2.0
// Computes the load and the connections that the subsets of all proxies cause together, without running a
// proxy. Used by the operators' table and by the tests of the bounds in docs/subsets.md. Pure functions.
#pragma once

#include "subsets/subset_size.hpp"

#include <string>
#include <vector>

namespace harrierpass::subsets {

// Properties of an endpoint that affect subsets.
struct coverage_endpoint {
    std::string id;
    double weight = 1;
    zone_index zone = none;
};

// Properties of a proxy that affect its subset.
struct coverage_proxy {
    index proxy_index = 0;
    double attempt_rate = 0; // attempts per second
    index level = 0;
};

// Returns the subset of a proxy while all endpoints are healthy, as positions in `endpoints`, nearest first.
std::vector<index> selected_endpoints(const coverage_proxy &proxy,
                                      const std::vector<coverage_endpoint> &endpoints);

// Load and connections per endpoint, by the model of request_cost().
struct coverage_report {
    std::vector<index> proxies_per_endpoint; // by endpoint: proxies that use it
    std::vector<double> relative_load;       // by endpoint: load divided by the fair share by weight
    std::vector<double> idle_connections;    // by endpoint: mean number of idle connections
    std::vector<index> subset_sizes;         // by proxy: endpoints in its subset
    double new_connections_per_attempt = 0;
};

// Computes the report for a fleet of proxies while all endpoints are healthy.
coverage_report compute_coverage(const std::vector<coverage_proxy> &proxies,
                                 const std::vector<coverage_endpoint> &endpoints, const subset_costs &costs);

// Counts the pairs of a proxy and a selected endpoint that exist after a change but not before it.
std::size_t count_new_assignments(const std::vector<coverage_proxy> &proxies_before,
                                  const std::vector<coverage_endpoint> &endpoints_before,
                                  const std::vector<coverage_proxy> &proxies_after,
                                  const std::vector<coverage_endpoint> &endpoints_after);

} // namespace harrierpass::subsets
