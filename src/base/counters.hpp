// SPDX-License-Identifier: Apache-2.0
// What the proxy took in, sent and answered since its start.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <iosfwd>

namespace harrierpass {

// In the order in which they are printed; the names stand in counters.cpp.
enum class count : std::uint8_t {
    taken,
    bad_requests,
    crowded_out,
    completed,
    rejected,
    aborted,
    left,
    answers_cut,
    sent,
    ended_completed,
    ended_error,
    ended_queue_full,
    ended_timed_out,
    ended_connect_error,
    ended_reset,
    ended_canceled,
    ended_miss,
    ended_spoilt,
    probes,
    probes_answered,
    lists,
    lists_lost,
    list_calls_whole,
    list_calls_watch,
    lists_refused,
    lists_doubted,
    snapshots_written,
    snapshots_failed,
    adopted,
    invariants_violated,
    clients_accepted,
    clients_ended,
    server_dials,
    server_dials_failed,
    server_kept_used,
    server_kept_stale,
    total
};

class counters {
public:
    void add(count which) { at(which).fetch_add(1, std::memory_order_relaxed); }
    std::uint64_t of(count which) const {
        return values_[static_cast<std::size_t>(which)].load(std::memory_order_relaxed);
    }
    void print(std::ostream &to) const; // a line each: name and value

private:
    std::atomic<std::uint64_t> &at(count which) { return values_[static_cast<std::size_t>(which)]; }
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(count::total)> values_{};
};

} // namespace harrierpass
