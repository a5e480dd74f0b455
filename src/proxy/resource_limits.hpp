// SPDX-License-Identifier: Apache-2.0
// How many connections fit the process's descriptors and memory.
#pragma once

#include "proxy/configuration.hpp"
#include "proxy/operations/hot_restart.hpp"

#include <cstddef>

namespace harrierpass::proxy {

// Descriptors that are no connections of clients or upstreams: standard ones, listening socket, discovery,
// health checks, spare ones.
inline constexpr std::size_t own_descriptors = 26;

// The listener's limits of clients' connections.
struct client_limits {
    std::size_t max_connections;
    std::size_t reclaim_threshold; // from here on idle ones are closed for new ones
};

// `all` descriptors without `used` ones, but at least some for connections.
[[nodiscard]] std::size_t descriptors_without(std::size_t all, std::size_t used);

// Descriptors for connections of clients and upstreams together.
[[nodiscard]] std::size_t connection_descriptors(const configuration &settings);

// By the descriptors left for connections and by memory, of which `peers`, the other processes of this proxy,
// use a part.
[[nodiscard]] client_limits client_limits_for(const configuration &settings, std::size_t descriptors,
                                              const shared_usage &peers = {});

} // namespace harrierpass::proxy
