// SPDX-License-Identifier: Apache-2.0
// Writing responses to clients: the one place that does. This header needs no heavy one, so that whatever
// holds a client's socket can use write_fallback_response().
#pragma once

#include "base/counters.hpp"
#include "proxy/client/close_reason.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace harrierpass {
class http_reader;
class tcp_socket;
} // namespace harrierpass

namespace harrierpass::proxy {

struct active_request;
enum class framing : std::uint8_t;
enum class relay_result : std::uint8_t;

inline constexpr double response_write_limit = 5; // s for a client to take a response that was held whole

// The responses that need no memory, for a request which a failure of the proxy itself ends.
enum class fallback_response : std::uint8_t {
    unavailable, // 503 with "Retry-After: 1": nothing was forwarded, so that a retry is harmless
    bad_gateway  // 502: the request may have been executed
};

// Writes the whole constant text, which closes the connection, and repeats short writes for up to `limit`
// seconds. Allocates nothing. False: the client has not taken all of it.
bool write_fallback_response(const tcp_socket &client, fallback_response which, double limit);

// How the forwarding of a streamed response ended.
enum class forward_result : std::uint8_t {
    complete,
    refused,          // nothing was written: a second response would have broken an invariant
    client_left,      // the client stopped taking it
    stopped,          // the planned stop left no time for the rest
    upstream_stalled, // the endpoint stopped sending
    upstream_reset    // the endpoint's connection broke
};

// Writes the response of one request. Each request gets one response at most; its result is counted before
// the response is written, so that whoever has the response finds it counted.
class response_writer {
public:
    // `request` has to outlive it.
    explicit response_writer(active_request &request) : request_(request) {}

    // A response that is no request's result, as for a health check.
    close_decision respond(int status, std::string_view fields, std::string_view body);

    // The endpoint's complete response, as the request's result.
    close_decision succeed(const http_reader &response);
    // 503: nothing was executed, and a retry after `retry_after` seconds is harmless.
    close_decision reject(counter counted_as, double retry_after);
    // `status`: the request may have been executed.
    close_decision fail(int status);
    // A rejection with the longest Retry-After, or a failure where the request may have been executed.
    close_decision reject_or_fail(bool possibly_executed, int failure_status);

    // For bytes that are no request: the connection ends.
    void refuse_unreadable(int status, std::string_view fields);
    // For a message that can be read and is no request: the connection may go on, if there are few of them.
    close_decision refuse_malformed(int status, std::string_view fields, std::string_view explanation);

    // Forwards a streamed response, of which `response` has the head and the beginning, as it comes.
    forward_result forward(const tcp_socket &upstream, http_reader &response);
    // What becomes of the connection after a streamed response was forwarded whole.
    close_decision decide_after_forwarding();

    // After a failure of the proxy: the response that is still owed, if any, without allocating. Whether one
    // was written.
    bool respond_to_internal_error();

private:
    // Writes a response with this framing field, unless that would break an invariant.
    close_decision respond_with_framing(int status, std::string_view fields, std::string_view framing_field,
                                        std::string_view body);
    // Sets how the connection closes after a response that was written.
    close_reason close_after_response();
    // The head of a response that is forwarded as it comes.
    std::string streamed_head(const http_reader &response, framing body_framing) const;
    // What the end of the relay means for request and connection.
    forward_result finish_forwarding(relay_result relayed, framing body_framing);

    active_request &request_;
};

} // namespace harrierpass::proxy
