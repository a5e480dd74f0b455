// SPDX-License-Identifier: Apache-2.0
// The records of endpoints, their lifetimes, and the attempts in flight at them. Times are seconds.
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

/// Health of an endpoint; endpoint_health.cpp has the transitions.
enum class endpoint_health : std::uint8_t { healthy, warming_up, ejected };

/// An endpoint that is listed, or was. The classes among the members have their own invariants.
struct endpoint_record {
    std::string id;
    endpoint_info info; ///< As last listed; its id is empty, as the caller owns the text.
    endpoint_health health = endpoint_health::healthy;
    /// The list dropped it without a drain before; it may still be there and is only treated as ejected.
    bool removed_without_drain = false;
    std::uint32_t virtual_nodes = 0;        ///< On the ring.
    std::uint32_t active_virtual_nodes = 0; ///< Of them those in use; fewer while it warms up.
    std::uint32_t in_flight = 0;            ///< Attempts of this proxy.
    adaptive_limit limit;
    outlier_state outlier;
    silence_tracker silence;
    double warm_up_started_at = 0;
    double overloaded_until = 0; ///< It gets no attempts before, as it refused one.
    origin_backoff backoff;      ///< In use for the origin only.
    reported_load load;
};

/// All endpoints of one router, which owns the table.
///
/// Invariants: fleet_in_flight() is the sum of in_flight over all endpoints but the origin since the last
/// update_origin(); an index stands for one id until another id is placed there.
class endpoint_table {
public:
    /// The kind of the origin's entry; none: there is no origin. update_origin() applies it.
    void set_origin_kind(kind_index origin_kind) { origin_kind_ = origin_kind; }
    /// A record as a new endpoint has it. `limit`: its first limit.
    static endpoint_record make_record(const endpoint_info &entry, adaptive_limit limit, double now);
    /// The record of an index, which may be new.
    endpoint_record &at_or_new(endpoint_index endpoint);
    /// Every endpoint counts as removed until it is listed again.
    void mark_all_removed();
    /// Endpoints that are ready, without the origin.
    [[nodiscard]] std::vector<endpoint_index> ready_cache_endpoints() const;
    /// Finds the origin and counts the attempts in flight anew, after entries or the origin's kind changed.
    void update_origin();
    /// Counts an attempt as in flight, or no longer; nothing changes if it is counted so already.
    void count_in_flight(attempt_record &attempt, bool counts, double now);

    /// The endpoint is of the origin's kind.
    [[nodiscard]] bool is_origin(const endpoint_record &record) const {
        return origin_kind_ != none && record.info.kind == origin_kind_;
    }
    [[nodiscard]] endpoint_index origin() const { return origin_; } ///< none: there is none.
    [[nodiscard]] std::uint32_t fleet_in_flight() const {
        return fleet_in_flight_;
    } ///< Without the origin's.

    /// The record of an index that was listed before.
    endpoint_record &operator[](endpoint_index endpoint) { return records_[endpoint]; }
    const endpoint_record &operator[](endpoint_index endpoint) const { return records_[endpoint]; }
    /// The index after the last one.
    [[nodiscard]] endpoint_index end_index() const { return records_.end_index(); }

private:
    indexed_vector<endpoint_index, endpoint_record> records_;
    kind_index origin_kind_ = none;
    endpoint_index origin_ = none;
    std::uint32_t fleet_in_flight_ = 0;
};

} // namespace harrierpass
