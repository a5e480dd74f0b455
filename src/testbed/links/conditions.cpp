// SPDX-License-Identifier: Apache-2.0
#include "testbed/links/conditions.hpp"

#include <algorithm>
#include <array>

namespace harrierpass::testbed {
namespace {

constexpr std::uint64_t max_endpoints_per_kind = 1U << 24; // keeps the keys of links unique
constexpr std::array<link_kind, 4> kinds = {link_kind::client_proxy, link_kind::proxy_server,
                                            link_kind::proxy_list, link_kind::proxy_proxy};

bool has_number(const std::vector<index> &list, index number) {
    return std::find(list.begin(), list.end(), number) != list.end();
}

} // namespace

link_table::link_table(const experiment &settings, index servers, std::uint32_t seed)
    : experiment_(settings), servers_(servers), affected_(settings.link_faults.size()) {
    const index proxies = settings.proxies.count;
    for (std::size_t i = 0; i < settings.link_faults.size(); ++i) {
        const auto &fault = settings.link_faults[i];
        random_generator random(seed + 31 * static_cast<std::uint32_t>(i + 1));
        for (const link_kind kind : kinds) {
            if (!fault.between.empty() &&
                std::find(fault.between.begin(), fault.between.end(), kind) == fault.between.end())
                continue;
            const index near_count = kind == link_kind::client_proxy ? 1 : proxies;
            const index far_count = kind == link_kind::proxy_server ? servers_
                                    : kind == link_kind::proxy_list ? 1
                                                                    : proxies;
            for (index near = 0; near < near_count; ++near)
                for (index far = 0; far < far_count; ++far) {
                    const link_id id{kind, near, far};
                    // Draws for each pair, so that the choice of one link does not depend on the others.
                    const bool chosen = random.happens(fault.share);
                    if (!chosen || !affects(fault, id) || (kind == link_kind::proxy_proxy && near == far))
                        continue;
                    links_[key_of(id)].id = id;
                    affected_[i].push_back(key_of(id));
                }
        }
    }
}

std::uint64_t link_table::key_of(const link_id &id) {
    return (static_cast<std::uint64_t>(id.kind) * max_endpoints_per_kind + id.near) * max_endpoints_per_kind +
           id.far;
}

bool link_table::affects(const link_fault_settings &fault, const link_id &id) const {
    const auto proxy_in = [&](index number) {
        return fault.kind == link_fault_kind::partition
                   ? has_number(fault.proxies, number)
                   : fault.proxies.empty() || has_number(fault.proxies, number);
    };
    const auto server_in = [&](index number) {
        return fault.kind == link_fault_kind::partition
                   ? has_number(fault.servers, number)
                   : fault.servers.empty() || has_number(fault.servers, number);
    };
    if (fault.kind == link_fault_kind::partition)
        switch (id.kind) { // affects a link if its ends are on both sides of the border
        case link_kind::client_proxy:
            return fault.clients && proxy_in(id.far);
        case link_kind::proxy_server:
            return proxy_in(id.near) != server_in(id.far);
        case link_kind::proxy_list:
            return proxy_in(id.near) != fault.list;
        case link_kind::proxy_proxy:
            return proxy_in(id.near) != proxy_in(id.far);
        }
    switch (id.kind) {
    case link_kind::client_proxy:
        return proxy_in(id.far);
    case link_kind::proxy_server:
        return proxy_in(id.near) && server_in(id.far);
    case link_kind::proxy_list:
    case link_kind::proxy_proxy:
        return proxy_in(id.near);
    }
    return false;
}

direction_conditions link_table::datagram_conditions(index from, index to) const {
    direction_conditions combined = conditions({link_kind::proxy_proxy, from, to}).forward;
    const direction_conditions &reverse = conditions({link_kind::proxy_proxy, to, from}).backward;
    combined.dropped = combined.dropped || reverse.dropped;
    combined.delay = std::max(combined.delay, reverse.delay);
    combined.jitter = std::max(combined.jitter, reverse.jitter);
    combined.loss_share = std::max(combined.loss_share, reverse.loss_share);
    combined.duplicate_share = std::max(combined.duplicate_share, reverse.duplicate_share);
    combined.reorder_share = std::max(combined.reorder_share, reverse.reorder_share);
    return combined;
}

const link_conditions &link_table::conditions(const link_id &id) const {
    static const link_conditions unimpaired;
    const auto found = links_.find(key_of(id));
    return found == links_.end() ? unimpaired : found->second.current;
}

std::vector<link_id> link_table::link_ids() const {
    std::vector<std::uint64_t> keys;
    keys.reserve(links_.size());
    for (const auto &[key, link] : links_)
        keys.push_back(key);
    std::sort(keys.begin(), keys.end());
    std::vector<link_id> ids;
    ids.reserve(keys.size());
    for (const auto key : keys)
        ids.push_back(links_.at(key).id);
    return ids;
}

// Combines all faults in force, so that the end of one fault keeps the effects of the others.
link_conditions link_table::combined_conditions(const entry &link) const {
    link_conditions combined;
    for (const std::size_t fault_index : link.active) {
        const auto &fault = experiment_.link_faults[fault_index];
        const auto add = [&](direction_conditions &target) {
            const bool drops = fault.kind == link_fault_kind::drop ||
                               fault.kind == link_fault_kind::one_way ||
                               fault.kind == link_fault_kind::partition;
            target.dropped = target.dropped || drops;
            target.delay += fault.delay;
            target.jitter += fault.jitter;
            if (fault.bytes_per_second > 0)
                target.bytes_per_second = target.bytes_per_second > 0
                                              ? std::min(target.bytes_per_second, fault.bytes_per_second)
                                              : fault.bytes_per_second;
            target.loss_share = std::max(target.loss_share, fault.loss_share);
            target.duplicate_share = std::max(target.duplicate_share, fault.duplicate_share);
            target.reorder_share = std::max(target.reorder_share, fault.reorder_share);
        };
        if (fault.to_far_end)
            add(combined.forward);
        if (fault.to_near_end)
            add(combined.backward);
        combined.resets = combined.resets || fault.kind == link_fault_kind::reset;
        combined.half_open = combined.half_open || fault.kind == link_fault_kind::half_open;
    }
    return combined;
}

void link_table::apply(std::size_t fault, bool begins) {
    for (const std::uint64_t key : affected_.at(fault)) {
        auto &link = links_.at(key);
        if (begins)
            link.active.push_back(fault);
        else if (const auto found = std::find(link.active.begin(), link.active.end(), fault);
                 found != link.active.end())
            link.active.erase(found);
        const link_conditions before = link.current;
        link.current = combined_conditions(link);
        if (!(before == link.current) && on_change)
            on_change(link.id, before, link.current);
    }
}

} // namespace harrierpass::testbed
