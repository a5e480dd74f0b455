// SPDX-License-Identifier: Apache-2.0
// Writing responses to clients. This header needs no other module, so that whatever holds a client's socket
// can use it.
#pragma once

#include <cstdint>

namespace harrierpass {
class tcp_socket;
}

namespace harrierpass::proxy {

// The responses that need no memory, for a request which a failure of the proxy itself ends.
enum class fallback_response : std::uint8_t {
    unavailable, // 503 with "Retry-After: 1": nothing was forwarded, so that a retry is harmless
    bad_gateway  // 502: the request may have been executed
};

// Writes the whole constant text, which closes the connection, and repeats short writes for up to `limit`
// seconds. Allocates nothing. False: the client has not taken all of it.
bool write_fallback_response(const tcp_socket &client, fallback_response which, double limit);

} // namespace harrierpass::proxy
