// SPDX-License-Identifier: Apache-2.0
// The endpoints that operators have disabled or enabled again. Applied to each entry of the endpoint list
// before the router gets it: a disabled endpoint drains whatever its state in the list, and an endpoint that
// was enabled again counts as started at that time, so that it warms up.
//
// Not synchronized and without a clock: the owner serializes the calls and passes the time (Unix time, s).
#pragma once

#include "router/types.hpp"

#include <map>
#include <set>
#include <string>

namespace harrierpass::proxy {

// Copyable, so that it can be sent to another process of this proxy.
class operator_overrides {
public:
    // Disables an endpoint, which may be unknown. Returns false if it was disabled already.
    bool disable(const std::string &id) { return disabled_.insert(id).second; }

    // Enables a disabled endpoint and records the time. Returns false if it was not disabled.
    bool enable(const std::string &id, double now);

    // Records that another process of this proxy enabled the endpoint at `enabled_at`.
    void record_enabled(const std::string &id, double enabled_at) { enabled_at_[id] = enabled_at; }

    // Whether the endpoint is disabled now.
    [[nodiscard]] bool is_disabled(const std::string &id) const { return disabled_.contains(id); }

    // Returns a list entry with the overrides applied.
    [[nodiscard]] endpoint_info apply(const std::string &id, endpoint_info listed) const;

    // The ids of the disabled endpoints.
    [[nodiscard]] const std::set<std::string> &disabled() const { return disabled_; }

    // The times at which endpoints were enabled again, by id. Entries are removed once the warm-up must have
    // ended.
    [[nodiscard]] const std::map<std::string, double> &enabled_at() const { return enabled_at_; }

private:
    std::set<std::string> disabled_;
    std::map<std::string, double> enabled_at_;
};

} // namespace harrierpass::proxy
