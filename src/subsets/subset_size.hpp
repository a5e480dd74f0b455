// SPDX-License-Identifier: Apache-2.0
// How narrow a proxy's subset should be: a price of new connections against one of fetches, by settings and
// by what the proxy sees of its own traffic. No state, no clock.
#pragma once

#include "router/types.hpp"

namespace harrierpass::subsets {

// What one proxy saw of late.
struct traffic_sample {
    double attempt_rate = 0;       // executions a second
    double in_flight = 0;          // executions, the mean
    double origin_fetch_share = 0; // share of its answers for which the origin was asked
    double origin_fetch_loss =
        0;                    // of an answer's worth, that a fetched one loses by coming late, over a hit's
    index observed_level = 0; // the level at which this was so
};

struct subset_costs {
    double connection_cost = 0;   // of an answer's worth, for a new connection
    double origin_fetch_cost = 0; // likewise, for a fetch
    double idle_timeout = 0;      // s for which a connection that rests is kept
};

// What a query costs at a level, in shares of an answer's worth. With executions at random times a server
// that gets `rate / width` of them a second is met after its connection has been closed in one of
// exp(rest * rate / width) cases. A key is held by up to 2^level servers, as many as share no proxy; where a
// share f of its answers was fetched, one of c times as many places makes it c f / (c f + 1 - f), as each
// place is asked c times as rarely while copies live as long.
double request_cost(const subset_costs &given, const traffic_sample &seen, index servers, index peers,
                    index level);

// The level to go to from `now`: the cheapest of those that leave enough servers, if it saves enough.
// Before a proxy knows its traffic: narrow enough that its first connections are such as it will keep.
index initial_level(index servers, index peers);

index best_level(const subset_costs &given, const traffic_sample &seen, index servers, index peers,
                 index now);

// The settings alone say that no level above 0 can ever gain.
bool subsetting_never_helps(const router_settings &given);

} // namespace harrierpass::subsets
