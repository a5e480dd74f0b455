// SPDX-License-Identifier: Apache-2.0
// Which endpoints operators have disabled, and which of them they have enabled again. Applied to each entry
// of the endpoint list before the router sees it: a disabled endpoint drains whatever the list says, and one
// that was enabled again counts as started then, so that it warms up.
//
// Holds no lock and has no clock: the owner serializes the calls and passes the time (Unix time, s).
#pragma once

#include "router/types.hpp"

#include <map>
#include <set>
#include <string>

namespace harrierpass::proxy {

// Copyable, so that another process of this proxy can be told of it.
class operator_overrides {
public:
    // Disables an endpoint, known or not. False: it was disabled already.
    bool disable(const std::string &id) { return disabled_.insert(id).second; }

    // Enables a disabled endpoint and records when. False: it was not disabled.
    bool enable(const std::string &id, double now);

    // Another process of this proxy enabled the endpoint at that time.
    void record_enabled(const std::string &id, double enabled_at) { enabled_at_[id] = enabled_at; }

    // Whether the endpoint is disabled now.
    [[nodiscard]] bool is_disabled(const std::string &id) const { return disabled_.contains(id); }

    // The entry of the list as the router is to see it.
    [[nodiscard]] endpoint_info apply(const std::string &id, endpoint_info listed) const;

    // Ids of the disabled endpoints.
    [[nodiscard]] const std::set<std::string> &disabled() const { return disabled_; }

    // When endpoints were enabled again, by id. Entries go once no endpoint can still be warming up.
    [[nodiscard]] const std::map<std::string, double> &enabled_at() const { return enabled_at_; }

private:
    std::set<std::string> disabled_;
    std::map<std::string, double> enabled_at_;
};

} // namespace harrierpass::proxy
