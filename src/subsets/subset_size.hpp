// SPDX-License-Identifier: Apache-2.0
// Computes the size of a proxy's subset from the cost of new connections and the cost of origin fetches, by
// the settings and the proxy's own traffic. Pure functions: no state, no clock.
//
// At level k, a subset is one of 2^k equal parts of the endpoints. At level 0, it contains all endpoints.
#pragma once

#include "router/types.hpp"

namespace harrierpass::subsets {

// Recent traffic of one proxy.
struct traffic_sample {
    double attempt_rate = 0;       // attempts per second
    double in_flight = 0;          // mean number of attempts
    double origin_fetch_share = 0; // share of responses that were fetched from the origin
    // Share of a response's value that a fetched response loses by lateness, beyond the loss of a cache hit.
    double origin_fetch_loss = 0;
    index observed_level = 0; // level of the subset during the observation
};

// Costs as shares of a response's value.
struct subset_costs {
    double connection_cost = 0;   // cost of a new connection
    double origin_fetch_cost = 0; // cost of a fetch from the origin
    double idle_timeout = 0;      // s until an idle connection is closed
};

// Computes the cost of a request at a level, as a share of a response's value.
//
// If attempts arrive at random times and an endpoint gets `rate / size` of them per second, the share of
// attempts that find their connection closed is exp(-idle_timeout * rate / size). Up to 2^level endpoints
// cache a key, as that many endpoints share no proxy. If a share f of the responses was fetched, the share
// with c times as many copies is c f / (c f + 1 - f), as each copy is requested c times less often and has
// the same lifetime.
double request_cost(const subset_costs &costs, const traffic_sample &traffic, index endpoint_count,
                    index proxy_count, index level);

// Returns the level of a proxy without traffic samples. It is narrow enough that the first connections are
// likely to stay in use.
index initial_level(index endpoint_count, index proxy_count);

// Returns the level with the lowest cost at which each proxy has enough endpoints and each endpoint enough
// proxies. Returns `current_level` if the difference in cost is too small.
index best_level(const subset_costs &costs, const traffic_sample &traffic, index endpoint_count,
                 index proxy_count, index current_level);

// Whether the settings alone rule out that a level above 0 has a lower cost.
bool subsetting_never_helps(const router_settings &settings);

} // namespace harrierpass::subsets
