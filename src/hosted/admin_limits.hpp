// SPDX-License-Identifier: Apache-2.0
// What a caller of the administration listener may take of time and memory.
#pragma once

#include <cstddef>

namespace harrierpass::hosted {

// Each limit holds for one connection, but for `connections`.
struct admin_limits {
    std::size_t connections = 32;         // served at once; more wait to be accepted
    std::size_t body = 8UL * 1024 * 1024; // bytes; some 10,000 tenants
    double handshake = 5;                 // s for a handshake
    double request = 10;                  // s from a request's first byte to its last
    double idle = 30;                     // s without a request
    double response_write = 10;           // s for a caller to take an answer
};

} // namespace harrierpass::hosted
