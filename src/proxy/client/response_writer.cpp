// SPDX-License-Identifier: Apache-2.0
#include "proxy/client/response_writer.hpp"

#include "net/sockets.hpp"

#include <string_view>

namespace harrierpass::proxy {
namespace {

constexpr std::string_view unavailable_text =
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
constexpr std::string_view bad_gateway_text =
    "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

} // namespace

bool write_fallback_response(const tcp_socket &client, fallback_response which, double limit) {
    const bool unavailable = which == fallback_response::unavailable;
    return write_all(client, unavailable ? unavailable_text : bad_gateway_text, {}, limit);
}

} // namespace harrierpass::proxy
