// SPDX-License-Identifier: Apache-2.0
// Counters of requests, attempts, health checks, polls and connections since the start of the proxy.
// Thread-safe.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <iosfwd>

namespace harrierpass {

// The counters in the order in which they are printed. counters.cpp has the printed names, which are fixed.
enum class counter : std::uint8_t {
    requests,
    bad_requests,
    rejected_too_many_connections,
    completed,
    rejected,
    aborted,
    client_disconnects,
    truncated_responses,
    attempts_sent,
    attempts_completed,
    attempts_error,
    attempts_overloaded,
    attempts_timed_out,
    attempts_connect_error,
    attempts_reset,
    attempts_canceled,
    attempts_cache_miss,
    attempts_malformed,
    attempts_stalled,
    health_checks,
    health_checks_answered,
    endpoint_updates,
    polls_failed,
    polls_late,
    snapshot_polls,
    watch_polls,
    polls_rejected,
    snapshots_implausible,
    snapshots_written,
    snapshots_failed,
    configurations_applied,
    invariants_violated,
    client_connections_accepted,
    client_connections_closed,
    upstream_connects,
    upstream_connects_failed,
    upstream_connections_reused,
    upstream_connections_stale,
    total // number of counters
};

// The value of each counter.
class counters {
public:
    // Increments a counter by one.
    void add(counter counted) { cell(counted).fetch_add(1, std::memory_order_relaxed); }
    std::uint64_t value(counter counted) const {
        return values_[static_cast<std::size_t>(counted)].load(std::memory_order_relaxed);
    }
    // Writes one line for each counter: name and value.
    void print(std::ostream &output) const;

private:
    std::atomic<std::uint64_t> &cell(counter counted) { return values_[static_cast<std::size_t>(counted)]; }
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(counter::total)> values_{};
};

} // namespace harrierpass
