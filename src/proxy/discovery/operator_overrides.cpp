// SPDX-License-Identifier: Apache-2.0
#include "proxy/discovery/operator_overrides.hpp"

#include <algorithm>

namespace harrierpass::proxy {
namespace {

constexpr double max_warm_up_time = 3600; // s; no endpoint warms up for longer

} // namespace

bool operator_overrides::enable(const std::string &id, double now) {
    if (disabled_.erase(id) == 0)
        return false;
    std::erase_if(enabled_at_, [&](const auto &each) { return now - each.second > max_warm_up_time; });
    enabled_at_[id] = now;
    return true;
}

endpoint_info operator_overrides::apply(const std::string &id, endpoint_info listed) const {
    if (is_disabled(id) && listed.state == endpoint_state::ready)
        listed.state = endpoint_state::draining;
    if (const auto enabled = enabled_at_.find(id); enabled != enabled_at_.end())
        listed.started_at = std::max(listed.started_at, enabled->second);
    return listed;
}

} // namespace harrierpass::proxy
