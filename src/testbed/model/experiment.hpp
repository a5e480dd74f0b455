// SPDX-License-Identifier: Apache-2.0
// Settings of an experiment: fleet, load, faults, variants and seeds. experiment_reader.hpp reads them from a
// file; docs/testbed.md describes its keys.
#pragma once

#include "discovery/poll_intervals.hpp"
#include "router/types.hpp"
#include "testbed/model/fault_settings.hpp"

#include <stdexcept>
#include <string>
#include <vector>

namespace harrierpass::testbed {

// Invalid experiment, or unknown name in it. The message has the file and line if there are any.
struct experiment_error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// One request class: its share of the load, its work, and its settings in the router.
struct request_class_settings {
    std::string name;
    request_class routing; // settings of the router
    bool write = false;
    bool keyed = true;
    double share = 1;    // of the load
    double work = 0.01;  // mean, in seconds of a core at speed 1
    double spread = 0.5; // standard deviation of the work's logarithm
    double timeout = 1;  // seconds
};

// A tenant whose requests are counted against a quota.
struct tenant_settings {
    std::string name;
    double share = 1;     // of the load
    double quota_rps = 0; // 0: none
};

// The cache servers.
struct fleet_settings {
    index servers = 3;
    std::vector<std::string> zones = {"a"}; // servers and proxies are assigned to them in turn
    index proxy_only_zones = 0;             // how many of the last zones have proxies but no servers
    index cores = 2;                        // of each server
    double slowest = 1;          // lowest speed; the servers' speeds are spaced evenly from it to 1
    index queue = 100;           // queued attempts of a server, at most
    index cache_capacity = 1000; // keys in a server's cache, at most
    bool cache_aside = false;    // servers report cache misses, and proxies fetch from the origin
    bool starts_warm = true;     // caches hold the most popular keys at the start
    double idle_timeout = 5;     // seconds after which a server closes an idle connection
    // Seconds of a core per new connection; its first request takes one more round trip.
    double connect_work = 0;
    index hosts = 0; // worker processes of the servers (sockets); 0: no separate processes
};

// The origin, which stores all values.
struct origin_settings {
    index workers = 8;
    double work = 0.02; // mean, in seconds
    double spread = 0.3;
    index queue = 500; // queued fetches, at most
};

// How restarted servers warm up, and which load makes a warming server fail.
struct warm_up_settings {
    slow_start_settings routing;
    double overload_factor = 4; // multiple of a warming server's capacity over
    double overload_window = 2; // seconds; a server with more load fails until it is restarted
};

// One-way latencies and the connect timeout.
struct network_settings {
    double latency = 0.0002, cross_zone_latency = 0.0002; // seconds
    double connect_timeout = 0.25;                        // seconds
};

// Kind of service that serves the endpoint list.
enum class list_service_kind : std::uint8_t {
    agent,  // one next to each proxy, at no cost
    central // one service for all proxies, with workers and a queue
};

// The endpoint list service.
struct list_service_settings {
    list_service_kind form = list_service_kind::agent;
    index workers = 1;           // of a central service
    double snapshot_work = 0.05; // seconds of a worker for each snapshot
    double watch_work = 0.001;   // seconds of a worker to open a watch
    index queue = 20;            // queued polls, at most; further ones get a 503
    double retry_after = 5;      // seconds, the Retry-After of a 503
    bool own_process = false;    // run in a separate process (sockets)
    double lag = 0.05;           // mean delay of a change, in seconds
    double notice = 2;           // seconds until the list removes a process that died
    double lose = 0;             // share of watches that fail
    // Seconds after the notification in which a draining server may still get new attempts.
    double drain_grace = 2;
};

// What clients send, and how they retry.
struct load_settings {
    double rate = 100;     // requests per second over all proxies; 0: closed loop only
    index closed = 0;      // clients that send their next request after the response to the last
    double think_time = 0; // seconds between that response and the next request
    index keys = 1000;
    double zipf = 0.9; // exponent of the keys' Zipf distribution
    // Seconds after which a tenth of the ranks moves to other keys; 0: never.
    double popularity_drift_time = 0;
    // Multiple of the rate in the middle of the run, along a sine like a daily load curve.
    double peak_factor = 1;
    index retries = 2;                // retries of a client, at most
    double retry_after_share = 1;     // share of clients that honor Retry-After
    double retry_delay = 0.05;        // seconds that other clients wait before a retry
    double proxy_share_deviation = 0; // standard deviation of the logarithm of the proxies' load shares
    double first_proxy_share = 0;     // share of the load at the first proxy; 0: a share like the others'
    double response_grace = 0.05;     // seconds after the deadline in which a client still accepts a response
    index idle_connections = 0;       // idle connections at each proxy, besides those of the load (sockets)
    double hottest_key_share = 0;     // share of requests for the most popular key, on top of its Zipf share
};

// Costs in the proxies' configuration. They affect routing decisions only.
struct cost_settings {
    // Of a new connection and of an origin fetch, as a share of a response's value.
    double handshake = 0, origin = 0;
};

// The endpoint list that a proxy process has when it starts.
enum class initial_list_kind : std::uint8_t {
    none,
    list, // current at the process's start
    stale // 30% of its servers are gone, and as many new ones are missing
};

// The proxies and their configuration.
struct proxy_settings {
    index count = 1;
    bool may_check_health = true, may_cancel = true;
    index max_attempts = 4;
    double max_retry_after = 0.5; // seconds, the longest Retry-After
    double over_quota_weight_share = 0.2;
    index sockets = 1024;
    double memory_mb = 192;
    bool start_with_load = false; // proxies start together with the load; otherwise the load waits for them
    initial_list_kind initial_list = initial_list_kind::none;
    // Share of the proxies that start with a stale list, if initial_list is `stale`.
    double stale_list_share = 1;
    bool shared_list = false;            // proxies poll the list service as one that all of them share
    bool snapshots = false;              // proxies keep snapshots of the list in a file (sockets)
    bool may_exchange_datagrams = false; // proxies may send datagrams to each other
};

// Routing policy: harrierpass's router, or a baseline (runs/baseline_policies.hpp).
enum class policy_kind : std::uint8_t { module, full_list, random, less_loaded_of_two, plain_ring };
// Rule that the testbed's own proxies violate on purpose, to verify that the rule checker detects it.
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

// One policy of an experiment's comparison.
struct variant_settings {
    std::string name = "harrierpass";
    policy_kind policy = policy_kind::module;
    injected_violation violation = injected_violation::nothing;
};

// Settings of one experiment.
struct experiment {
    std::string name, about, text; // text: the file's, whose hash is part of the results
    std::string merged_text;       // after merging base and size, for worker processes
    std::vector<std::uint32_t> seeds = {1};
    double length = 20, settle = 0; // seconds; service metrics leave out the first `settle` seconds
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

// The router settings of a proxy.
router_settings router_settings_for(const experiment &settings, index proxy);
// The zone of a server or a proxy, as its index in fleet.zones.
index zone_of(const experiment &settings, index server);
index zone_of_proxy(const experiment &settings, index proxy);
// Servers that deduplicate each other's retries of this use case are in one group. A cell is one server. In
// cache-aside mode the origin counts as a separate server in every scope but `all`.
index deduplication_group_of(const experiment &settings, index use_case, index server);

// The number of servers in a run, including those that join later.
index total_server_count(const experiment &settings);
// By proxy: whether it starts only at a fault of kind proxy_late.
std::vector<bool> late_starting_proxies(const experiment &settings);
// Seconds within which a proxy expects a response of a central list service, and after which it polls again
// after a failure.
double list_response_timeout(const list_service_settings &settings);
// Settings of a proxy for polling the list service.
discovery::poll_settings list_poll_settings(const experiment &settings);
// Whether a proxy starts with a stale list, and whether such a list contains a server.
bool starts_with_stale_list(const experiment &settings, index proxy);
bool in_stale_list(const experiment &settings, index server);
// The worker process of a server; none if servers have no separate processes.
index host_of(const experiment &settings, index server);
// Names in experiment files and on command lines. Parsing throws experiment_error.
const char *name_of(policy_kind policy);
policy_kind parse_policy_kind(const std::string &name);
const char *name_of(injected_violation violation);
injected_violation parse_injected_violation(const std::string &name);

} // namespace harrierpass::testbed
