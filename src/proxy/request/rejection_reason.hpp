// SPDX-License-Identifier: Apache-2.0
// The reasons for which the proxy ends a request without the response of an endpoint.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace harrierpass::proxy {

// In the order of rejection_reason_texts.
enum class rejection_reason : std::uint8_t {
    rejected_by_router,
    failed_by_router,
    stopping,    // a planned stop leaves no time for the request
    out_of_time, // the request's deadline passed
    too_many_connections,
    id_in_use,   // another active request has the same X-Request-Id
    id_executed, // a request with the same X-Request-Id may have been executed, and its client has left
    out_of_memory,
    internal_error,
    invariant // a step was refused because it would have violated an invariant
};

// Values of the log field `refused-for`, by rejection_reason; the operators' documentation lists them.
inline constexpr std::array<const char *, 10> rejection_reason_texts = {
    "router_rejected", "router_aborted", "stopping",  "out_of_time", "too_many_connections",
    "id_in_use",       "id_executed",    "no_memory", "failed",      "invariant"};

// Returns the value in the log.
constexpr const char *log_text(rejection_reason reason) {
    return rejection_reason_texts[static_cast<std::size_t>(reason)];
}

} // namespace harrierpass::proxy
