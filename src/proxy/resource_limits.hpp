// SPDX-License-Identifier: Apache-2.0
// Computes how many connections the descriptor and memory limits of the process allow.
#pragma once

#include "proxy/configuration.hpp"
#include "proxy/operations/hot_restart.hpp"

#include <cstddef>

namespace harrierpass::proxy {

// Descriptors that are not used for client or upstream connections: standard streams, listening socket,
// discovery, health checks, spare descriptors.
inline constexpr std::size_t base_descriptors = 26;

// The listener's limits on client connections.
struct client_limits {
    std::size_t max_connections;
    std::size_t reclaim_threshold; // connections from which on an idle one is closed for each new one
};

// `total` minus `used`, but at least a minimum for connections.
[[nodiscard]] std::size_t remaining_descriptors(std::size_t total, std::size_t used);

// The number of descriptors for client and upstream connections together.
[[nodiscard]] std::size_t connection_descriptors(const configuration &settings);

// Computes the limits from the descriptors that remain for connections and from the memory limit. `peers`:
// the usage of the other processes of this proxy, which share the memory limit.
[[nodiscard]] client_limits client_limits_for(const configuration &settings, std::size_t descriptors,
                                              const shared_usage &peers = {});

} // namespace harrierpass::proxy
