// SPDX-License-Identifier: Apache-2.0
// An experiment: fleet, load, faults, variants and seeds, as plain values. experiment_reader.hpp reads one
// from a file; docs/testbed.md describes its keys.
#pragma once

#include "discovery/poll_intervals.hpp"
#include "router/types.hpp"
#include "testbed/model/fault_settings.hpp"

#include <stdexcept>
#include <string>
#include <vector>

namespace harrierpass::testbed {

// An experiment, or a name in it, cannot be used. The message names file and line where there are any.
struct experiment_error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// One kind of requests: its share of the load, its work, and how the router treats it.
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

// A customer that requests are counted for.
struct tenant_settings {
    std::string name;
    double share = 1;     // of the load
    double quota_rps = 0; // 0: none
};

// The cache servers.
struct fleet_settings {
    index servers = 3;
    std::vector<std::string> zones = {"a"}; // servers and proxies are dealt out over them in turn
    index proxy_only_zones = 0;             // the last so many of them have proxies and no servers
    index cores = 2;                        // of a server
    double slowest = 1;                     // speed; servers lie evenly between it and 1
    index queue = 100;                      // attempts that wait at a server
    index cache_capacity = 1000;            // keys that a server keeps
    bool cache_aside = false;               // servers report a miss, and proxies fetch from the origin
    bool starts_warm = true;                // the most popular keys are there at the start
    double idle_timeout = 5;                // s that a server keeps an idle connection
    double connect_work =
        0; // s of a core that a new connection costs a server; its first request waits a round trip more
    index hosts = 0; // processes that the servers are dealt out over; 0: none of their own (sockets)
};

// The place that all values come from.
struct origin_settings {
    index workers = 8;
    double work = 0.02; // s, in the mean
    double spread = 0.3;
    index queue = 500; // fetches that wait
};

// How restarted servers warm up, and when too many requests overload one meanwhile.
struct warm_up_settings {
    slow_start_settings routing;
    double overload_factor = 4; // times the work that a warming server can do in
    double overload_window = 2; // s; a server with more than that fails, and stays down
};

// Latencies, one way, and how long a connection may take to come up.
struct network_settings {
    double latency = 0.0002, cross_zone_latency = 0.0002; // s
    double connect_timeout = 0.25;                        // s
};

// Who serves the endpoint list.
enum class list_service_kind : std::uint8_t {
    agent,  // one beside each proxy, at no cost
    central // one service for all, with workers and a queue
};

// The service of the endpoint list.
struct list_service_settings {
    list_service_kind form = list_service_kind::agent;
    index workers = 1;           // of the central service
    double snapshot_work = 0.05; // s of a worker for a snapshot
    double watch_work = 0.001;   // s of a worker to open a watch
    index queue = 20;            // polls that wait; beyond, 503
    double retry_after = 5;      // s, the Retry-After of a 503
    bool own_process = false;    // on sockets
    double lag = 0.05;           // s until a change is on the list, in the mean
    double notice = 2;           // s until the list leaves out a process that died
    double lose = 0;             // share of watches that fail
    double drain_grace = 2; // s after its notification in which new work may still go to a draining server
};

// What clients send, and how they retry.
struct load_settings {
    double rate = 100;     // requests a second over all proxies; 0: closed loop only
    index closed = 0;      // clients that send their next request after a response
    double think_time = 0; // s that these wait before it
    index keys = 1000;
    double zipf = 0.9;                // exponent of popularity
    double popularity_drift_time = 0; // s after which a tenth of the ranks belongs to other keys; 0: never
    double peak_factor =
        1;             // times the rate at the middle of the run, rising and falling by a sine; a day's curve
    index retries = 2; // retries of a client
    double retry_after_share = 1;     // share of clients that wait as Retry-After says
    double retry_delay = 0.05;        // s that others wait
    double proxy_share_deviation = 0; // deviation of the logarithm of the proxies' shares of the load
    double first_proxy_share = 0; // share of all that the first proxy carries; 0: a share like the others'
    double response_grace = 0.05; // s after its deadline in which a client still accepts a response
    index idle_connections = 0;   // idle connections at each proxy, beside those of the load (sockets)
    double hottest_key_share = 0; // share of the requests for the most popular key, beside its popularity
};

// Costs that the proxies are configured with; nothing else of a run follows from them.
struct cost_settings {
    double handshake = 0, origin = 0; // of a response's value, for a new connection, for an origin fetch
};

// The endpoint list that a proxy process knows when it starts.
enum class initial_list_kind : std::uint8_t {
    none,
    list, // as it stands at the process's start
    stale // three in ten of its servers are gone, and as many new ones are missing
};

// The proxies and what they are configured with.
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
    double stale_list_share = 1;         // share of the proxies whose list is stale, where that is chosen
    bool shared_list = false;            // they poll the list service as one that serves them all
    bool snapshots = false;              // they keep the list in a file (sockets)
    bool may_exchange_datagrams = false; // datagrams between them are allowed
};

// Who routes: harrierpass's router, or a baseline (runs/baseline_policies.hpp).
enum class policy_kind : std::uint8_t { module, full_list, random, less_loaded_of_two, plain_ring };
// A rule that the testbed's own proxies break on purpose, to show that the rule checker sees it.
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

// One of the policies that an experiment compares.
struct variant_settings {
    std::string name = "harrierpass";
    policy_kind policy = policy_kind::module;
    injected_violation violation = injected_violation::nothing;
};

// All of one experiment.
struct experiment {
    std::string name, about, text; // text: the file's own, which results carry a hash of
    std::string merged_text;       // with its base and its size, for worker processes
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

// The router settings of the proxy with this number.
router_settings router_settings_for(const experiment &settings, index proxy);
// The zone of a server, of a proxy, as positions in fleet.zones.
index zone_of(const experiment &settings, index server);
index zone_of_proxy(const experiment &settings, index proxy);
// Servers that deduplicate one another's retries of this use case have the same group. A cell is one server;
// the origin, in cache-aside mode, is a server of its own in every scope but `all`.
index deduplication_group_of(const experiment &settings, index use_case, index server);

// The number of servers in a run, with those that join later.
index total_server_count(const experiment &settings);
// By proxy: whether it starts only with a fault of kind proxy_late.
std::vector<bool> late_starting_proxies(const experiment &settings);
// s within which a proxy expects a response of a central list service, and polls again after a failure.
double list_response_timeout(const list_service_settings &settings);
// How a proxy polls the list service, as its configuration has it.
discovery::poll_settings list_poll_settings(const experiment &settings);
// Whether the list that a proxy starts with is stale, and whether such a list names a server.
bool starts_with_stale_list(const experiment &settings, index proxy);
bool in_stale_list(const experiment &settings, index server);
// The number of the process that a server belongs to; none where servers have no processes of their own.
index host_of(const experiment &settings, index server);
// The names that experiment files and command lines use. Parsing throws experiment_error.
const char *name_of(policy_kind policy);
policy_kind parse_policy_kind(const std::string &name);
const char *name_of(injected_violation violation);
injected_violation parse_injected_violation(const std::string &name);

} // namespace harrierpass::testbed
