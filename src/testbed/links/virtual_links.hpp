// SPDX-License-Identifier: Apache-2.0
// The named links in virtual time: what the relay does to bytes, done to whole messages.
#pragma once

#include "testbed/links/conditions.hpp"
#include "testbed/model/timeline.hpp"

#include <map>
#include <tuple>

namespace harrierpass::testbed {

class virtual_links {
public:
    virtual_links(timeline &clock, const link_table &table, std::uint32_t seed)
        : clock_(clock), table_(table), chance_(seed) {}

    // Brings a message over: after `way` s and what the link adds. While its direction is dropped it is held;
    // when that is over, `lives` tells whether its sender's connection still stands (none: it does).
    void carry(const link_id &on, direction to, double way, std::size_t bytes, std::function<void()> then,
               std::function<bool()> lives = {}) {
        if (!table_.names(on))
            return clock_.after(way, std::move(then));
        const way_now &now = table_.now(on).at(to);
        if (now.dropped) {
            held_[key(on, to)].push_back({way, bytes, std::move(then), std::move(lives)});
            return;
        }
        const double jitter = now.jitter > 0 ? now.jitter * chance_.uniform() : 0;
        const double wire = now.pace > 0 ? static_cast<double>(bytes) / now.pace : 0;
        clock_.after(way + now.delay + jitter + wire, std::move(then));
    }
    bool comes_up(const link_id &which) const { return table_.now(which).comes_up(); }
    const link_now &now(const link_id &which) const { return table_.now(which); }
    // For the table: what was held goes on.
    void changed(const link_id &which, const link_now &before, const link_now &now) {
        for (const direction to : {direction::there, direction::back}) {
            if (!before.at(to).dropped || now.at(to).dropped)
                continue;
            const auto all = std::move(held_[key(which, to)]);
            held_.erase(key(which, to));
            for (const auto &each : all)
                if (!each.lives || each.lives())
                    carry(which, to, each.way, each.bytes, each.then, each.lives);
        }
    }

private:
    struct held {
        double way;
        std::size_t bytes;
        std::function<void()> then;
        std::function<bool()> lives;
    };
    using place = std::tuple<link_kind, index, index, direction>;
    static place key(const link_id &of, direction to) { return {of.kind, of.near, of.far, to}; }

    timeline &clock_;
    const link_table &table_;
    random_generator chance_;
    std::map<place, std::vector<held>> held_;
};

} // namespace harrierpass::testbed
