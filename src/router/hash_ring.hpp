// SPDX-License-Identifier: Apache-2.0
// Consistent hashing with virtual nodes (Karger et al. 1997; weights as in libketama): each endpoint has a
// number of points on a ring of 64-bit hashes in proportion to its weight, and a key belongs to the endpoints
// whose points precede its position.
#pragma once

#include "router/types.hpp"

#include <span>
#include <string_view>
#include <vector>

namespace harrierpass {

/// A virtual node on the ring.
struct ring_point {
    std::uint64_t position;
    endpoint_index endpoint;
    std::uint32_t virtual_node; ///< Number of the node among those of its endpoint, from 0.

    /// By position; equal positions by endpoint.
    bool operator<(const ring_point &that) const {
        return position != that.position ? position < that.position : endpoint < that.endpoint;
    }
};

/// An endpoint as the ring should have it.
struct ring_member {
    std::string_view id;
    std::uint32_t virtual_nodes = 0; ///< 0: not on the ring.
};

/// Number of virtual nodes of an endpoint with this relative weight.
std::uint32_t virtual_nodes_for_weight(double weight);

/// Position of a key's replica; replica 0 is the key itself.
std::uint64_t key_position(std::uint64_t key, std::uint32_t replica);

/// The ring of one router, which owns it.
///
/// Invariants: the points are sorted; after update() each member has its virtual nodes 0 to n - 1 on the
/// ring. Equal members give equal rings in every process.
class hash_ring {
public:
    /// Changes the ring to these members, which are indexed by endpoint. Points that remain are neither
    /// hashed nor sorted again.
    void update(std::span<const ring_member> members);

    /// The index stands for another endpoint from now on: the next update() places all its points.
    void reset(endpoint_index endpoint);

    /// Visits the points once around, against the order of positions, from the last one that is not after
    /// `position`; ends when `visit` returns false.
    template <typename Visitor> void visit_preceding(std::uint64_t position, Visitor visit) const {
        std::size_t at = first_after(position);
        for (std::size_t visited = 0; visited < points_.size(); ++visited) {
            at = (at == 0 ? points_.size() : at) - 1;
            if (!visit(points_[at]))
                return;
        }
    }

private:
    /// Number of the first point after the position.
    std::size_t first_after(std::uint64_t position) const;

    std::vector<ring_point> points_;
    std::vector<std::uint32_t> placed_; // virtual nodes on the ring, by endpoint
};

} // namespace harrierpass
