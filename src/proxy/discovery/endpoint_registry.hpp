// SPDX-License-Identifier: Apache-2.0
// The endpoints of the list in force, and the slot (index) of each endpoint. The router, the dispatcher and
// the upstream pool identify endpoints by their slot only.
//
// Lifetime of a slot:
//   free -> assigned      an endpoint with a new id is listed (acquire_slot)
//   assigned -> retired   a list removes the endpoint (retire_missing); the id keeps the slot
//   retired -> assigned   the same id is listed again and gets its previous slot
//   retired -> assigned   another new id is listed, and no attempt or health check refers to the slot
// A slot that one list retires can be reused from the next list on, when the router has removed its endpoint
// from the hash ring. So the number of slots stays close to the number of endpoints listed at a time.
//
// Not synchronized: the owner serializes the calls. Only slot_count() may be called from any thread.
#pragma once

#include "proxy/discovery/endpoint_list.hpp"

#include <atomic>
#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace harrierpass::proxy {

// Owned by the discovery client, which calls it while holding its registry lock.
class endpoint_registry {
public:
    // A ready or draining endpoint of the list in force.
    struct listed_endpoint {
        endpoint_info info; // includes the slot
        std::string host_port;
    };
    using listed_endpoints = std::unordered_map<std::string, listed_endpoint>; // by id

    // `is_referenced` returns whether an attempt or a health check still refers to a slot.
    explicit endpoint_registry(std::function<bool(endpoint_index slot)> is_referenced)
        : is_referenced_(std::move(is_referenced)) {}

    // The slot of an id, assigned or retired; empty if the id has none.
    [[nodiscard]] std::optional<endpoint_index> slot_of(const std::string &id) const;

    // Returns the slot of the id, assigned again if it was retired; otherwise assigns a reusable or a new
    // slot.
    endpoint_index acquire_slot(const std::string &id);

    // Adds an endpoint to the list or replaces its entry. `info` includes the slot.
    void set_listed(const std::string &id, const endpoint_info &info, const std::string &host_port);
    // Removes an endpoint from the list; its slot stays assigned until retire_missing().
    void remove_listed(const std::string &id) { listed_.erase(id); }
    // Like remove_listed(), for all endpoints.
    void clear_listed() { listed_.clear(); }

    // Retires the slots of the endpoints that a list removes: a delta by listing them as removed, a snapshot
    // also by not listing them. Returns the retired slots.
    std::vector<endpoint_index> retire_missing(const endpoint_list &list, bool is_snapshot);

    // The endpoints of the list in force.
    [[nodiscard]] const listed_endpoints &listed() const { return listed_; }

    // The largest number of slots in use at a time.
    [[nodiscard]] std::size_t slot_count() const { return slot_count_.load(); }

private:
    const std::function<bool(endpoint_index slot)> is_referenced_;
    listed_endpoints listed_;
    std::unordered_map<std::string, endpoint_index> slots_; // by id; assigned and retired
    std::deque<std::string> retired_; // ids with a retired slot, in the order of retirement
    std::atomic<index> slot_count_ = 0;
};

} // namespace harrierpass::proxy
