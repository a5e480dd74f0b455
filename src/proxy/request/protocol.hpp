// SPDX-License-Identifier: Apache-2.0
// The platform's protocol as messages: what a client's request asks, how it goes on to a server, what a
// server's answer means, and the head of our own. No sockets and no state.
#pragma once

#include "net/http.hpp"
#include "proxy/configuration.hpp"

namespace harrierpass::proxy {

// A request as the router wants it; its index and its end are the caller's to set.
struct parsed_request {
    request_info info;
    double client_timeout = 0;   // s that its client waits, and no more than we do
    const char *fault = nullptr; // a line for the client where it is no query
};
parsed_request parse_request(const http_head &asked, const configuration &given);

// The query as it goes to a server: the protocol's fields unchanged, those of the hop written anew. `left`: s
// that we will wait. Not whole: its body is long and comes as its client framed it.
std::string forwarded_request(const http_reader &asked, double left, bool whole = true);

// What a server's whole answer says of its execution. `aside`: servers do not fetch what they lack but say
// so, and the router turns to the origin.
outcome outcome_of(const http_head &answer, bool aside);
bool is_cache_miss(const http_head &answer); // the server had to ask the origin first

// Fields of a server's answer that go on to the client.
std::string forwarded_headers(const http_head &answer);
// "Retry-After" where there is something to say; empty: nothing.
std::string retry_after_header(double seconds);
// How the end of a body is told: its length, or that it comes in chunks.
std::string content_length_header(std::size_t size);
inline constexpr std::string_view chunked_header = "Transfer-Encoding: chunked\r\n";
// The head of an answer of ours, with the fields given, the one of its framing among them.
std::string response_head(int status, std::string_view fields, std::string_view framing, bool keeps);
std::string answer_head(int status, std::string_view fields, std::size_t size, bool keeps);

} // namespace harrierpass::proxy
