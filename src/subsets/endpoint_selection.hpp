// SPDX-License-Identifier: Apache-2.0
// Which endpoints of the endpoint list a proxy uses now: its subset. It holds the list as last told, ranks
// the ready endpoints by distance and selects the nearest, as many as the level says and more where those
// have too little capacity. No I/O, no clock: times come in, in seconds. Owned by the subset router.
//
// Invariants: the selected endpoints are the nearest ready ones, and beside them those left out later that
// still have an attempt in flight, whose silence would otherwise go unnoticed. An origin entry is never
// ranked and never left out.
#pragma once

#include "router/indexed_vector.hpp"
#include "router/router.hpp"
#include "subsets/traffic_estimator.hpp"

#include <span>
#include <string>
#include <vector>

namespace harrierpass::subsets {

// Whether a selection may leave endpoints out that are no longer wanted.
enum class selection_mode : std::uint8_t { widen_only, may_narrow };

class endpoint_selection {
public:
    explicit endpoint_selection(const router_settings &settings);

    // Other settings hold from now on; the whole list is to follow.
    void update_settings(const router_settings &settings);
    // Whether the settings rule subsets out: all endpoints are then selected.
    bool is_disabled() const { return disabled_; }

    // A snapshot follows: what it does not name is removed.
    void begin_snapshot();
    // One entry of a list. To be followed, after the last one, by rank_endpoints().
    void record_endpoint(const endpoint_info &entry);
    // Ranks the ready endpoints anew.
    void rank_endpoints();
    // Takes the level for a proxy that does not know its traffic yet.
    void use_initial_level();

    // Selects endpoints at the current level. `ejecting` tells which of them are ejected.
    void select_endpoints(double now, selection_mode mode, const traffic_estimator &traffic,
                          const router &ejecting);
    // Moves to the level that is cheapest by the traffic; it takes effect with the next selection.
    void reconsider_level(double now, traffic_estimator &traffic);
    // Whether a request was sent at once or found no capacity.
    void record_dispatch(bool sent_at_once);
    // Whether a selection is due: endpoints are to be left out, or the lack of capacity came or went.
    bool needs_selection() const;

    // The entries to report to the router after a list: those that it named, and those whose selection
    // changed. Counts them as reported and forgets the changes.
    std::vector<endpoint_info> take_list_updates();
    // The entries to report after a selection between two lists. Forgets the changes.
    std::vector<endpoint_info> take_selection_changes();
    // Forgets the changes where the list is reported as it came.
    void discard_updates();

    // Whether the endpoint is known and selected.
    bool is_selected(endpoint_index endpoint) const;
    // Figures for operators.
    subset_view view() const;

private:
    struct endpoint_record {
        std::string id;
        endpoint_info info;             // as last listed, but for the id, which is in `id`
        std::uint64_t distance = 0;     // 0 where the proxy has no number
        bool is_selected = true;        // the router may use it
        bool is_reported = false;       // the router knows of it
        bool named_by_list = false;     // by the list being applied
        bool selection_changed = false; // since the last report
    };

    // Whether the entry is the origin rather than a cache endpoint.
    bool is_origin(const endpoint_record &endpoint) const;
    // The distance from this proxy; 0 where it has no number.
    std::uint64_t distance_to(std::string_view endpoint_id) const;
    // The entry as the router is to see it: one that is left out counts as draining.
    endpoint_info reported_entry(endpoint_index endpoint) const;
    // The share of the endpoint's capacity that can be relied on, by the list alone.
    double listed_share(double now, endpoint_index endpoint) const;
    // The same, by what this proxy observed of it too.
    double usable_share(double now, endpoint_index endpoint, const router &ejecting) const;
    // How many of the nearest endpoints are wanted.
    std::size_t wanted_count(double now, const router &ejecting);
    // Selects the nearest `nearest_count_` endpoints and those with an attempt in flight.
    void apply_selection(const traffic_estimator &traffic);

    router_settings settings_;
    bool disabled_;
    indexed_vector<endpoint_index, endpoint_record> endpoints_;
    std::vector<endpoint_index> ranked_;   // the ready ones, nearest first
    std::vector<std::uint64_t> distances_; // scratch: of each in ranked_
    std::vector<double> usable_shares_;    // scratch: of each in ranked_
    index level_ = 0;
    index selected_count_ = 0;
    std::size_t nearest_count_ = 0;       // so many of the nearest are selected
    bool lacks_usable_endpoints_ = false; // the preferred ones have too little capacity
    bool lacks_capacity_ = false;         // most requests find none
    bool is_too_wide_ = false;            // more are selected than wanted
    double no_capacity_share_ = 0;        // of the latest requests, those not sent at once
    std::uint64_t added_ = 0, removed_ = 0;
    std::uint64_t widened_for_availability_ = 0, widened_for_capacity_ = 0;
};

} // namespace harrierpass::subsets
