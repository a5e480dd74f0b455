// SPDX-License-Identifier: Apache-2.0
// Consistent hashing with virtual nodes (Karger et al. 1997; weights as in libketama): each endpoint has
// points on a ring of 64-bit hashes, as many as its weight requires. A key belongs to the endpoints whose
// points precede the key's position.
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
    std::uint32_t virtual_node; ///< Number of the virtual node within its endpoint, from 0.

    /// Orders by position, and by endpoint at equal positions.
    bool operator<(const ring_point &other) const {
        return position != other.position ? position < other.position : endpoint < other.endpoint;
    }
};

/// Number of points that an endpoint should have on the ring.
struct ring_member {
    std::string_view id;
    std::uint32_t virtual_nodes = 0; ///< 0: not on the ring.
};

/// Returns the number of virtual nodes for a relative weight.
std::uint32_t virtual_nodes_for_weight(double weight);

/// Returns the ring position of a replica of a key; replica 0 is the key itself.
std::uint64_t key_position(std::uint64_t key, std::uint32_t replica);

/// Hash ring, owned by one router.
///
/// Invariants: the points are sorted; after update() each member has virtual nodes 0 to n - 1 on the ring.
/// Equal members give equal rings in every process.
class hash_ring {
public:
    /// Sets the members of the ring, indexed by endpoint. Points that remain are neither hashed nor sorted
    /// again.
    void update(std::span<const ring_member> members);

    /// Prepares the index for another endpoint: the next update() places all points of this index.
    void reset(endpoint_index endpoint);

    /// Visits each point once in descending order around the ring, starting at the last point that is not
    /// after `position`. Stops when `visit` returns false.
    template <typename Visitor> void visit_preceding(std::uint64_t position, Visitor visit) const {
        std::size_t point = first_point_after(position);
        for (std::size_t visits = 0; visits < points_.size(); ++visits) {
            point = (point == 0 ? points_.size() : point) - 1;
            if (!visit(points_[point]))
                return;
        }
    }

private:
    /// Returns the index in points_ of the first point after a position.
    std::size_t first_point_after(std::uint64_t position) const;

    std::vector<ring_point> points_;
    std::vector<std::uint32_t> node_counts_; // virtual nodes on the ring, by endpoint
};

} // namespace harrierpass
