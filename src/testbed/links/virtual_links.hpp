// SPDX-License-Identifier: Apache-2.0
// The named links in virtual time: what the relay does to bytes, done to whole messages.
#pragma once

#include "testbed/links/conditions.hpp"
#include "testbed/model/timeline.hpp"

#include <map>
#include <tuple>

namespace harrierpass::testbed {

// Carries messages over links in virtual time, and holds those of a direction that is dropped. `clock` and
// `table` outlive it.
class virtual_links {
public:
    // `seed`: of jitter.
    virtual_links(timeline &clock, const link_table &table, std::uint32_t seed)
        : clock_(clock), table_(table), random_(seed) {}

    // Calls `on_arrival` after `latency` s and what the link adds. While the direction is dropped the message
    // is queued; once that is over it is sent if `sender_connected` says so (empty: always).
    void carry(const link_id &on, direction to, double latency, std::size_t bytes,
               std::function<void()> on_arrival, std::function<bool()> sender_connected = {}) {
        if (!table_.contains(on))
            return clock_.after(latency, std::move(on_arrival));
        const direction_conditions &now = table_.conditions(on).at(to);
        if (now.dropped) {
            queued_[key(on, to)].push_back(
                {latency, bytes, std::move(on_arrival), std::move(sender_connected)});
            return;
        }
        const double jitter = now.jitter > 0 ? now.jitter * random_.uniform() : 0;
        const double wire = now.bytes_per_second > 0 ? static_cast<double>(bytes) / now.bytes_per_second : 0;
        clock_.after(latency + now.delay + jitter + wire, std::move(on_arrival));
    }
    bool can_connect(const link_id &which) const { return table_.conditions(which).can_connect(); }
    const link_conditions &conditions(const link_id &which) const { return table_.conditions(which); }
    // For the table's on_change: sends what was queued while a direction was dropped.
    void on_conditions_changed(const link_id &which, const link_conditions &before,
                               const link_conditions &now) {
        for (const direction to : {direction::forward, direction::backward}) {
            if (!before.at(to).dropped || now.at(to).dropped)
                continue;
            const auto all = std::move(queued_[key(which, to)]);
            queued_.erase(key(which, to));
            for (const auto &each : all)
                if (!each.sender_connected || each.sender_connected())
                    carry(which, to, each.latency, each.bytes, each.on_arrival, each.sender_connected);
        }
    }

private:
    // A message that waits for its direction to be up again.
    struct queued_message {
        double latency;
        std::size_t bytes;
        std::function<void()> on_arrival;
        std::function<bool()> sender_connected;
    };
    using place = std::tuple<link_kind, index, index, direction>;
    static place key(const link_id &of, direction to) { return {of.kind, of.near, of.far, to}; }

    timeline &clock_;
    const link_table &table_;
    random_generator random_;
    std::map<place, std::vector<queued_message>> queued_;
};

} // namespace harrierpass::testbed
