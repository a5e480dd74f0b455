// SPDX-License-Identifier: Apache-2.0
// What the router remembers of queries and servers: plain records, private to router.cpp.
#pragma once

#include "router/types.hpp"

#include <string>

namespace harrierpass {

struct execution {
    index server;
    double sent;
    bool open = true;
    outcome result = outcome::canceled;
};

enum class stage : std::uint8_t { held, running, over };
enum class input : std::uint8_t {
    nothing,
    arrives,
    go,
    sent,
    wait,
    hopeless,
    missed,
    unrun,
    doubtful,
    half,
    doubted,
    done,
    time_up,
    left
};
enum class health : std::uint8_t { ready, cold, suspect };
enum class sign : std::uint8_t { nothing, struck, answered, reborn, warmed };

struct query {
    bool live = false; // until the front may use its index again
    stage at = stage::over;
    bool write = false, excess = false, to_origin = false, leads = false, follows = false;
    index use_case = 0, generation = 0;
    std::uint64_t key = 0, hash = 0;
    bool has_key = false;
    double arrived = 0, end = 0, hold_end = 0;
    index open = 0;
    std::vector<execution> executions;
};

struct server {
    std::string id;
    list_entry as; // as last listed, but for the id
    health at = health::ready;
    bool died = false;
    index points = 0, active = 0; // points of its own; those in use now
    index in_flight = 0;
    double cap = 0;
    double slow = 0, mean = 0;      // means of answer time / SLO time and of answer time, s
    double base = 0;                // `slow` at the least cap
    double bad = 0;                 // mean share of broken executions
    double quiet = 0, quiet_at = 0; // execution-seconds without a sign of life, and up to when
    double pushed = 0,
           pushed_at = 0; // work sent while cold, in executions, less what the rule's budget lets go
    double cold_since = 0, cut_at = 0, full_until = 0;
    double condemned_at = 0, trial_at = 0, gap = 0;
};

struct point {
    std::uint64_t position;
    index server, order;
    bool operator<(const point &that) const {
        return position != that.position ? position < that.position : server < that.server;
    }
};

struct tenant_share {
    double rate, tokens, at;
};

struct due {
    double at;
    index query, generation;
    bool operator>(const due &that) const { return at > that.at; }
};

} // namespace harrierpass
