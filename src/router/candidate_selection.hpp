// SPDX-License-Identifier: Apache-2.0
// Selects the endpoint of a request. The candidates are the first endpoints on the hash ring from the
// request's position, those in the local zone first. The first candidate that has capacity and is not much
// busier than the other endpoints is selected (consistent hashing with bounded loads, Mirrokni et al. 2018).
// Requests that use the origin are sent to the origin.
#pragma once

#include "router/endpoint_fleet.hpp"
#include "router/request_table.hpp"
#include "router/retry_policy.hpp"

#include <vector>

namespace harrierpass {

/// Whether an endpoint was selected.
enum class selection_result : std::uint8_t {
    selected,
    no_capacity, ///< No endpoint can receive the request now, but one may later.
    not_servable ///< No endpoint may receive the request, now or later.
};

/// The result, with the endpoint if one was selected.
struct selection {
    selection_result result;
    endpoint_index endpoint = none;
};

/// The endpoint selection of one router, which owns it. It has read-only references to the endpoints and the
/// retry policy, which must outlive it.
///
/// Invariant: an endpoint is selected only before the dispatch deadline of the retry policy.
class candidate_selection {
public:
    /// Keeps both references. configure() must be called before the first selection.
    candidate_selection(const endpoint_fleet &endpoints, const retry_policy &policy)
        : endpoints_(endpoints), retry_policy_(policy) {}

    /// Applies the zone preference and the permission for health checks.
    void configure(const router_settings &settings);

    /// Selects the endpoint for the next attempt of the request.
    [[nodiscard]] selection select_endpoint(const request_record &request, double now) const;

    /// The candidates of a request in order of preference.
    [[nodiscard]] std::vector<endpoint_index> ring_candidates(const request_record &request,
                                                              double now) const;

private:
    /// Selects the origin if it is ready and has capacity.
    selection select_origin(const request_record &request, double now) const;
    /// Selects the first candidate whose load does not make the request spill to the next one, or else the
    /// least loaded candidate.
    selection select_least_loaded(const request_record &request,
                                  const std::vector<endpoint_index> &candidates, double now) const;
    /// The concurrency limits of the endpoint and of the fleet leave capacity for the request.
    bool admits(const endpoint_record &endpoint, const request_record &request, double now) const;
    /// The virtual node at this point is active, and its endpoint may receive the request.
    bool is_candidate(const ring_point &point, const request_record &request, double now) const;
    /// The endpoint is not avoided, or the request may serve as its health check.
    bool is_usable(const endpoint_record &endpoint, const request_record &request, double now) const;
    /// The retry policy allows an attempt at the endpoint now.
    bool may_dispatch(const request_record &request, endpoint_index endpoint, double now) const;
    /// The endpoint is in the preferred zone.
    bool is_local(endpoint_index endpoint) const;
    /// Attempts in flight above which requests spill to the next candidate.
    double spill_threshold() const;

    const endpoint_fleet &endpoints_;
    const retry_policy &retry_policy_;
    bool may_check_health_ = false;
    zone_index preferred_zone_ = none; // none if no zone is preferred
    double cross_zone_cost_ = 0;       // share of a request's value
};

} // namespace harrierpass
