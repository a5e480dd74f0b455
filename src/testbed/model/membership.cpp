// SPDX-License-Identifier: Apache-2.0
#include "testbed/model/membership.hpp"

#include <algorithm>

namespace harrierpass::testbed {

member_list::member_list(const experiment &settings, index servers) {
    for (index i = 0; i <= servers; ++i) {
        const bool listed = i < settings.fleet.servers || (i == servers && settings.fleet.cache_aside);
        // Servers that only a stale list has were removed in the first revision.
        const bool removed_since = settings.proxies.initial_list == initial_list_kind::stale && i < servers &&
                                   in_stale_list(settings, i);
        members_.push_back({i, listed ? endpoint_state::ready : endpoint_state::removed, 0,
                            listed || removed_since ? revision_ : 0});
    }
}

membership::membership(timeline &clock, const experiment &settings, index servers, std::uint32_t seed)
    : member_list(settings, servers), clock_(clock), settings_(settings.list), random_(seed),
      actual_(members_), publish_due_(servers + 1, 0.0) {}

void membership::record_change(index server, endpoint_state state, double started) {
    member &current = actual_[server];
    if (current.state == state && current.started == started)
        return;
    current.state = state;
    current.started = started;
    publish_due_[server] = std::max(publish_due_[server], clock_.now() + random_.exponential(settings_.lag));
    clock_.at(publish_due_[server], [this, change = current] {
        if (stale_ > 0)
            withheld_.push_back(change);
        else
            publish(change);
    });
}

void membership::set_stale(bool begins) {
    stale_ += begins ? 1 : static_cast<index>(-1);
    if (stale_ > 0)
        return;
    const auto changes = std::move(withheld_);
    withheld_.clear();
    for (const auto &each : changes)
        publish(each);
}

void member_list::publish(member change) {
    change.revision = ++revision_;
    members_[change.server] = change;
    if (on_change)
        on_change(change);
}

void member_list::load(const member &change) {
    revision_ = std::max(revision_, change.revision);
    members_.at(change.server) = change;
}

std::vector<member_list::member> member_list::initial_members_of(const experiment &settings,
                                                                 index proxy) const {
    std::vector<member> initial;
    const bool starts_stale = starts_with_stale_list(settings, proxy);
    for (const auto &each : members_)
        if (starts_stale && each.server + 1 < members_.size()) {
            if (in_stale_list(settings, each.server))
                initial.push_back({each.server, endpoint_state::ready, 0, 0});
        } else if (each.state != endpoint_state::removed) {
            initial.push_back(each);
        }
    return initial;
}

std::vector<member_list::member> member_list::since(std::uint64_t revision) const {
    std::vector<member> changed;
    for (const auto &each : members_)
        if (each.revision > revision)
            changed.push_back(each);
    return changed;
}

} // namespace harrierpass::testbed
