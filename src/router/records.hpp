// SPDX-License-Identifier: Apache-2.0
// What the router remembers of queries and servers: plain records, private to router.cpp.
#pragma once

#include "router/types.hpp"

#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>

namespace harrierpass {

struct execution {
    index server;
    double sent;
    bool open = true;
    outcome result = outcome::canceled;
    bool counted = false; // in flight; not while a long body goes there or a long answer comes back
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
    bool write = false, uploading = false, excess = false, to_origin = false, leads = false, follows = false;
    index generation = 0;
    use_case use; // as the settings had it when the query came
    std::uint64_t key = 0, hash = 0;
    bool has_key = false, hot = false; // hot: its key alone is more than a server's fair share
    double end = 0, hold_end = 0;
    double worth = 0; // importance, less beyond the tenant's share
    double luck = 0;  // of 1; where it falls between two executions, a limit is open to lower ones
    index open = 0;
    std::vector<execution> executions;
};

// On executions in flight.
struct limit {
    double cap = 0, least = 0;       // executions
    double target = 0, weight = 0;   // of `slow`, and of a new answer in it
    double parts = 1;                // warm servers, for each of which `cap` is
    double slow = 0;                 // mean of answer time / SLO time
    double base = 0;                 // `slow` at the least cap, where that is no fault of the load
    double cut_at = 0, heard_at = 0; // s
};

struct server {
    std::string id;
    list_entry as; // as last listed, but for the id
    health at = health::ready;
    bool broke = false, died = false; // an execution broke; and then a trial of the suspect failed
    bool dropped = false;             // by the list, which had not told of a drain; it may still be there
    index points = 0, laid = 0, active = 0; // points of its own; those on the ring; those in use now
    index in_flight = 0;
    limit lim;
    double bad = 0;               // mean share of broken executions
    double errors = 0;            // mean share of errors among its answers
    double quiet = 0, silent = 0; // execution-seconds without a sign of life, and seconds of it
    double quiet_at = 0;          // up to when
    double cold_since = 0, full_until = 0;
    double rest = 0, refused_at = 0; // the origin's: s that it is left alone; when it last refused
    double told = 0, told_at = 0;    // queries in hand by its last report, and when
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

// All that one router knows: what its settings came to, and what it saw.
struct memory {
    memory(std::uint32_t seed, double now) : now_(now), chance_(seed) {}

    double now_;
    std::minstd_rand chance_;
    std::vector<use_case> use_cases_;
    allowances allow_;
    cold_rule cold_;
    double peers_ = 1, excess_importance_ = 1;
    double end_margin_ = 0; // s before the statement timeout at which a query gets its final answer
    index origin_kind_ = none;
    index home_zone_ = none; // the proxy's
    index own_zone_ = none;  // whose servers go first; none: nowhere
    double cross_price_ = 0; // of an answer's worth
    index origin_ = none;

    std::vector<tenant_share> tenants_;
    std::vector<query> queries_;
    std::deque<std::uint64_t> recent_;                 // keys of the latest queries ...
    std::unordered_map<std::uint64_t, index> seen_;    // ... and how often each is among them; never iterated
    double own_part_ = 0;                              // of 1; which of a hot key's places this proxy uses
    std::vector<index> held_;                          // by importance, then age
    std::unordered_map<std::uint64_t, index> fetches_; // key to the query that fetches it; never iterated
    std::priority_queue<due, std::vector<due>, std::greater<>> due_;
    double repeats_ = 0; // further executions that may follow ones that may have run

    std::vector<server> servers_;
    std::vector<point> ring_;
    std::vector<index> on_ring_;
    index usable_ = 0, total_in_flight_ = 0;     // servers to choose from; executions at all of them
    limit all_;                                  // on executions at all of them
    double room_ = 0;                            // what it comes to
    double mean_answer_ = 0;                     // s
    double errors_ = 0;                          // mean share of errors among all answers
    std::unordered_map<index, double> quickest_; // s, of a zone's latest answers; never iterated
    double mean_told_ = 0;                       // queries in hand, by the servers' reports
    double least_silent_ = 0;                    // s
    double shortest_ = 0;                        // SLO time, s
    double swept_ = 0;                           // when the last sweep was, s
    bool mass_doubt_ = false;                    // so many are suspect that suspicion is not to be trusted

    double call_at_ = 0, call_gap_ = 0; // when the list is asked for next; s between calls
};

} // namespace harrierpass
