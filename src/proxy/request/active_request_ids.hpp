// SPDX-License-Identifier: Apache-2.0
// The ids of the requests that are open at this proxy, so that none is accepted twice at once. Safe for use
// by several threads.
#pragma once

#include <cstddef>
#include <mutex>
#include <string>
#include <unordered_set>
#include <utility>

namespace harrierpass::proxy {

// A set of ids, each held by one lease at most.
class active_request_ids {
public:
    // Holds an id for as long as it lives, and must not outlive the set. Empty: it holds none.
    class id_lease {
    public:
        id_lease() = default;
        id_lease(const id_lease &) = delete;
        id_lease &operator=(const id_lease &) = delete;
        // For acquire(): the id is in the set already.
        id_lease(active_request_ids &ids, std::string id) : ids_(&ids), id_(std::move(id)) {}
        // A lease that was moved from holds none.
        id_lease(id_lease &&that) noexcept
            : ids_(std::exchange(that.ids_, nullptr)), id_(std::move(that.id_)) {}
        // Exchanges the leases: `that` releases the one that was held here.
        id_lease &operator=(id_lease &&that) noexcept {
            std::swap(ids_, that.ids_);
            std::swap(id_, that.id_);
            return *this;
        }
        // Releases the id.
        ~id_lease() {
            if (ids_ != nullptr)
                ids_->release(id_);
        }
        // Whether an id is held.
        explicit operator bool() const { return ids_ != nullptr; }

    private:
        active_request_ids *ids_ = nullptr;
        std::string id_;
    };

    // Empty: another lease holds the id.
    id_lease acquire(std::string id) {
        const std::lock_guard hold(lock_);
        return open_.insert(id).second ? id_lease(*this, std::move(id)) : id_lease();
    }
    // How many ids are held.
    std::size_t size() {
        const std::lock_guard hold(lock_);
        return open_.size();
    }

private:
    // The end of a lease.
    void release(const std::string &id) {
        const std::lock_guard hold(lock_);
        open_.erase(id);
    }

    std::mutex lock_;
    std::unordered_set<std::string> open_;
};

} // namespace harrierpass::proxy
