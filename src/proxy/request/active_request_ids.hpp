// SPDX-License-Identifier: Apache-2.0
// The ids of the requests that are active at this proxy, so that no two active requests share one. Safe for
// use by several threads.
#pragma once

#include <cstddef>
#include <mutex>
#include <string>
#include <unordered_set>
#include <utility>

namespace harrierpass::proxy {

// A set of ids, each owned by at most one lease.
class active_request_ids {
public:
    // Owns an id during its lifetime; must not outlive the set. An empty lease owns none.
    class id_lease {
    public:
        id_lease() = default;
        id_lease(const id_lease &) = delete;
        id_lease &operator=(const id_lease &) = delete;
        // Used by acquire(), which has already added the id to the set.
        id_lease(active_request_ids &ids, std::string id) : ids_(&ids), id_(std::move(id)) {}
        // Leaves the moved-from lease empty.
        id_lease(id_lease &&other) noexcept
            : ids_(std::exchange(other.ids_, nullptr)), id_(std::move(other.id_)) {}
        // Swaps the leases: `other` releases the id that this lease owned.
        id_lease &operator=(id_lease &&other) noexcept {
            std::swap(ids_, other.ids_);
            std::swap(id_, other.id_);
            return *this;
        }
        // Releases the id.
        ~id_lease() {
            if (ids_ != nullptr)
                ids_->release(id_);
        }
        // Returns whether the lease owns an id.
        explicit operator bool() const { return ids_ != nullptr; }

    private:
        active_request_ids *ids_ = nullptr;
        std::string id_;
    };

    // Returns an empty lease if another one owns the id.
    id_lease acquire(std::string id) {
        const std::lock_guard guard(lock_);
        return leased_ids_.insert(id).second ? id_lease(*this, std::move(id)) : id_lease();
    }
    // Returns the number of ids in use.
    std::size_t size() {
        const std::lock_guard guard(lock_);
        return leased_ids_.size();
    }

private:
    // Called at the end of a lease.
    void release(const std::string &id) {
        const std::lock_guard guard(lock_);
        leased_ids_.erase(id);
    }

    std::mutex lock_;
    std::unordered_set<std::string> leased_ids_;
};

} // namespace harrierpass::proxy
