// SPDX-License-Identifier: Apache-2.0
// The present conditions of each link between two ends, combined from the experiment's link faults. Without
// I/O; the relays on sockets and the links in virtual time read the same table. A pair that no fault of the
// experiment names is not in it: it is connected directly.
#pragma once

#include "testbed/model/experiment.hpp"
#include "testbed/model/random.hpp"

#include <functional>
#include <unordered_map>

namespace harrierpass::testbed {

// The two ends of a link, by number. All clients are one end, number 0, and so is the list service.
struct link_id {
    link_kind kind = link_kind::proxy_server;
    index near = 0, far = 0;
    bool operator==(const link_id &) const = default;
};

enum class direction : std::uint8_t {
    forward,  // from the near end, which connects, to the far one
    backward, // from the far end
};

// What one direction of a link does to what is sent over it.
struct direction_conditions {
    bool dropped = false;         // nothing gets through; connections queue it
    double delay = 0, jitter = 0; // s, on top of the usual latency
    double bytes_per_second = 0;  // 0: no limit
    double loss_share = 0, duplicate_share = 0, reorder_share = 0; // shares of datagrams
    bool operator==(const direction_conditions &) const = default;
};

// What both directions of a link do, and what it does to connections.
struct link_conditions {
    direction_conditions forward, backward;
    bool resets = false;    // connections break, new ones as well
    bool half_open = false; // connections from before it are dead at the far end, unknown to the near one
    // A new connection needs both directions.
    bool can_connect() const { return !forward.dropped && !backward.dropped; }
    // Whether any fault is in force.
    bool impaired() const { return !(*this == link_conditions{}); }
    const direction_conditions &at(direction to) const {
        return to == direction::forward ? forward : backward;
    }
    bool operator==(const link_conditions &) const = default;
};

// The conditions of all links that an experiment names. Owned by the run; `given` outlives it.
class link_table {
public:
    // `servers`: their number, with those that join later and the origin. `seed`: of the choice of links
    // where a fault concerns a share of them.
    link_table(const experiment &given, index servers, std::uint32_t seed);

    bool contains(const link_id &which) const { return links_.contains(number(which)); }
    // Those of a link that is not in the table are without impairment.
    const link_conditions &conditions(const link_id &which) const;
    // What a datagram from one proxy to another meets: either of the two may be the end that a fault names.
    direction_conditions datagram_conditions(index from, index to) const;
    std::vector<link_id> all() const; // in the order of kind, near end, far end
    std::size_t size() const { return links_.size(); }

    // One of the experiment's link faults, by its place there, begins or ends.
    void apply(std::size_t fault, bool begins);
    // Called when the conditions of a link have changed.
    std::function<void(const link_id &, const link_conditions &before, const link_conditions &now)> on_change;

private:
    // A link and the faults in force on it.
    struct entry {
        link_id id;
        link_conditions now;
        std::vector<std::size_t> active; // faults that hold, each as often as it began
    };
    std::uint64_t number(const link_id &which) const;
    bool affects(const link_fault_settings &fault, const link_id &which) const;
    link_conditions combined_conditions(const entry &of) const;

    const experiment &experiment_;
    const index servers_;
    std::unordered_map<std::uint64_t, entry> links_;   // never iterated but to sort
    std::vector<std::vector<std::uint64_t>> affected_; // by fault, in order
};

} // namespace harrierpass::testbed
