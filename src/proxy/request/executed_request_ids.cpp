// SPDX-License-Identifier: Apache-2.0
#include "proxy/request/executed_request_ids.hpp"

#include "router/router.hpp"

namespace harrierpass::proxy {

void executed_request_ids::add(std::string_view id, double now) {
    const std::uint64_t hash = ring_hash(id);
    const std::lock_guard guard(lock_);
    forget_expired(now);
    if (entries_.size() >= max_ids)
        forget_oldest();
    const auto added = hashes_.insert(hash);
    try {
        entries_.push_back({hash, now + retention_time});
    } catch (...) {
        hashes_.erase(added);
        throw;
    }
}

bool executed_request_ids::contains(std::string_view id, double now) {
    const std::uint64_t hash = ring_hash(id);
    const std::lock_guard guard(lock_);
    forget_expired(now);
    return hashes_.contains(hash);
}

std::size_t executed_request_ids::size() {
    const std::lock_guard guard(lock_);
    return entries_.size();
}

void executed_request_ids::forget_oldest() {
    hashes_.erase(hashes_.find(entries_.front().hash));
    entries_.pop_front();
}

void executed_request_ids::forget_expired(double now) {
    while (!entries_.empty() && entries_.front().expires_at <= now)
        forget_oldest();
}

} // namespace harrierpass::proxy
