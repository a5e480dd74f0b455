// SPDX-License-Identifier: Apache-2.0
#include "subsets/endpoint_selection.hpp"

#include "subsets/endpoint_ranking.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace harrierpass::subsets {
namespace {

constexpr double narrowing_share = 0.3;  // share of the excess endpoints that one selection removes
constexpr double dispatch_weight = 0.06; // weight of one request in no_capacity_share_
// Share of requests. Lower shares result from the load of the whole fleet.
constexpr double no_capacity_threshold = 0.5;

} // namespace

endpoint_selection::endpoint_selection(const router_settings &settings)
    : settings_(settings), disabled_(subsetting_never_helps(settings)) {}

void endpoint_selection::update_settings(const router_settings &settings) {
    const bool proxy_index_changed = settings.proxy_index != settings_.proxy_index;
    settings_ = settings;
    disabled_ = subsetting_never_helps(settings);
    if (disabled_)
        level_ = 0;
    if (!proxy_index_changed || settings_.proxy_index == none)
        return;
    for (auto &endpoint : endpoints_)
        endpoint.distance = distance_to(endpoint.id);
}

void endpoint_selection::begin_snapshot() {
    for (auto &endpoint : endpoints_)
        endpoint.info.state = endpoint_state::removed;
}

void endpoint_selection::record_endpoint(const endpoint_info &entry) {
    endpoints_.grow_to(entry.endpoint);
    auto &endpoint = endpoints_[entry.endpoint];
    if (endpoint.id != entry.id) {
        endpoint = {};
        endpoint.id = entry.id;
        endpoint.distance = distance_to(entry.id);
        endpoint.is_selected = false;
    }
    endpoint.info = entry;
    endpoint.info.id = {}; // the caller owns the text
    endpoint.is_in_update = true;
}

void endpoint_selection::rank_endpoints() {
    ranked_.clear();
    for (endpoint_index id{0}; id < endpoints_.end_index(); ++id) {
        auto &endpoint = endpoints_[id];
        if (endpoint.info.state == endpoint_state::removed)
            endpoint.is_selected = false;
        if (endpoint.info.state == endpoint_state::ready && !is_origin(endpoint))
            ranked_.push_back(id);
    }
    std::ranges::sort(ranked_, {}, [&](endpoint_index id) { return std::pair(endpoints_[id].distance, id); });
}

void endpoint_selection::use_initial_level() {
    level_ = initial_level(static_cast<index>(ranked_.size()), settings_.proxy_count);
}

void endpoint_selection::select_endpoints(double now, selection_mode mode, const traffic_estimator &traffic,
                                          const router &inner_router) {
    const std::size_t target = target_count(now, inner_router);
    std::size_t nearest = std::min(ranked_.size(), nearest_count_);
    is_too_wide_ = nearest > target;
    if (mode == selection_mode::may_narrow && is_too_wide_)
        nearest -=
            static_cast<std::size_t>(std::ceil(static_cast<double>(nearest - target) * narrowing_share));
    nearest_count_ = disabled_ ? ranked_.size() : std::max(nearest, target);
    apply_selection(traffic);
}

std::size_t endpoint_selection::target_count(double now, const router &inner_router) {
    distances_.clear();
    usable_shares_.clear();
    double listed_share_sum = 0;
    for (const endpoint_index id : ranked_) {
        distances_.push_back(endpoints_[id].distance);
        usable_shares_.push_back(usable_share(now, id, inner_router));
        listed_share_sum += listed_share(now, id);
    }
    const double mean_share = ranked_.empty() ? 1 : listed_share_sum / static_cast<double>(ranked_.size());
    const subset_reach reach = compute_subset_reach(distances_, usable_shares_, mean_share, level_);

    const bool lacked_endpoints =
        std::exchange(lacks_usable_endpoints_, reach.target_count > reach.preferred_count);
    widened_for_availability_ += !lacked_endpoints && lacks_usable_endpoints_;
    const bool lacked_capacity = std::exchange(lacks_capacity_, no_capacity_share_ > no_capacity_threshold);
    widened_for_capacity_ += !lacked_capacity && lacks_capacity_;
    return std::min(ranked_.size(), lacks_capacity_ ? 2 * reach.target_count : reach.target_count);
}

void endpoint_selection::apply_selection(const traffic_estimator &traffic) {
    selected_count_ = 0;
    for (std::size_t i = 0; i < ranked_.size(); ++i) {
        auto &endpoint = endpoints_[ranked_[i]];
        const bool selected =
            i < nearest_count_ || (endpoint.is_selected && traffic.in_flight(ranked_[i]) > 0);
        endpoint.selection_changed = endpoint.is_selected != selected;
        endpoints_added_ += endpoint.selection_changed && selected;
        endpoints_removed_ += endpoint.selection_changed && !selected;
        endpoint.is_selected = selected;
        selected_count_ += selected;
    }
}

void endpoint_selection::reconsider_level(double now, traffic_estimator &traffic) {
    const subset_costs costs{settings_.handshake_cost, settings_.origin_fetch_cost,
                             settings_.upstream_idle_timeout * idle_reuse_share};
    const index best = best_level(costs, traffic.estimate(now, level_), static_cast<index>(ranked_.size()),
                                  settings_.proxy_count, level_);
    if (best == level_)
        return;
    level_ = best;
    is_too_wide_ = true;
    traffic.on_level_changed(now);
}

void endpoint_selection::record_dispatch(bool sent_at_once) {
    no_capacity_share_ += dispatch_weight * ((sent_at_once ? 0 : 1) - no_capacity_share_);
}

bool endpoint_selection::needs_selection() const {
    return is_too_wide_ || lacks_capacity_ != (no_capacity_share_ > no_capacity_threshold);
}

std::vector<endpoint_info> endpoint_selection::take_list_updates() {
    std::vector<endpoint_info> updates;
    for (endpoint_index id{0}; id < endpoints_.end_index(); ++id) {
        auto &endpoint = endpoints_[id];
        const bool is_listed = std::exchange(endpoint.is_in_update, false);
        const bool changed = std::exchange(endpoint.selection_changed, false);
        if (!is_listed && !(changed && endpoint.info.state == endpoint_state::ready))
            continue;
        updates.push_back(reported_entry(id));
        endpoint.is_reported = true;
    }
    return updates;
}

std::vector<endpoint_info> endpoint_selection::take_selection_changes() {
    std::vector<endpoint_info> changes;
    for (const endpoint_index id : ranked_)
        if (std::exchange(endpoints_[id].selection_changed, false))
            changes.push_back(reported_entry(id));
    return changes;
}

void endpoint_selection::discard_updates() {
    for (auto &endpoint : endpoints_)
        endpoint.is_in_update = endpoint.selection_changed = false;
}

bool endpoint_selection::is_selected(endpoint_index endpoint) const {
    return endpoints_.contains(endpoint) && endpoints_[endpoint].is_selected;
}

subset_view endpoint_selection::view() const {
    return {.ready_endpoints = static_cast<index>(ranked_.size()),
            .selected_endpoints = selected_count_,
            .level = level_,
            .endpoints_added = endpoints_added_,
            .endpoints_removed = endpoints_removed_,
            .widened_for_availability = widened_for_availability_,
            .widened_for_capacity = widened_for_capacity_};
}

bool endpoint_selection::is_origin(const endpoint_record &endpoint) const {
    return settings_.origin_kind != none && endpoint.info.kind == settings_.origin_kind;
}

std::uint64_t endpoint_selection::distance_to(std::string_view endpoint_id) const {
    return settings_.proxy_index == none ? 0 : distance(settings_.proxy_index, endpoint_id);
}

endpoint_info endpoint_selection::reported_entry(endpoint_index endpoint) const {
    const auto &record = endpoints_[endpoint];
    endpoint_info entry = record.info;
    entry.id = record.id;
    if (entry.state == endpoint_state::ready && !record.is_selected && !is_origin(record))
        entry.state = endpoint_state::draining;
    return entry;
}

double endpoint_selection::listed_share(double now, endpoint_index endpoint) const {
    const double started_at = endpoints_[endpoint].info.started_at;
    const bool is_warming_up = started_at > 0 && now - started_at < settings_.slow_start.warm_up_time;
    return is_warming_up ? settings_.slow_start.initial_capacity_share : 1;
}

double endpoint_selection::usable_share(double now, endpoint_index endpoint,
                                        const router &inner_router) const {
    if (endpoints_[endpoint].is_reported && inner_router.is_ejected(endpoint))
        return 0;
    return listed_share(now, endpoint);
}

} // namespace harrierpass::subsets
