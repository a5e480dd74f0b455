// SPDX-License-Identifier: Apache-2.0
#include "testbed/links/conditions.hpp"

#include <algorithm>
#include <array>

namespace harrierpass::testbed {
namespace {

constexpr std::uint64_t max_endpoints_per_kind = 1U << 24; // of one kind; keeps a link's number whole
constexpr std::array<link_kind, 4> kinds = {link_kind::client_proxy, link_kind::proxy_server,
                                            link_kind::proxy_list, link_kind::proxy_proxy};

bool has(const std::vector<index> &list, index one) {
    return std::find(list.begin(), list.end(), one) != list.end();
}

} // namespace

link_table::link_table(const experiment &given, index servers, std::uint32_t seed)
    : experiment_(given), servers_(servers), affected_(given.link_faults.size()) {
    const index proxies = given.proxies.count;
    for (std::size_t i = 0; i < given.link_faults.size(); ++i) {
        const auto &fault = given.link_faults[i];
        random_generator from(seed + 31 * static_cast<std::uint32_t>(i + 1));
        for (const link_kind kind : kinds) {
            if (!fault.between.empty() &&
                std::find(fault.between.begin(), fault.between.end(), kind) == fault.between.end())
                continue;
            const index nears = kind == link_kind::client_proxy ? 1 : proxies;
            const index fars = kind == link_kind::proxy_server ? servers_
                               : kind == link_kind::proxy_list ? 1
                                                               : proxies;
            for (index near = 0; near < nears; ++near)
                for (index far = 0; far < fars; ++far) {
                    const link_id id{kind, near, far};
                    // Chance is asked for each pair, so that one link's luck does not hang on another's.
                    const bool chosen = from.happens(fault.share);
                    if (!chosen || !affects(fault, id) || (kind == link_kind::proxy_proxy && near == far))
                        continue;
                    links_[number(id)].id = id;
                    affected_[i].push_back(number(id));
                }
        }
    }
}

std::uint64_t link_table::number(const link_id &which) const {
    return (static_cast<std::uint64_t>(which.kind) * max_endpoints_per_kind + which.near) *
               max_endpoints_per_kind +
           which.far;
}

bool link_table::affects(const link_fault_settings &fault, const link_id &which) const {
    const auto proxy_in = [&](index one) {
        return fault.kind == link_fault_kind::partition ? has(fault.proxies, one)
                                                        : fault.proxies.empty() || has(fault.proxies, one);
    };
    const auto server_in = [&](index one) {
        return fault.kind == link_fault_kind::partition ? has(fault.servers, one)
                                                        : fault.servers.empty() || has(fault.servers, one);
    };
    if (fault.kind == link_fault_kind::partition)
        switch (which.kind) { // it crosses the border
        case link_kind::client_proxy:
            return fault.clients && proxy_in(which.far);
        case link_kind::proxy_server:
            return proxy_in(which.near) != server_in(which.far);
        case link_kind::proxy_list:
            return proxy_in(which.near) != fault.list;
        case link_kind::proxy_proxy:
            return proxy_in(which.near) != proxy_in(which.far);
        }
    switch (which.kind) {
    case link_kind::client_proxy:
        return proxy_in(which.far);
    case link_kind::proxy_server:
        return proxy_in(which.near) && server_in(which.far);
    case link_kind::proxy_list:
    case link_kind::proxy_proxy:
        return proxy_in(which.near);
    }
    return false;
}

direction_conditions link_table::datagram_conditions(index from, index to) const {
    direction_conditions made = conditions({link_kind::proxy_proxy, from, to}).forward;
    const direction_conditions &that = conditions({link_kind::proxy_proxy, to, from}).backward;
    made.dropped = made.dropped || that.dropped;
    made.delay = std::max(made.delay, that.delay);
    made.jitter = std::max(made.jitter, that.jitter);
    made.loss_share = std::max(made.loss_share, that.loss_share);
    made.duplicate_share = std::max(made.duplicate_share, that.duplicate_share);
    made.reorder_share = std::max(made.reorder_share, that.reorder_share);
    return made;
}

const link_conditions &link_table::conditions(const link_id &which) const {
    static const link_conditions well;
    const auto found = links_.find(number(which));
    return found == links_.end() ? well : found->second.now;
}

std::vector<link_id> link_table::all() const {
    std::vector<std::uint64_t> numbers;
    numbers.reserve(links_.size());
    for (const auto &[each, of] : links_)
        numbers.push_back(each);
    std::sort(numbers.begin(), numbers.end());
    std::vector<link_id> made;
    made.reserve(numbers.size());
    for (const auto each : numbers)
        made.push_back(links_.at(each).id);
    return made;
}

// From all faults that hold, so that one that ends leaves what others bring.
link_conditions link_table::combined_conditions(const entry &of) const {
    link_conditions made;
    for (const std::size_t each : of.active) {
        const auto &fault = experiment_.link_faults[each];
        const auto add = [&](direction_conditions &to) {
            const bool drops = fault.kind == link_fault_kind::drop ||
                               fault.kind == link_fault_kind::one_way ||
                               fault.kind == link_fault_kind::partition;
            to.dropped = to.dropped || drops;
            to.delay += fault.delay;
            to.jitter += fault.jitter;
            if (fault.bytes_per_second > 0)
                to.bytes_per_second = to.bytes_per_second > 0
                                          ? std::min(to.bytes_per_second, fault.bytes_per_second)
                                          : fault.bytes_per_second;
            to.loss_share = std::max(to.loss_share, fault.loss_share);
            to.duplicate_share = std::max(to.duplicate_share, fault.duplicate_share);
            to.reorder_share = std::max(to.reorder_share, fault.reorder_share);
        };
        if (fault.to_far_end)
            add(made.forward);
        if (fault.to_near_end)
            add(made.backward);
        made.resets = made.resets || fault.kind == link_fault_kind::reset;
        made.half_open = made.half_open || fault.kind == link_fault_kind::half_open;
    }
    return made;
}

void link_table::apply(std::size_t fault, bool begins) {
    for (const std::uint64_t each : affected_.at(fault)) {
        auto &of = links_.at(each);
        if (begins)
            of.active.push_back(fault);
        else if (const auto at = std::find(of.active.begin(), of.active.end(), fault); at != of.active.end())
            of.active.erase(at);
        const link_conditions before = of.now;
        of.now = combined_conditions(of);
        if (!(before == of.now) && on_change)
            on_change(of.id, before, of.now);
    }
}

} // namespace harrierpass::testbed
