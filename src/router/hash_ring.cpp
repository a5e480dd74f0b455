// SPDX-License-Identifier: Apache-2.0
#include "router/hash_ring.hpp"

#include "router/router.hpp"

#include <algorithm>
#include <cmath>
#include <string>
#include <xxhash.h>

namespace harrierpass {
namespace {

constexpr double nodes_per_weight = 160; // virtual nodes per unit of weight; load imbalance of about 8%
constexpr double max_nodes = 2560;       // virtual nodes per endpoint; limits the memory of the ring

} // namespace

std::uint64_t ring_hash(std::string_view text) {
    return XXH64(text.data(), text.size(), 0);
}

std::uint32_t virtual_nodes_for_weight(double weight) {
    return static_cast<std::uint32_t>(std::clamp(std::round(weight * nodes_per_weight), 1.0, max_nodes));
}

std::uint64_t key_position(std::uint64_t key, std::uint32_t replica) {
    std::string text = std::to_string(key);
    if (replica > 0)
        text.append("/").append(std::to_string(replica));
    return ring_hash(text);
}

void hash_ring::update(std::span<const ring_member> members) {
    if (node_counts_.size() < members.size())
        node_counts_.resize(members.size());
    std::erase_if(points_, [&](const ring_point &point) {
        return point.virtual_node >= members[point.endpoint.value()].virtual_nodes;
    });
    const auto old_points = static_cast<std::ptrdiff_t>(points_.size());
    for (index position = 0; position < members.size(); ++position) {
        const auto &member = members[position];
        for (std::uint32_t node = node_counts_[position]; node < member.virtual_nodes; ++node) {
            std::string name(member.id);
            name.append(":").append(std::to_string(node));
            points_.push_back({ring_hash(name), endpoint_index(position), node});
        }
        node_counts_[position] = member.virtual_nodes;
    }
    std::sort(points_.begin() + old_points, points_.end());
    std::inplace_merge(points_.begin(), points_.begin() + old_points, points_.end());
}

void hash_ring::reset(endpoint_index endpoint) {
    if (endpoint.value() < node_counts_.size())
        node_counts_[endpoint.value()] = 0;
}

std::size_t hash_ring::first_point_after(std::uint64_t position) const {
    const auto found =
        std::upper_bound(points_.begin(), points_.end(), position,
                         [](std::uint64_t key, const ring_point &point) { return key < point.position; });
    return static_cast<std::size_t>(found - points_.begin());
}

} // namespace harrierpass
