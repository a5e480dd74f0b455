// SPDX-License-Identifier: Apache-2.0
// Links in virtual time. Applies to whole messages the conditions that the relay applies to bytes.
#pragma once

#include "testbed/links/conditions.hpp"
#include "testbed/model/timeline.hpp"

#include <map>
#include <tuple>

namespace harrierpass::testbed {

// Delivers messages over links in virtual time, and queues those of a dropped direction. `clock` and `table`
// outlive it.
class virtual_links {
public:
    // `seed`: for jitter.
    virtual_links(timeline &clock, const link_table &table, std::uint32_t seed)
        : clock_(clock), table_(table), random_(seed) {}

    // Calls `on_arrival` after `latency` seconds plus the link's delays. While the direction is dropped, the
    // message is queued; it is sent afterwards if `sender_connected` returns true (empty: always).
    void carry(const link_id &id, direction flow, double latency, std::size_t bytes,
               std::function<void()> on_arrival, std::function<bool()> sender_connected = {}) {
        if (!table_.contains(id))
            return clock_.after(latency, std::move(on_arrival));
        const direction_conditions &now = table_.conditions(id).at(flow);
        if (now.dropped) {
            queued_[key(id, flow)].push_back(
                {latency, bytes, std::move(on_arrival), std::move(sender_connected)});
            return;
        }
        const double jitter = now.jitter > 0 ? now.jitter * random_.uniform() : 0;
        const double transfer_time =
            now.bytes_per_second > 0 ? static_cast<double>(bytes) / now.bytes_per_second : 0;
        clock_.after(latency + now.delay + jitter + transfer_time, std::move(on_arrival));
    }
    bool can_connect(const link_id &id) const { return table_.conditions(id).can_connect(); }
    const link_conditions &conditions(const link_id &id) const { return table_.conditions(id); }
    // For the table's on_change: sends the queued messages of a direction that is no longer dropped.
    void on_conditions_changed(const link_id &id, const link_conditions &before, const link_conditions &now) {
        for (const direction flow : {direction::forward, direction::backward}) {
            if (!before.at(flow).dropped || now.at(flow).dropped)
                continue;
            const auto messages = std::move(queued_[key(id, flow)]);
            queued_.erase(key(id, flow));
            for (const auto &each : messages)
                if (!each.sender_connected || each.sender_connected())
                    carry(id, flow, each.latency, each.bytes, each.on_arrival, each.sender_connected);
        }
    }

private:
    // A message queued while its direction is dropped.
    struct queued_message {
        double latency;
        std::size_t bytes;
        std::function<void()> on_arrival;
        std::function<bool()> sender_connected;
    };
    using queue_key = std::tuple<link_kind, index, index, direction>;
    static queue_key key(const link_id &id, direction flow) { return {id.kind, id.near, id.far, flow}; }

    timeline &clock_;
    const link_table &table_;
    random_generator random_;
    std::map<queue_key, std::vector<queued_message>> queued_;
};

} // namespace harrierpass::testbed
