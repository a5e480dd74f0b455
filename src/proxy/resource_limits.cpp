// SPDX-License-Identifier: Apache-2.0
#include "proxy/resource_limits.hpp"

#include "proxy/operations/control_server.hpp"

#include <algorithm>
#include <sys/resource.h>

namespace harrierpass::proxy {
namespace {

constexpr std::size_t min_connection_descriptors = 8; // granted even if fewer descriptors are left
constexpr std::size_t control_descriptors = 1 + control_server::max_connections;
constexpr std::size_t rejected_client_descriptors = 32; // connections that the listener accepts to reject
// Share of the connections that clients may have; a queued request has a client connection but no upstream
// connection.
constexpr double max_client_share = 0.6;
// Share of all descriptors from which on idle connections are reclaimed; clients may hold a third of them.
constexpr double reclaim_share = 0.3;
constexpr double base_memory_mb = 8;     // code, router, endpoint list, log
constexpr double client_memory_mb = 0.2; // two buffers and a stack
constexpr double min_clients = 8;        // accepted even if the memory limit allows fewer

} // namespace

std::size_t remaining_descriptors(std::size_t total, std::size_t used) {
    return total > used + min_connection_descriptors ? total - used : min_connection_descriptors;
}

std::size_t connection_descriptors(const configuration &settings) {
    rlimit limit{};
    const bool limited = getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
    const std::size_t total =
        limited ? std::min<std::size_t>(settings.max_descriptors, limit.rlim_cur) : settings.max_descriptors;
    const std::size_t reserved = base_descriptors + rejected_client_descriptors +
                                 (settings.control_address.empty() ? 0 : control_descriptors);
    return remaining_descriptors(total, reserved);
}

client_limits client_limits_for(const configuration &settings, std::size_t descriptors,
                                const shared_usage &peers) {
    const double processes_mb = peers.has_peers ? 2 * base_memory_mb : base_memory_mb;
    const double by_memory =
        (settings.memory_mb - processes_mb) / client_memory_mb - static_cast<double>(peers.clients);
    const double by_descriptors = static_cast<double>(descriptors) * max_client_share;
    return {static_cast<std::size_t>(std::min(std::max(min_clients, by_memory), by_descriptors)),
            static_cast<std::size_t>(settings.max_descriptors * reclaim_share)};
}

} // namespace harrierpass::proxy
