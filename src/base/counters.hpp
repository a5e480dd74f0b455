// SPDX-License-Identifier: Apache-2.0
// Counts of what the proxy received, sent and answered since its start. Thread-safe.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <iosfwd>

namespace harrierpass {

// What is counted, in the order in which it is printed. The printed names are fixed (counters.cpp).
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
    health_checks,
    health_checks_answered,
    endpoint_updates,
    polls_failed,
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
    total // how many there are
};

// One number for each counter.
class counters {
public:
    // Counts one more.
    void add(counter which) { at(which).fetch_add(1, std::memory_order_relaxed); }
    // The count so far.
    std::uint64_t of(counter which) const {
        return values_[static_cast<std::size_t>(which)].load(std::memory_order_relaxed);
    }
    // Writes a line for each counter: name and value.
    void print(std::ostream &to) const;

private:
    // The number of a counter.
    std::atomic<std::uint64_t> &at(counter which) { return values_[static_cast<std::size_t>(which)]; }
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(counter::total)> values_{};
};

} // namespace harrierpass
