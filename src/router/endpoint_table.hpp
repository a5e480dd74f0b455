// SPDX-License-Identifier: Apache-2.0
// The endpoint records, their lifetimes, and their attempts in flight. Times are in seconds.
#pragma once

#include "router/concurrency_limits.hpp"
#include "router/indexed_vector.hpp"
#include "router/load_reports.hpp"
#include "router/origin_protection.hpp"
#include "router/outlier_detection.hpp"
#include "router/request_table.hpp"
#include "router/types.hpp"

#include <string>
#include <vector>

namespace harrierpass {

/// Health of an endpoint; endpoint_health.cpp defines the transitions.
enum class endpoint_health : std::uint8_t { healthy, warming_up, ejected };

/// An endpoint that is or was in the endpoint list.
struct endpoint_record {
    std::string id;
    endpoint_info info; ///< Latest entry in the list; its id is empty, as the caller owns the text.
    endpoint_health health = endpoint_health::healthy;
    /// The list no longer has the endpoint, which was not drained. As it may still be running, it is kept as
    /// ejected.
    bool removed_without_drain = false;
    std::uint32_t virtual_nodes = 0;        ///< Virtual nodes on the ring.
    std::uint32_t active_virtual_nodes = 0; ///< Virtual nodes in use; fewer while warming up.
    std::uint32_t in_flight = 0;            ///< Attempts of this proxy in flight.
    std::uint32_t responding = 0;           ///< Attempts in flight whose response has begun; not a silence.
    adaptive_limit limit;
    outlier_state outlier;
    silence_tracker silence;
    double warm_up_started_at = 0;
    double overloaded_until = 0; ///< No attempts are sent before this time, as the endpoint rejected one.
    origin_backoff backoff;      ///< Used for the origin only.
    reported_load load;

    /// Attempts in flight at which nothing of a response has come.
    [[nodiscard]] std::uint32_t awaiting_response() const { return in_flight - responding; }
};

/// The endpoints of one router, which owns the table.
///
/// Invariants: fleet_in_flight() is the sum of in_flight over all endpoints except the origin as of the last
/// update_origin(); an index refers to one id until its record is overwritten for another id.
class endpoint_table {
public:
    /// Sets the kind of the origin's entry; none: there is no origin. Takes effect with update_origin().
    void set_origin_kind(kind_index origin_kind) { origin_kind_ = origin_kind; }
    /// Creates the record of a new endpoint. `limit`: its initial concurrency limit.
    static endpoint_record make_record(const endpoint_info &entry, adaptive_limit limit, double now);
    /// Returns the record at an index; creates it if there is none yet.
    endpoint_record &find_or_create(endpoint_index endpoint);
    /// Marks every endpoint as removed, until it is listed again.
    void mark_all_removed();
    /// Returns the ready endpoints except the origin.
    [[nodiscard]] std::vector<endpoint_index> ready_cache_endpoints() const;
    /// Determines the origin and recounts the attempts in flight, after entries or the origin's kind changed.
    void update_origin();
    /// Includes an attempt in the count of attempts in flight, or excludes it. A repeated call has no effect.
    void count_in_flight(attempt_record &attempt, bool in_flight, double now);
    /// Records that the endpoint has begun its response to an attempt, which ends its silence. A repeated
    /// call has no effect.
    void record_response_begin(attempt_record &attempt, double now);

    /// True if the endpoint has the origin's kind.
    [[nodiscard]] bool is_origin(const endpoint_record &record) const {
        return origin_kind_ != none && record.info.kind == origin_kind_;
    }
    [[nodiscard]] endpoint_index origin() const { return origin_; } ///< none: no origin.
    /// Attempts in flight at all endpoints except the origin.
    [[nodiscard]] std::uint32_t fleet_in_flight() const { return fleet_in_flight_; }

    /// Returns the record at an index, which must have been listed before.
    endpoint_record &operator[](endpoint_index endpoint) { return records_[endpoint]; }
    /// Read-only access to the record at an index.
    const endpoint_record &operator[](endpoint_index endpoint) const { return records_[endpoint]; }
    /// Returns the index after the last record.
    [[nodiscard]] endpoint_index end_index() const { return records_.end_index(); }

private:
    indexed_vector<endpoint_index, endpoint_record> records_;
    kind_index origin_kind_ = none;
    endpoint_index origin_ = none;
    std::uint32_t fleet_in_flight_ = 0;
};

} // namespace harrierpass
