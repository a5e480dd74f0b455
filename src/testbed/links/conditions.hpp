// SPDX-License-Identifier: Apache-2.0
// What each link between two ends is like at present, worked out from the experiment's link faults. Without
// I/O; the relays on sockets and the links in virtual time read the same table. A pair that no fault of the
// experiment names is not in it: it goes directly.
#pragma once

#include "testbed/model/experiment.hpp"
#include "testbed/model/random.hpp"

#include <functional>
#include <unordered_map>

namespace harrierpass::testbed {

// Clients are one end, number 0, and so is the list.
struct link_id {
    link_kind kind = link_kind::proxy_server;
    index near = 0, far = 0;
    bool operator==(const link_id &) const = default;
};

enum class direction : std::uint8_t { there, back }; // from the near end to the far one; from the far end

struct way_now {
    bool dropped = false;
    double delay = 0, jitter = 0;                // s more
    double pace = 0;                             // bytes a second; 0: any
    double lost = 0, doubled = 0, reordered = 0; // shares of datagrams
    bool operator==(const way_now &) const = default;
};

struct link_now {
    way_now there, back;
    bool resets = false;    // whatever comes up breaks
    bool half_open = false; // what was up when it began is dead at the far end
    // What connects needs both directions.
    bool comes_up() const { return !there.dropped && !back.dropped; }
    bool troubled() const { return !(*this == link_now{}); }
    const way_now &at(direction to) const { return to == direction::there ? there : back; }
    bool operator==(const link_now &) const = default;
};

class link_table {
public:
    // `servers`: with those that join later, and the origin.
    link_table(const experiment &given, index servers, std::uint32_t seed);

    bool names(const link_id &which) const { return links_.contains(number(which)); }
    const link_now &now(const link_id &which) const;
    // What a datagram from one proxy to another meets: either of the two may be the end that a fault names.
    way_now datagrams(index from, index to) const;
    std::vector<link_id> all() const; // that are named, in order
    std::size_t size() const { return links_.size(); }

    // One of the experiment's link faults, by its place there.
    void apply(std::size_t fault, bool begins);
    // A link's state has changed; `before` is what it was.
    std::function<void(const link_id &, const link_now &before, const link_now &now)> on_change;

private:
    struct entry {
        link_id id;
        link_now now;
        std::vector<std::size_t> active; // faults that hold, each as often as it began
    };
    std::uint64_t number(const link_id &which) const;
    bool touches(const link_fault_settings &fault, const link_id &which) const;
    link_now worked_out(const entry &of) const;

    const experiment &given_;
    const index servers_;
    std::unordered_map<std::uint64_t, entry> links_;  // never iterated but to sort
    std::vector<std::vector<std::uint64_t>> touched_; // by fault, in order
};

} // namespace harrierpass::testbed
