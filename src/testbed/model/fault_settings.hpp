// SPDX-License-Identifier: Apache-2.0
// Faults of an experiment: of the model, of links, and of system calls. Times are in seconds since the start
// of the load, except in system_fault_settings.
#pragma once

#include "router/types.hpp"

#include <cstdint>
#include <vector>

namespace harrierpass::testbed {

// Kind of a fault. Faults of servers come first, up to `flap`.
enum class fault_kind : std::uint8_t {
    crash,         // the process dies and is restarted when the fault ends (for = 0: never)
    hang,          // open and new connections stay silent, work is suspended
    vanish,        // the machine is unreachable; new connections time out
    slow,          // all work takes `factor` times as long
    errors,        // the share `factor` of responses are immediate errors; limited to `use_case` if set
    malformed,     // the share `factor` of responses are malformed
    one_way,       // requests arrive and are executed, responses are lost
    drain,         // the list shows the server as draining; after `for` it is removed
    join,          // a new server starts with an empty cache
    flap,          // the list removes the server and adds it again, every half second
    list_silent,   // the list service does not respond
    list_stale,    // changes are published only after the fault's end
    origin_slow,   // fetches take `factor` times as long
    origin_stop,   // no fetch ends
    burst,         // the load is multiplied by `factor`
    flood,         // one tenant's load is multiplied by `factor`
    proxy_kill,    // the proxy is killed, and restarted after `for`
    proxy_pause,   // the proxy is suspended
    client_pause,  // clients are suspended, then send the requests that came due meanwhile
    proxy_restart, // planned stop, then a start with another configuration `for` after the end
    proxy_end,     // planned stop without a restart
    proxy_late,    // the proxy starts only now
    proxy_signals, // several reload signals at once
    host_kill,     // a worker process of servers is killed, and restarted after `for`
    host_stop,     // a worker process of servers is suspended
    list_kill,     // the list service is killed, and restarted after `for`
    list_stop      // the list service is suspended
};

// A fault of servers, proxies, the list, the origin or the load.
struct fault_settings {
    fault_kind kind = fault_kind::crash;
    double at = 0, lasts = 0;   // seconds
    double every = 0;           // seconds between the beginnings of a repeated fault; 0: once
    std::vector<index> servers; // by number, including those that join
    std::vector<index> proxies; // by number
    std::vector<index> hosts;   // worker processes of servers, by number
    index use_case = none, tenant = none;
    double factor = 1;
};

// Kinds of the two ends of a link. The near end opens the connections.
enum class link_kind : std::uint8_t { client_proxy, proxy_server, proxy_list, proxy_proxy };

// Kind of a link fault.
enum class link_fault_kind : std::uint8_t {
    drop,      // without a sign: bytes sent are delayed, new connections time out
    one_way,   // as `drop`, in one direction only
    reset,     // connections are reset at both ends, also new ones while the fault lasts
    half_open, // the far end's connections are reset; the near end notices nothing until the fault ends
    slow,      // adds `delay` and `jitter`, and limits the rate
    datagrams, // shares of the datagrams are lost, duplicated or reordered
    partition  // drops all traffic between a group and the other ends
};

// A link fault: of connections or datagrams between two kinds of ends.
struct link_fault_settings {
    link_fault_kind kind = link_fault_kind::drop;
    double at = 0, lasts = 0, every = 0; // seconds, as in fault_settings
    std::vector<link_kind> between;      // empty: all kinds
    // Affected ends, or the group of a partition; empty: all (partition: none).
    std::vector<index> proxies, servers;
    double share = 1;                           // share of the affected links, chosen by the run's seed
    bool to_far_end = true, to_near_end = true; // affected directions
    bool list = false;                          // partition: the list service is in the group
    bool clients = false;                       // partition: clients are cut off from the group's proxies
    double delay = 0, jitter = 0;               // seconds
    double bytes_per_second = 0;                // 0: no limit
    double loss_share = 0, duplicate_share = 0, reorder_share = 0; // shares of datagrams
};

// Failing system calls in the proxies' processes (sockets; src/testbed/faults).
struct system_fault_settings {
    double rate = 0;            // share of the calls that fail or are partly executed
    double from = 0, lasts = 0; // seconds since the start of the process
    double clock_step = 0;      // offset of the wall clock from then on, in seconds
    bool any() const { return rate > 0 || clock_step != 0; }
};

// Whether the end of a fault is a separate event.
bool has_end(const fault_settings &fault);

// Names in experiment files.
const char *name_of(fault_kind kind);
const char *name_of(link_fault_kind kind);
const char *name_of(link_kind kind);

} // namespace harrierpass::testbed
