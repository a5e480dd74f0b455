// SPDX-License-Identifier: Apache-2.0
// Which endpoint a request goes to: the first candidates on the ring from the request's position, those of
// the local zone first, and among them the first with capacity that is not much busier than the others
// (consistent hashing with bounded loads, Mirrokni et al. 2018). Requests that use the origin go there.
#pragma once

#include "router/endpoint_fleet.hpp"
#include "router/request_table.hpp"
#include "router/retry_policy.hpp"

#include <vector>

namespace harrierpass {

/// Whether an endpoint was found.
enum class selection_result : std::uint8_t {
    selected,
    no_capacity, ///< Endpoints may take the request later.
    not_servable ///< No endpoint may take the request, now or later.
};

/// The result, with the endpoint if there is one.
struct selection {
    selection_result result;
    endpoint_index endpoint = none;
};

/// The selection of one router, which owns it. It only reads the endpoints and the retry policy; both must
/// outlive it.
///
/// Invariant: an endpoint is only selected before the retry policy's dispatch deadline.
class candidate_selection {
public:
    /// Keeps both references; configure() has to follow.
    candidate_selection(const endpoint_fleet &endpoints, const retry_policy &retries)
        : endpoints_(endpoints), retries_(retries) {}

    /// Takes over zone preference and permission for health checks.
    void configure(const router_settings &settings);

    /// The endpoint for the next attempt of the request.
    [[nodiscard]] selection select_endpoint(const request_record &request, double now) const;

    /// The candidates of a request, best first.
    [[nodiscard]] std::vector<endpoint_index> ring_candidates(const request_record &request,
                                                              double now) const;

private:
    /// The origin, if it is ready and has capacity.
    selection select_origin(const request_record &request, double now) const;
    /// The first candidate that is not much busier than others, else the least loaded one.
    selection select_least_loaded(const request_record &request,
                                  const std::vector<endpoint_index> &candidates, double now) const;
    /// The limits of the endpoint and of all endpoints leave room for the request.
    bool admits(const endpoint_record &endpoint, const request_record &request, double now) const;
    /// The point is in use, and its endpoint may take the request.
    bool is_candidate(const ring_point &point, const request_record &request, double now) const;
    /// The endpoint is not avoided, or the request may serve as its health check.
    bool is_usable(const endpoint_record &endpoint, const request_record &request, double now) const;
    /// The retry policy still allows an attempt there.
    bool may_dispatch(const request_record &request, endpoint_index to, double now) const;
    /// The endpoint is in the preferred zone.
    bool is_local(endpoint_index endpoint) const;
    /// Attempts in flight above which an endpoint passes requests on to the next candidate.
    double spill_threshold() const;

    const endpoint_fleet &endpoints_;
    const retry_policy &retries_;
    bool may_check_health_ = false;
    zone_index preferred_zone_ = none; // none: no zone is preferred
    double cross_zone_cost_ = 0;       // of a request's value
};

} // namespace harrierpass
