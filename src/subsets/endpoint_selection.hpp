// SPDX-License-Identifier: Apache-2.0
// Selects the endpoints that a proxy uses: its subset. Stores the latest endpoint list, ranks the ready
// endpoints by distance and selects the nearest. The level sets their number, which grows while they have too
// little capacity. No I/O, no clock: callers pass times in seconds. Owned by the subset router.
//
// Invariants: the selected endpoints are the nearest ready ones. A deselected endpoint with an attempt in
// flight stays selected until the attempt has finished, as a missing response would otherwise go unnoticed.
// An origin entry is neither ranked nor deselected.
#pragma once

#include "router/indexed_vector.hpp"
#include "router/router.hpp"
#include "subsets/traffic_estimator.hpp"

#include <span>
#include <string>
#include <vector>

namespace harrierpass::subsets {

// Whether a selection may deselect excess endpoints.
enum class selection_mode : std::uint8_t { widen_only, may_narrow };

// Subset of one proxy.
class endpoint_selection {
public:
    // Starts without endpoints.
    explicit endpoint_selection(const router_settings &settings);

    // Applies new settings. The caller passes a snapshot of the endpoint list afterwards.
    void update_settings(const router_settings &settings);
    // Whether the settings rule out subsets, so that all endpoints are selected.
    bool is_disabled() const { return disabled_; }

    // Marks all endpoints as removed, before the entries of a snapshot are recorded.
    void begin_snapshot();
    // Records an entry of the endpoint list. Call rank_endpoints() after the last entry.
    void record_endpoint(const endpoint_info &entry);
    // Sorts the ready endpoints by distance.
    void rank_endpoints();
    // Sets the level for a proxy without traffic samples.
    void use_initial_level();

    // Selects endpoints at the current level. `inner_router` provides which endpoints are ejected.
    void select_endpoints(double now, selection_mode mode, const traffic_estimator &traffic,
                          const router &inner_router);
    // Sets the level with the lowest cost for the traffic; it takes effect with the next selection.
    void reconsider_level(double now, traffic_estimator &traffic);
    // Records whether a request was sent at once or found no capacity.
    void record_dispatch(bool sent_at_once);
    // Whether a selection is due: there are excess endpoints, or the lack of capacity has started or ended.
    bool needs_selection() const;

    // Returns the entries to report to the router after an endpoint list: its own entries and entries whose
    // selection changed. Marks them as reported and clears the changes.
    std::vector<endpoint_info> take_list_updates();
    // Returns the entries to report after a selection between two lists. Clears the changes.
    std::vector<endpoint_info> take_selection_changes();
    // Clears the changes if the list is reported unchanged.
    void discard_updates();

    // Whether the endpoint is known and selected.
    bool is_selected(endpoint_index endpoint) const;
    // Returns the metrics of the subset.
    subset_view view() const;

private:
    // Endpoint of the current or an earlier list.
    struct endpoint_record {
        std::string id;
        endpoint_info info;             // latest entry, without its id
        std::uint64_t distance = 0;     // 0 if the proxy has no index
        bool is_selected = true;        // whether the router may use it
        bool is_reported = false;       // whether the router knows it
        bool is_in_update = false;      // whether the list being applied contains it
        bool selection_changed = false; // whether it changed since the last report
    };

    // Whether the entry is the origin rather than a cache endpoint.
    bool is_origin(const endpoint_record &endpoint) const;
    // Distance from this proxy; 0 if the proxy has no index.
    std::uint64_t distance_to(std::string_view endpoint_id) const;
    // Returns the entry to report to the router: an endpoint that is not selected is draining.
    endpoint_info reported_entry(endpoint_index endpoint) const;
    // Usable share of the endpoint's capacity, by the list alone.
    double listed_share(double now, endpoint_index endpoint) const;
    // Usable share of the endpoint's capacity, by the list and by this proxy's ejections.
    double usable_share(double now, endpoint_index endpoint, const router &inner_router) const;
    // Number of nearest endpoints to select.
    std::size_t target_count(double now, const router &inner_router);
    // Selects the nearest `nearest_count_` endpoints and keeps selected ones with an attempt in flight.
    void apply_selection(const traffic_estimator &traffic);

    router_settings settings_;
    bool disabled_;
    indexed_vector<endpoint_index, endpoint_record> endpoints_;
    std::vector<endpoint_index> ranked_;   // ready endpoints, nearest first
    std::vector<std::uint64_t> distances_; // scratch: by position in ranked_
    std::vector<double> usable_shares_;    // scratch: by position in ranked_
    index level_ = 0;
    index selected_count_ = 0;
    std::size_t nearest_count_ = 0;       // number of nearest endpoints that are selected
    bool lacks_usable_endpoints_ = false; // preferred endpoints have too little capacity
    bool lacks_capacity_ = false;         // most requests find no capacity
    bool is_too_wide_ = false;            // more endpoints are selected than needed
    double no_capacity_share_ = 0;        // share of recent requests that were not sent at once
    std::uint64_t endpoints_added_ = 0, endpoints_removed_ = 0;
    std::uint64_t widened_for_availability_ = 0, widened_for_capacity_ = 0;
};

} // namespace harrierpass::subsets
