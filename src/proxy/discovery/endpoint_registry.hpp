// SPDX-License-Identifier: Apache-2.0
// The endpoints of the list in force, and the slot (index) that each of them holds. The router, the
// dispatcher and the connection pool know endpoints by their slot alone.
//
// Lifetime of a slot:
//   free -> held      an endpoint with a new id is listed (acquire_slot)
//   held -> retired   the list removes its endpoint (retire_missing); the id keeps the slot
//   retired -> held   the same id is listed again: it has the slot that it had
//   retired -> held   another new id is listed, and no attempt or health check refers to the slot any more
// A slot that is retired by one list can be reused from the next list on, when the router has removed its
// endpoint from the hash ring. So the number of slots stays near the number of endpoints listed at a time.
//
// Holds no lock: the owner serializes the calls. Only slot_count() may be called from any thread.
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

class endpoint_registry {
public:
    // An endpoint of the list in force, which is ready or draining.
    struct listed_endpoint {
        endpoint_info info; // with its slot
        std::string host_port;
    };
    using listed_endpoints = std::unordered_map<std::string, listed_endpoint>; // by id

    // `is_referenced`: whether an attempt or a health check still refers to a slot.
    explicit endpoint_registry(std::function<bool(endpoint_index slot)> is_referenced)
        : is_referenced_(std::move(is_referenced)) {}

    // The slot of an id that holds one, also of a retired one; empty: none.
    [[nodiscard]] std::optional<endpoint_index> slot_of(const std::string &id) const;

    // The slot of the id, which is taken out of retirement, or else a reusable or a new one.
    endpoint_index acquire_slot(const std::string &id);

    // Lists an endpoint (`info` with its slot), or replaces its entry.
    void set_listed(const std::string &id, const endpoint_info &info, const std::string &host_port);
    void remove_listed(const std::string &id) { listed_.erase(id); }
    void clear_listed() { listed_.clear(); }

    // Retires the slots of endpoints that a list removes: by name, or, if it is a snapshot, by not naming
    // them. Returns the slots that it retired.
    std::vector<endpoint_index> retire_missing(const endpoint_list &list, bool is_snapshot);

    [[nodiscard]] const listed_endpoints &listed() const { return listed_; }

    // Slots that were ever held at a time.
    [[nodiscard]] std::size_t slot_count() const { return slot_count_.load(); }

private:
    const std::function<bool(endpoint_index slot)> is_referenced_;
    listed_endpoints listed_;
    std::unordered_map<std::string, endpoint_index> slots_; // by id; of listed and of retired endpoints
    std::deque<std::string> retired_; // ids with a retired slot, the first retired first
    std::atomic<index> slot_count_ = 0;
};

} // namespace harrierpass::proxy
