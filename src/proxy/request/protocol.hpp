// SPDX-License-Identifier: Apache-2.0
// The platform's protocol in terms of messages: parses a client's request, builds the request for an
// endpoint, classifies an endpoint's response, and builds the head of the proxy's own responses. Has no
// sockets and no state; durations are in seconds.
#pragma once

#include "net/http.hpp"
#include "proxy/configuration.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace harrierpass::proxy {

// A request in the router's terms. The caller sets its deadline.
struct parsed_request {
    request_info info;
    double client_timeout = 0;   // seconds that the client waits, bounded
    const char *fault = nullptr; // a line for the client if the request is malformed, else null
};
// Parses a client's request; `fault` is set if it violates the protocol.
parsed_request parse_request(const http_head &head, const configuration &settings);

// Returns the request for an endpoint: the protocol's fields unchanged, the hop-by-hop fields rewritten.
// `time_left`: seconds that the client still waits. Without `whole_body`, the body is streamed and keeps its
// framing.
std::string forwarded_request(const http_reader &request, double time_left, bool whole_body = true);

// Returns the outcome of an attempt from the endpoint's complete response. `proxies_fetch`: on a cache miss
// endpoints do not fetch the value but report the miss, and the router sends the request to the origin.
outcome outcome_of(const http_head &response, bool proxies_fetch);
// Returns whether the endpoint did not have the value in its cache.
bool is_cache_miss(const http_head &response);

// Returns the header fields of an endpoint's response that are forwarded to the client.
std::string forwarded_headers(const http_head &response);
// Returns the field "Retry-After"; empty unless `seconds` is positive.
std::string retry_after_header(double seconds);
// The fields that frame a body: by its length or in chunks.
std::string content_length_header(std::size_t size);
inline constexpr std::string_view chunked_header = "Transfer-Encoding: chunked\r\n";
// Returns the head of a response of the proxy itself. `fields` and `framing_field` are complete lines;
// without `keep_connection` the head announces that the connection closes.
std::string response_head(int status, std::string_view fields, std::string_view framing_field,
                          bool keep_connection);

} // namespace harrierpass::proxy
