// SPDX-License-Identifier: Apache-2.0
// Writes all responses to clients. This header includes only small headers, so that any code that owns a
// client's socket can use write_fallback_response().
#pragma once

#include "base/counters.hpp"
#include "proxy/client/close_reason.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace harrierpass {
class http_reader;
class tcp_socket;
struct forwarded_response;
} // namespace harrierpass

namespace harrierpass::proxy {

struct active_request;
struct relay_waits;
enum class framing : std::uint8_t;
enum class relay_result : std::uint8_t;

inline constexpr double response_write_limit = 5; // s for a client to accept a complete, buffered response

// Constant responses that need no allocation, for requests that end by a failure of the proxy itself.
enum class fallback_response : std::uint8_t {
    unavailable, // 503 with "Retry-After: 1": nothing was forwarded, so a retry is safe
    bad_gateway  // 502: the request may have been executed
};

// Writes a constant response with "Connection: close", and repeats short writes for up to `timeout` seconds.
// Does not allocate. Returns whether the whole response was written.
bool write_fallback_response(const tcp_socket &client, fallback_response response, double timeout);

// How the forwarding of a streamed response ended.
enum class forward_result : std::uint8_t {
    complete,
    refused,          // nothing was written: a second response would have violated an invariant
    client_left,      // the client stopped reading the response
    stopped,          // the planned stop left no time for the rest
    upstream_stalled, // the endpoint stopped sending
    upstream_reset    // the connection to the endpoint broke
};

// Writes the response to one request. Each request gets at most one response; its result is counted before
// the response is written, so that a client that has the response finds it counted.
class response_writer {
public:
    // `request` must outlive the writer.
    explicit response_writer(active_request &request) : request_(request) {}

    // Writes a response that is not the result of a request, such as the response to a health check.
    close_decision respond(int status, std::string_view fields, std::string_view body);

    // Writes the endpoint's complete response as the result of the request.
    close_decision succeed(const http_reader &response);
    // Writes a 503 response: nothing was executed, and a retry after `retry_after` seconds is safe.
    close_decision reject(counter rejection_counter, double retry_after);
    // Writes a response with `status` for a request that may have been executed.
    close_decision fail(int status);
    // Fails a request that may have been executed; rejects any other with the longest Retry-After.
    close_decision reject_or_fail(bool possibly_executed, int failure_status);

    // Responds to bytes that cannot be parsed as a request, and closes the connection.
    void refuse_unreadable(int status, std::string_view fields);
    // Responds to a message that can be parsed but is not a valid request. Keeps the connection unless it has
    // had too many of them.
    close_decision refuse_malformed(int status, std::string_view fields, std::string_view explanation);

    // Forwards a streamed response as it arrives. `response` holds its head and the first bytes of its body.
    forward_result forward(const tcp_socket &upstream, http_reader &response);
    // Whether the connection is kept after a streamed response was forwarded completely.
    close_decision decide_after_forwarding();

    // After a failure of the proxy: writes the outstanding response, if any, without allocating. Returns
    // whether a response was written.
    bool respond_to_internal_error();

private:
    // Writes a response with this framing field, unless that would violate an invariant.
    close_decision respond_with_framing(int status, std::string_view fields, std::string_view framing_field,
                                        std::string_view body);
    // Sets how the connection closes after a written response.
    close_reason close_after_response();
    // The head of a streamed response.
    std::string streamed_head(const http_reader &response, framing body_framing) const;
    // The progress of a streamed response.
    forwarded_response progress_of(const http_reader &response, const relay_waits &waits) const;
    // Translates the result of the relay and updates the request and the connection.
    forward_result finish_forwarding(relay_result relayed, framing body_framing);

    active_request &request_;
};

} // namespace harrierpass::proxy
