// SPDX-License-Identifier: Apache-2.0
// The present version of the tenants' set, and the one way to the next: checked whole, on disk, and only then
// seen by queries and told to its writer. Readers never wait for a writer's disk.
#pragma once

#include "store/store.hpp"

#include <array>
#include <functional>
#include <mutex>

namespace harrierpass::admin {

// What became of a transaction.
struct outcome_of_change {
    tenants::set_ptr set; // the new version; null: refused
    tenants::refusal why;
    std::string unkept; // not empty: it was good, and the store could not keep it
};

// Thread-safe. Lock order: write_, then read_.
class registry {
public:
    // Returns Unix time in seconds.
    using clock = std::function<double()>;
    // `keeps` must outlive it.
    registry(store::tenant_store &keeps, clock now)
        : store_(keeps), now_(std::move(now)), set_(keeps.at_start().set) {}

    // The present version.
    tenants::set_ptr now() const {
        const std::lock_guard hold(read_);
        return set_;
    }

    // Makes steps from the present version, which no other writer changes meanwhile, and applies them. A
    // creation that was answered before under its idempotency key is the caller's to find out first, within
    // `make`.
    outcome_of_change
    change(const std::function<std::vector<tenants::change>(const tenants::tenant_set &)> &make,
           const std::string &who, bool dry, const std::string &idempotency_key = {},
           const store::kept_answer &answer = {});

    // Ends the draining tenants of which nothing is open any more.
    std::size_t purge(const std::function<bool(std::uint64_t incarnation)> &is_idle);

    // The store below, for its reads; changes go through change().
    store::tenant_store &storage() { return store_; }

    // Told of each new version, by the writer's thread, after it is on disk.
    std::function<void(const tenants::set_ptr &)> on_change;

private:
    store::tenant_store &store_;
    const clock now_;
    std::mutex write_;        // of one writer at a time, over the disk
    mutable std::mutex read_; // of set_; held for a copy of it only
    tenants::set_ptr set_;
};

} // namespace harrierpass::admin
