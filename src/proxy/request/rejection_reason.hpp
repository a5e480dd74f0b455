// SPDX-License-Identifier: Apache-2.0
// Why the proxy itself ended a request without a response of an endpoint.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace harrierpass::proxy {

// In the order of the texts below.
enum class rejection_reason : std::uint8_t {
    rejected_by_router,
    failed_by_router,
    stopping,    // the planned stop leaves no time for it
    out_of_time, // its deadline passed
    too_many_connections,
    id_in_use, // another open request has the same X-Request-Id
    out_of_memory,
    internal_error,
    invariant // a step was refused that would have broken an invariant
};

// The texts of the log's field `refused-for`, by rejection_reason; operators' pages name them.
inline constexpr std::array<const char *, 9> rejection_reason_texts = {
    "router_rejected", "router_aborted", "stopping", "out_of_time", "too_many_connections",
    "id_in_use",       "no_memory",      "failed",   "invariant"};

// The text in the log.
constexpr const char *log_text(rejection_reason reason) {
    return rejection_reason_texts[static_cast<std::size_t>(reason)];
}

} // namespace harrierpass::proxy
