// SPDX-License-Identifier: Apache-2.0
// An experiment: fleet, load, faults, variants and seeds, from a TOML file. Strict: a key that is not known,
// a value outside its range, or a time without its unit ("8ms", "2s", "200us", "1min") is refused with file,
// line and reason, and nothing is run.
#pragma once

#include "discovery/poll_intervals.hpp"
#include "router/types.hpp"

#include <stdexcept>
#include <string>
#include <vector>

namespace harrierpass::testbed {

struct experiment_error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct request_class_settings {
    std::string name;
    request_class routing; // as the router has it
    bool write = false;
    bool keyed = true;
    double share = 1;    // of the load
    double work = 0.01;  // s of a core at speed 1, in the mean
    double spread = 0.5; // of its logarithm
    double timeout = 1;  // s
};

struct tenant_settings {
    std::string name;
    double share = 1;     // of the load
    double quota_rps = 0; // 0: none
};

struct fleet_settings {
    index servers = 3;
    std::vector<std::string> zones = {"a"}; // servers and proxies are dealt out over them in turn
    index proxy_only_zones = 0;             // the last so many of them have proxies and no servers
    index cores = 2;                        // of a server
    double slowest = 1;                     // speed; servers lie evenly between it and 1
    index queue = 100;                      // executions that wait at a server
    index cache_capacity = 1000;            // keys that a server keeps
    bool cache_aside = false;               // servers tell of a miss, and proxies ask the origin
    bool starts_warm = true;                // the most popular keys are there at the start
    double idle_timeout = 5;                // s that a server keeps an idle connection
    double connect_work =
        0;           // s of a core that a new connection costs a server; its first query waits a way more
    index hosts = 0; // processes that the servers are dealt out over; 0: none of their own (sockets)
};

struct origin_settings {
    index workers = 8;
    double work = 0.02; // s, in the mean
    double spread = 0.3;
    index queue = 500; // fetches that wait
};

struct warm_up_settings {
    slow_start_settings routing;
    double overload_factor = 4; // times what it can do in ...
    double overload_window = 2; // ... s: beyond it a cold server falls over, and stays down
};

struct network_settings {
    double latency = 0.0002, cross_zone_latency = 0.0002; // s
    double connect_timeout = 0.25;                        // s
};

enum class list_service_kind : std::uint8_t {
    agent,  // one beside each proxy, at no cost: what it has counts as told
    central // one service for all, with workers and a queue
};

struct list_service_settings {
    list_service_kind form = list_service_kind::agent;
    index workers = 1;           // of the central service
    double snapshot_work = 0.05; // s of a worker for a whole list
    double watch_work = 0.001;   // s of a worker to open a watch
    index queue = 20;            // calls that wait; beyond, 503
    double retry_after = 5;      // s, the Retry-After of that
    bool own_process = false;    // on sockets
    double lag = 0.05;           // s until a change is on the list, in the mean
    double notice = 2;           // s until the list leaves out a process that died
    double lose = 0;             // share of watches that are lost
    double drain_grace = 2;      // s after it was told in which new work may still go to a draining server
};

struct load_settings {
    double rate = 100;     // queries a second over all proxies; 0: closed loop only
    index closed = 0;      // clients that ask again when they have their answer
    double think_time = 0; // s that these wait before
    index keys = 1000;
    double zipf = 0.9;                // exponent of popularity
    double popularity_drift_time = 0; // s after which a tenth of the ranks belongs to other keys; 0: never
    double peak_factor =
        1;             // times the rate at the middle of the run, rising and falling by a sine; a day's curve
    index retries = 2; // further tries of a client
    double retry_after_share = 1;     // share of clients that wait as Retry-After says
    double retry_delay = 0.05;        // s that others wait
    double proxy_share_deviation = 0; // deviation of the logarithm of the proxies' parts of the load
    double first_proxy_share = 0; // share of all that the first proxy carries; 0: its part like the others'
    double response_grace = 0.05; // s after its deadline in which a client still takes an answer as given
    index idle_connections = 0;   // connections at each proxy that rest, beside those of the load (sockets)
    double hottest_key_share =
        0; // share of the queries that go to one key, beside what its popularity brings
};

// What the proxies are told; nothing else of a run follows from it.
struct cost_settings {
    double handshake = 0, origin = 0; // of an answer's worth, for a new connection, for a fetch
};

enum class initial_list_kind : std::uint8_t {
    none,
    list, // as it stands at the process's start
    stale // three in ten of its servers are gone, and as many new ones are not in it
};

struct proxy_settings {
    index count = 1;
    bool may_check_health = true, may_cancel = true;
    index max_attempts = 4;
    double max_retry_after = 0.5; // s, the longest that may be advised
    double over_quota_weight_share = 0.2;
    index sockets = 1024;
    double memory_mb = 192;
    bool start_with_load = false; // all start when the load does; else the load waits for them
    initial_list_kind initial_list = initial_list_kind::none; // the list that each process starts with
    double stale_list_share = 1;         // share of the proxies for which that is the old one, where it is
    bool shared_list = false;            // they ask the list service as one that serves them all
    bool snapshots = false;              // and keep its list in a file (sockets)
    bool may_exchange_datagrams = false; // datagrams between them are allowed
};

enum class fault_kind : std::uint8_t {
    crash,         // a process dies and is started again when the fault ends (for = 0: never)
    hang,          // open and new connections stay up and silent, work stands still
    vanish,        // the machine says nothing; new connections never come up
    slow,          // all its work takes `factor` times as long
    errors,        // `factor` of its answers are quick errors, of one use case where that is named
    malformed,     // `factor` of its answers cannot be read
    one_way,       // queries come and run, answers are lost
    drain,         // the list says so; after `for` the server is gone
    join,          // a server that was not there before is started, cold
    flap,          // the list leaves the server out and names it again, every half second
    list_silent,   // nobody is told anything
    list_stale,    // what is told is as old as the fault
    origin_slow,   // `factor` times
    origin_stop,   // nothing comes from it
    burst,         // `factor` times the load
    flood,         // a tenant's load is `factor` times
    proxy_kill,    // killed outright and started again after `for`
    proxy_pause,   // a proxy stands still
    client_pause,  // clients stand still, then send what came due meanwhile
    proxy_restart, // told to end, and started again, with another configuration, `for` after it has gone
    proxy_end,     // told to end, for good
    proxy_late,    // not there before
    proxy_signals, // told to read its configuration again, several times at once
    host_kill,     // a process of servers is killed outright and started again after `for`
    host_stop,     // it stands still
    list_kill,     // the list service is killed and started again
    list_stop      // it stands still
};

struct fault_settings {
    fault_kind kind = fault_kind::crash;
    double at = 0, lasts = 0;   // s
    double every = 0;           // s from one beginning to the next; 0: once
    std::vector<index> servers; // numbers, also of those that join
    std::vector<index> proxies; // numbers
    std::vector<index> hosts;   // numbers of servers' processes
    index use_case = none, tenant = none;
    double factor = 1;
};

// The ends that connections and datagrams run between. The near end connects.
enum class link_kind : std::uint8_t { client_proxy, proxy_server, proxy_list, proxy_proxy };

enum class link_fault_kind : std::uint8_t {
    drop,      // silent: what is sent is held, new connections never come up
    one_way,   // the same in one direction only
    reset,     // connections break at both ends; for as long as it lasts new ones break at once
    half_open, // the far end's connections break unseen by the near end, which hears nothing until the end
    slow,      // `delay` and `jitter` more, and a `pace`
    datagrams, // parts of them are `lost`, `doubled`, `reordered`
    partition  // all that crosses the border of a group is dropped
};

struct link_fault_settings {
    link_fault_kind kind = link_fault_kind::drop;
    double at = 0, lasts = 0, every = 0; // s, as a fault's
    std::vector<link_kind> between;      // empty: all
    std::vector<index> proxies, servers; // the ends that it touches, or the group's; empty: all (group: none)
    double share = 1;                    // of the pairs, by the run's seed
    bool to_far_end = true, to_near_end = true; // directions: from the near end, from the far end
    bool list = false;                          // is in the group, too
    bool clients = false;                       // are cut off from the group's proxies, too
    double delay = 0, jitter = 0;               // s
    double bytes_per_second = 0;                // bytes a second; 0: any
    double loss_share = 0, duplicate_share = 0, reorder_share = 0; // shares of datagrams
};

// What the system does to the proxies' processes (sockets; src/testbed/faults).
struct system_fault_settings {
    double rate = 0;            // share of the calls that fail or do a part of what was asked
    double from = 0, lasts = 0; // s since a process's start
    double clock_step = 0;      // s that the wall clock is off from then on
    bool any() const { return rate > 0 || clock_step != 0; }
};

enum class policy_kind : std::uint8_t { module, full_list, random, less_loaded_of_two, plain_ring };
// A rule that the lab's own stand-in proxy breaks on purpose, to show that the referee sees it.
enum class injected_violation : std::uint8_t {
    nothing,
    lose_response,
    answer_twice,
    execute_twice,
    concurrent_attempts,
    ignore_drain,
    overload_cold,
    late_attempt,
    wrong_body
};

struct variant_settings {
    std::string name = "harrierpass";
    policy_kind policy = policy_kind::module;
    injected_violation violation = injected_violation::nothing;
};

struct experiment {
    std::string name, about, text; // text: the file's own, which results carry a hash of
    std::string merged_text;       // as laid out with its base, for parts of a run that are processes
    std::vector<std::uint32_t> seeds = {1};
    double length = 20, settle = 0; // s; nothing counts for service in the first `settle` of them
    fleet_settings fleet;
    origin_settings origin;
    warm_up_settings warm_up;
    network_settings network;
    list_service_settings list;
    load_settings load;
    proxy_settings proxies;
    cost_settings costs;
    std::vector<request_class_settings> use_cases;
    std::vector<tenant_settings> tenants;
    std::vector<fault_settings> faults;
    std::vector<link_fault_settings> link_faults;
    system_fault_settings system;
    std::vector<variant_settings> variants;
};

// Throws experiment_error. `base = "FILE"` in a file lays it over that other one, beside it; its part [large]
// is laid over both where that size is asked for.
experiment read_experiment(const std::string &path, bool large = false);
experiment parse_experiment(const std::string &text, const std::string &name, bool large = false);

// What each proxy of it is told; `proxy` is its number.
router_settings router_settings_for(const experiment &settings, index proxy);
index zone_of(const experiment &settings, index server);
index zone_of_proxy(const experiment &settings, index proxy);
// The servers that drop one another's repeats of this use case have the same. A cell here is one server; the
// origin, in aside mode, is a server of its own in every grouping but `all`.
index deduplication_group_of(const experiment &settings, index use_case, index server);

const char *name_of(fault_kind kind);
const char *name_of(link_fault_kind kind);
const char *name_of(link_kind kind);
// All servers of a run, with those that join later.
index total_server_count(const experiment &settings);
// By proxy: whether a fault keeps it away at first.
std::vector<bool> late_starting_proxies(const experiment &settings);
// s within which the program wants an answer of a list that is told by itself, and asks again after a loss
// (as proxy/settings.cpp has it).
double list_response_timeout(const list_service_settings &settings);
// How a proxy asks the list service, as its configuration has it.
discovery::poll_settings list_poll_settings(const experiment &settings);
// Whether the list that a proxy starts with is the old one, and of that: what it says of a server.
bool starts_with_stale_list(const experiment &settings, index proxy);
bool in_stale_list(const experiment &settings, index server);
// The process of servers that one belongs to, where there are any.
index host_of(const experiment &settings, index server);
// Whether a fault has an end of its own besides its beginning.
bool has_end(const fault_settings &fault);
const char *name_of(policy_kind by);
policy_kind parse_policy_kind(const std::string &name); // throws experiment_error
const char *name_of(injected_violation which);
injected_violation parse_injected_violation(const std::string &name); // throws experiment_error

} // namespace harrierpass::testbed
