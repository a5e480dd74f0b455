// SPDX-License-Identifier: Apache-2.0
#include "testbed/model/membership.hpp"

#include <algorithm>

namespace harrierpass::testbed {

member_list::member_list(const experiment &settings, index servers) {
    for (index i = 0; i <= servers; ++i) {
        const bool here = i < settings.fleet.servers || (i == servers && settings.fleet.cache_aside);
        // What an old list names went when this one came.
        const bool went = settings.proxies.initial_list == initial_list_kind::stale && i < servers &&
                          in_stale_list(settings, i);
        members_.push_back(
            {i, here ? endpoint_state::ready : endpoint_state::removed, 0, here || went ? revision_ : 0});
    }
}

membership::membership(timeline &clock, const experiment &settings, index servers, std::uint32_t seed)
    : member_list(settings, servers), clock_(clock), settings_(settings.list), random_(seed),
      actual_(members_), due_(servers + 1, 0.0) {}

void membership::record_change(index server, endpoint_state state, double started) {
    member &now = actual_[server];
    if (now.state == state && now.started == started)
        return;
    now.state = state;
    now.started = started;
    due_[server] = std::max(due_[server], clock_.now() + random_.exponential(settings_.lag));
    clock_.at(due_[server], [this, what = now] {
        if (stale_ > 0)
            withheld_.push_back(what);
        else
            publish(what);
    });
}

void membership::stale(bool begins) {
    stale_ += begins ? 1 : static_cast<index>(-1);
    if (stale_ > 0)
        return;
    const auto all = std::move(withheld_);
    withheld_.clear();
    for (const auto &each : all)
        publish(each);
}

void member_list::publish(member what) {
    what.revision = ++revision_;
    members_[what.server] = what;
    if (on_change)
        on_change(what);
}

void member_list::load(const member &what) {
    revision_ = std::max(revision_, what.revision);
    members_.at(what.server) = what;
}

std::vector<member_list::member> member_list::initial_members_of(const experiment &settings,
                                                                 index proxy) const {
    std::vector<member> made;
    const bool old = starts_with_stale_list(settings, proxy);
    for (const auto &each : members_)
        if (old && each.server + 1 < members_.size()) {
            if (in_stale_list(settings, each.server))
                made.push_back({each.server, endpoint_state::ready, 0, 0});
        } else if (each.state != endpoint_state::removed) {
            made.push_back(each);
        }
    return made;
}

std::vector<member_list::member> member_list::since(std::uint64_t revision) const {
    std::vector<member> changed;
    for (const auto &each : members_)
        if (each.revision > revision)
            changed.push_back(each);
    return changed;
}

} // namespace harrierpass::testbed
