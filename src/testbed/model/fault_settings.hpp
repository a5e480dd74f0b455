// SPDX-License-Identifier: Apache-2.0
// Faults that an experiment plays: of the model, of links, and of system calls. Times are in s since the
// load began, but for system_fault_settings.
#pragma once

#include "router/types.hpp"

#include <cstdint>
#include <vector>

namespace harrierpass::testbed {

// What a fault does, and to whom; servers first, up to `flap`.
enum class fault_kind : std::uint8_t {
    crash,         // a process dies and is started again when the fault ends (for = 0: never)
    hang,          // open and new connections stay up and silent, work stands still
    vanish,        // the machine says nothing; new connections never come up
    slow,          // all its work takes `factor` times as long
    errors,        // `factor` of its answers are quick errors, of one use case where that is named
    malformed,     // `factor` of its answers cannot be read
    one_way,       // requests come and run, responses are lost
    drain,         // the list says so; after `for` the server is gone
    join,          // a server that was not there before is started, cold
    flap,          // the list leaves the server out and names it again, every half second
    list_silent,   // nobody is notified of anything
    list_stale,    // notifications are as old as the fault
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

// A fault of servers, proxies, the list, the origin or the load.
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

// What a fault of a link does.
enum class link_fault_kind : std::uint8_t {
    drop,      // silent: what is sent is delayed, new connections never come up
    one_way,   // the same in one direction only
    reset,     // connections break at both ends; for as long as it lasts new ones break at once
    half_open, // the far end's connections break unseen by the near end, which hears nothing until the end
    slow,      // `delay` and `jitter` more, and a `pace`
    datagrams, // parts of them are `lost`, `doubled`, `reordered`
    partition  // all that crosses the border of a group is dropped
};

// A fault of connections or datagrams between two kinds of ends.
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

// Whether a fault has an end of its own besides its beginning.
bool has_end(const fault_settings &fault);

// The names that experiment files use.
const char *name_of(fault_kind kind);
const char *name_of(link_fault_kind kind);
const char *name_of(link_kind kind);

} // namespace harrierpass::testbed
