// SPDX-License-Identifier: Apache-2.0
// The platform's protocol as messages: what a client's request asks, how it is forwarded to an endpoint, what
// an endpoint's response means, and the head of our own responses. No sockets and no state; durations are in
// seconds.
#pragma once

#include "net/http.hpp"
#include "proxy/configuration.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace harrierpass::proxy {

// A request as the router needs it, but for its deadline, which is the caller's to set.
struct parsed_request {
    request_info info;
    double client_timeout = 0;   // s that the client waits, bounded
    const char *fault = nullptr; // if not null, it is no request of the protocol: a line for the client
};
// Reads a client's request by the settings; `fault` is set where it is none.
parsed_request parse_request(const http_head &head, const configuration &settings);

// The request as an endpoint gets it: the protocol's fields unchanged, those of the hop written anew.
// `time_left`: s that the client still waits. Without `whole_body`, the body is long and keeps its framing.
std::string forwarded_request(const http_reader &request, double time_left, bool whole_body = true);

// What an endpoint's complete response says of its attempt. `proxies_fetch`: endpoints do not fetch what they
// lack but say so, and the router turns to the origin.
outcome outcome_of(const http_head &response, bool proxies_fetch);
// Whether the endpoint did not have the value in its cache.
bool is_cache_miss(const http_head &response);

// The header fields of an endpoint's response that are forwarded to the client.
std::string forwarded_headers(const http_head &response);
// The field "Retry-After"; empty where `seconds` is not positive.
std::string retry_after_header(double seconds);
// The fields that tell the end of a body: its length, or that it comes in chunks.
std::string content_length_header(std::size_t size);
inline constexpr std::string_view chunked_header = "Transfer-Encoding: chunked\r\n";
// The head of a response of ours. `fields` and `framing_field` are whole lines; without `keep_connection` it
// says that the connection closes.
std::string response_head(int status, std::string_view fields, std::string_view framing_field,
                          bool keep_connection);

} // namespace harrierpass::proxy
