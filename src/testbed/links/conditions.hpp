// SPDX-License-Identifier: Apache-2.0
// Current conditions of each link between two ends, combined from the experiment's link faults. Does no I/O;
// the relays on sockets and the links in virtual time share the table. It contains only links that a fault of
// the experiment affects; all other ends are connected directly.
#pragma once

#include "testbed/model/experiment.hpp"
#include "testbed/model/random.hpp"

#include <functional>
#include <unordered_map>

namespace harrierpass::testbed {

// The two ends of a link, by number. All clients together are end 0 of their kind, and so is the list
// service.
struct link_id {
    link_kind kind = link_kind::proxy_server;
    index near = 0, far = 0;
    bool operator==(const link_id &) const = default;
};

enum class direction : std::uint8_t {
    forward,  // from the near end, which opens connections, to the far end
    backward, // from the far end to the near end
};

// Conditions of one direction of a link.
struct direction_conditions {
    bool dropped = false;         // no bytes get through; connections queue them
    double delay = 0, jitter = 0; // seconds, added to the latency
    double bytes_per_second = 0;  // 0: no limit
    double loss_share = 0, duplicate_share = 0, reorder_share = 0; // shares of datagrams
    bool operator==(const direction_conditions &) const = default;
};

// Conditions of both directions of a link and of its connections.
struct link_conditions {
    direction_conditions forward, backward;
    bool resets = false;    // open and new connections are reset
    bool half_open = false; // connections open at its beginning are reset at the far end only
    // A new connection needs both directions.
    bool can_connect() const { return !forward.dropped && !backward.dropped; }
    // Whether any fault is in force.
    bool impaired() const { return !(*this == link_conditions{}); }
    const direction_conditions &at(direction flow) const {
        return flow == direction::forward ? forward : backward;
    }
    bool operator==(const link_conditions &) const = default;
};

// Conditions of all links that faults of an experiment affect. Owned by the run; `settings` outlives it.
class link_table {
public:
    // `servers`: the number of servers, including those that join later and the origin. `seed`: for the
    // choice of links by faults that affect a share of them.
    link_table(const experiment &settings, index servers, std::uint32_t seed);

    bool contains(const link_id &id) const { return links_.contains(key_of(id)); }
    // A link that is not in the table is unimpaired.
    const link_conditions &conditions(const link_id &id) const;
    // Conditions of a datagram from one proxy to another. A fault can name either of them as the near end.
    direction_conditions datagram_conditions(index from, index to) const;
    std::vector<link_id> link_ids() const; // ordered by kind, near end, far end
    std::size_t size() const { return links_.size(); }

    // Begins or ends a link fault, by its index in the experiment.
    void apply(std::size_t fault, bool begins);
    // Called when the conditions of a link have changed.
    std::function<void(const link_id &, const link_conditions &before, const link_conditions &now)> on_change;

private:
    // A link and the faults in force on it.
    struct entry {
        link_id id;
        link_conditions current;
        std::vector<std::size_t>
            active; // faults in force, by index; a fault that began twice is listed twice
    };
    static std::uint64_t key_of(const link_id &id);
    bool affects(const link_fault_settings &fault, const link_id &id) const;
    link_conditions combined_conditions(const entry &link) const;

    const experiment &experiment_;
    const index servers_;
    std::unordered_map<std::uint64_t, entry> links_;   // by key; iterated only to collect keys for sorting
    std::vector<std::vector<std::uint64_t>> affected_; // by fault: keys of its links, in order
};

} // namespace harrierpass::testbed
