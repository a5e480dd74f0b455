// SPDX-License-Identifier: Apache-2.0
// How often each kind of event happened. Thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace harrierpass::hosted {

// Counters that come to be with their first event.
class event_counters {
public:
    // Counts one event. Throws std::bad_alloc.
    void add(const std::string &name) {
        const std::lock_guard guard(lock_);
        ++counts_[name];
    }
    // A copy of all counts, by name; names without an event are missing.
    std::map<std::string, std::uint64_t> counts() const {
        const std::lock_guard guard(lock_);
        return counts_;
    }

private:
    mutable std::mutex lock_; // guards counts_
    std::map<std::string, std::uint64_t> counts_;
};

} // namespace harrierpass::hosted
