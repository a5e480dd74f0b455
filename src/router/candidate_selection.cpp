// SPDX-License-Identifier: Apache-2.0
#include "router/candidate_selection.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace harrierpass {
namespace {

constexpr std::size_t max_candidates = 3;       // endpoints
constexpr std::size_t local_search_points = 64; // ring points searched for a candidate in the local zone
constexpr double high_cross_zone_cost = 0.05;   // share of a request's value; requires a local candidate
constexpr double spill_factor = 2;              // times the mean load
constexpr double min_spill_threshold = 2;       // attempts in flight
// Share of the latency objective. An endpoint whose mean response time is within it has spare capacity even
// if the fleet limit is reached.
constexpr double fast_latency_share = 0.15;

// An earlier attempt excludes the endpoint from the candidates, unless it ended with a cache miss.
bool was_attempted(const request_record &request, endpoint_index endpoint) {
    return std::ranges::any_of(request.attempts, [&](const attempt_record &attempt) {
        return attempt.endpoint == endpoint && (attempt.is_open || attempt.result != outcome::cache_miss);
    });
}

} // namespace

void candidate_selection::configure(const router_settings &settings) {
    const bool prefers_zone = settings.cross_zone_cost > settings.origin_fetch_cost;
    preferred_zone_ = prefers_zone ? settings.local_zone : none;
    cross_zone_cost_ = preferred_zone_ == none ? 0 : settings.cross_zone_cost;
    may_check_health_ = settings.constraints.may_check_health;
}

selection candidate_selection::select_endpoint(const request_record &request, double now) const {
    if (request.uses_origin)
        return select_origin(request, now);
    const auto candidates = ring_candidates(request, now);
    if (candidates.empty())
        return {endpoints_.members().empty() ? selection_result::no_capacity
                                             : selection_result::not_servable};
    return select_least_loaded(request, candidates, now);
}

std::vector<endpoint_index> candidate_selection::ring_candidates(const request_record &request,
                                                                 double now) const {
    std::vector<endpoint_index> candidates;
    const std::size_t max_count = std::min(max_candidates, endpoints_.members().size());
    // A local candidate is present or not required.
    bool local_satisfied = cross_zone_cost_ < high_cross_zone_cost;
    std::size_t visited_points = 0;
    endpoints_.ring().visit_preceding(request.ring_position, [&](const ring_point &point) {
        if (candidates.size() >= max_count)
            return false;
        const bool in_local_zone = is_local(point.endpoint);
        const bool is_reserved_for_local = !local_satisfied && !in_local_zone &&
                                           candidates.size() + 1 == max_count &&
                                           visited_points < local_search_points;
        ++visited_points;
        if (is_reserved_for_local || std::ranges::find(candidates, point.endpoint) != candidates.end() ||
            !is_candidate(point, request, now))
            return true;
        local_satisfied = local_satisfied || in_local_zone;
        candidates.push_back(point.endpoint);
        return true;
    });
    std::stable_partition(candidates.begin(), candidates.end(),
                          [&](endpoint_index endpoint) { return is_local(endpoint); });
    return candidates;
}

selection candidate_selection::select_origin(const request_record &request, double now) const {
    const endpoint_index origin = endpoints_.table().origin();
    if (origin == none)
        return {selection_result::no_capacity};
    const auto &record = endpoints_.table()[origin];
    if (record.info.state != endpoint_state::ready ||
        !endpoints_.has_capacity(record, request.admission_draw, now) || !may_dispatch(request, origin, now))
        return {selection_result::no_capacity};
    return {selection_result::selected, origin};
}

selection candidate_selection::select_least_loaded(const request_record &request,
                                                   const std::vector<endpoint_index> &candidates,
                                                   double now) const {
    const double threshold = spill_threshold();
    selection best = {selection_result::no_capacity};
    std::pair<bool, double> least_load;
    for (const endpoint_index candidate : candidates) {
        const auto &endpoint = endpoints_.table()[candidate];
        // An avoided endpoint is a candidate only if the request serves as its health check.
        if (endpoints_.is_avoided(endpoint))
            return {selection_result::selected, candidate};
        if (!admits(endpoint, request, now))
            continue;
        const std::pair load(endpoint.in_flight + 1 > threshold, endpoints_.estimated_load(endpoint, now));
        if (!load.first && load.second <= spill_factor * endpoints_.mean_reported_load())
            return {selection_result::selected, candidate};
        if (best.endpoint == none || load < least_load) {
            best = {selection_result::selected, candidate};
            least_load = load;
        }
    }
    return best;
}

bool candidate_selection::admits(const endpoint_record &endpoint, const request_record &request,
                                 double now) const {
    const bool fleet_is_full =
        endpoints_.table().fleet_in_flight() + request.admission_draw >= endpoints_.capacity();
    if (fleet_is_full && endpoint.limit.mean_latency_share() > fast_latency_share)
        return false;
    return endpoints_.has_capacity(endpoint, request.admission_draw, now);
}

bool candidate_selection::is_candidate(const ring_point &point, const request_record &request,
                                       double now) const {
    const auto &endpoint = endpoints_.table()[point.endpoint];
    if (point.virtual_node >= endpoint.active_virtual_nodes)
        return false;
    if (request.has_hot_key && endpoint.health == endpoint_health::warming_up)
        return false;
    return !was_attempted(request, point.endpoint) && is_usable(endpoint, request, now) &&
           may_dispatch(request, point.endpoint, now);
}

// If health checks are not allowed, the first attempt of an idempotent request may serve as one.
bool candidate_selection::is_usable(const endpoint_record &endpoint, const request_record &request,
                                    double now) const {
    if (!endpoints_.is_avoided(endpoint))
        return true;
    return !may_check_health_ && endpoint.outlier.is_health_check_due(now) && endpoint.in_flight == 0 &&
           request.attempts.empty() && request.class_settings.effect == effect_kind::idempotent;
}

bool candidate_selection::may_dispatch(const request_record &request, endpoint_index endpoint,
                                       double now) const {
    return now <
           retry_policy_.dispatch_deadline(request, request.attempts.size(), endpoints_.table(), endpoint);
}

bool candidate_selection::is_local(endpoint_index endpoint) const {
    return endpoints_.table()[endpoint].info.zone == preferred_zone_;
}

double candidate_selection::spill_threshold() const {
    const double mean =
        spill_factor * (endpoints_.table().fleet_in_flight() + 1.0) / endpoints_.usable_count();
    return std::max(min_spill_threshold, std::ceil(mean));
}

} // namespace harrierpass
