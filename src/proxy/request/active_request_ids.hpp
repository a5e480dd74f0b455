// SPDX-License-Identifier: Apache-2.0
// The ids of the queries that are open here, so that none is taken twice at once.
#pragma once

#include <mutex>
#include <string>
#include <unordered_set>
#include <utility>

namespace harrierpass::proxy {

class active_request_ids {
public:
    // Holds an id for as long as it lives; empty where the id is open already.
    class id_lease {
    public:
        id_lease() = default;
        id_lease(active_request_ids &with, std::string id) : with_(&with), id_(std::move(id)) {}
        id_lease(id_lease &&that) noexcept
            : with_(std::exchange(that.with_, nullptr)), id_(std::move(that.id_)) {}
        id_lease &operator=(id_lease &&that) noexcept {
            std::swap(with_, that.with_);
            std::swap(id_, that.id_);
            return *this;
        }
        ~id_lease() {
            if (with_ == nullptr)
                return;
            const std::lock_guard hold(with_->lock_);
            with_->ids_.erase(id_);
        }
        explicit operator bool() const { return with_ != nullptr; }

    private:
        active_request_ids *with_ = nullptr;
        std::string id_;
    };

    id_lease acquire(std::string id) {
        const std::lock_guard hold(lock_);
        return ids_.insert(id).second ? id_lease(*this, std::move(id)) : id_lease();
    }
    std::size_t size() {
        const std::lock_guard hold(lock_);
        return ids_.size();
    }

private:
    std::mutex lock_;
    std::unordered_set<std::string> ids_;
};

} // namespace harrierpass::proxy
