// SPDX-License-Identifier: Apache-2.0
// How narrow a proxy's subset should be: the cost of new connections against that of origin fetches, from the
// settings and from the proxy's own traffic. Pure functions: no state, no clock.
//
// A level k stands for a subset of one of 2^k equal parts of the endpoints; level 0 is all of them.
#pragma once

#include "router/types.hpp"

namespace harrierpass::subsets {

// What one proxy observed of its recent traffic.
struct traffic_sample {
    double attempt_rate = 0;       // attempts per second
    double in_flight = 0;          // mean number of attempts
    double origin_fetch_share = 0; // share of the responses for which the origin was asked
    double origin_fetch_loss = 0;  // of a response's value, lost by lateness: a fetched one's beyond a hit's
    index observed_level = 0;      // the level at which this was observed
};

// Costs as shares of the value of a response.
struct subset_costs {
    double connection_cost = 0;   // of a new connection
    double origin_fetch_cost = 0; // of a fetch from the origin
    double idle_timeout = 0;      // s for which an idle connection is kept
};

// The cost of a request at a level, as a share of a response's value.
//
// With attempts at random times, an endpoint that gets `rate / size` of them per second is met after its
// connection was closed in a share exp(-idle_timeout * rate / size) of the cases. A key is held by up to
// 2^level endpoints, as many as share no proxy. Where a share f of the responses was fetched, c times as many
// copies make it c f / (c f + 1 - f), as each copy is asked for c times as rarely and lives as long.
double request_cost(const subset_costs &costs, const traffic_sample &traffic, index endpoint_count,
                    index proxy_count, index level);

// The level of a proxy that does not know its traffic yet, so narrow that its first connections are likely to
// be kept.
index initial_level(index endpoint_count, index proxy_count);

// The cheapest level that leaves enough endpoints and proxies to each other, or `current_level` where the
// difference is too small to be worth a change.
index best_level(const subset_costs &costs, const traffic_sample &traffic, index endpoint_count,
                 index proxy_count, index current_level);

// Whether the settings alone rule out that any level above 0 is cheaper.
bool subsetting_never_helps(const router_settings &settings);

} // namespace harrierpass::subsets
