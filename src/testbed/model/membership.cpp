// SPDX-License-Identifier: Apache-2.0
#include "testbed/model/membership.hpp"

#include <algorithm>

namespace harrierpass::testbed {

member_list::member_list(const experiment &given, index servers) {
    for (index i = 0; i <= servers; ++i) {
        const bool here = i < given.fleet.servers || (i == servers && given.fleet.aside);
        // What an old list names went when this one came.
        const bool went = given.proxies.known == known_list::old && i < servers && in_old_list(given, i);
        members_.push_back(
            {i, here ? endpoint_state::ready : endpoint_state::removed, 0, here || went ? revision_ : 0});
    }
}

membership::membership(timeline &clock, const experiment &given, index servers, std::uint32_t seed)
    : member_list(given, servers), clock_(clock), given_(given.list), chance_(seed), truth_(members_),
      due_(servers + 1, 0.0) {}

void membership::happened(index server, endpoint_state state, double started) {
    member &now = truth_[server];
    if (now.state == state && now.started == started)
        return;
    now.state = state;
    now.started = started;
    due_[server] = std::max(due_[server], clock_.now() + chance_.exponential(given_.lag));
    clock_.at(due_[server], [this, what = now] {
        if (stale_ > 0)
            kept_back_.push_back(what);
        else
            publish(what);
    });
}

void membership::stale(bool begins) {
    stale_ += begins ? 1 : static_cast<index>(-1);
    if (stale_ > 0)
        return;
    const auto all = std::move(kept_back_);
    kept_back_.clear();
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

std::vector<member_list::member> member_list::known_by(const experiment &given, index proxy) const {
    std::vector<member> made;
    const bool old = knows_old(given, proxy);
    for (const auto &each : members_)
        if (old && each.server + 1 < members_.size()) {
            if (in_old_list(given, each.server))
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
