// SPDX-License-Identifier: Apache-2.0
#include "proxy/client/response_writer.hpp"

#include "net/sockets.hpp"
#include "proxy/client/body_relay.hpp"
#include "proxy/request/active_request.hpp"
#include "proxy/request/protocol.hpp"
#include "router/response_stall.hpp"

#include <sys/socket.h>

namespace harrierpass::proxy {
namespace {

using std::string_view;

constexpr string_view unavailable_text =
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
constexpr string_view bad_gateway_text =
    "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

// Applied after the last response of a connection: 0.2 s and 512 KiB, as reading more would cost too much.
constexpr lingering_close last_response_linger = {0.2, 512UL * 1024};
constexpr double source_pause_limit = 15; // s without data from an endpoint in a streamed response
// Malformed requests after which a connection is closed, as its client keeps repeating them.
constexpr index max_malformed_requests = 16;
// s before the connection is read again; limits the load from a client that repeats malformed requests.
constexpr double malformed_request_pause = 0.005;

framing framing_of(const http_reader &response, int client_http_minor) {
    if (response.content_length())
        return framing::counted;
    return client_http_minor == 0 ? framing::by_close : framing::chunked;
}

// Makes the connection close with a reset, so that the client cannot mistake a truncated body for a complete
// one.
void reset_on_close(const tcp_socket &client) {
    const struct ::linger reset { 1, 0 };
    setsockopt(client.get(), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
}

} // namespace

bool write_fallback_response(const tcp_socket &client, fallback_response response, double timeout) {
    const bool unavailable = response == fallback_response::unavailable;
    return write_all(client, unavailable ? unavailable_text : bad_gateway_text, {}, timeout);
}

close_decision response_writer::respond(int status, string_view fields, string_view body) {
    return respond_with_framing(status, fields, content_length_header(body.size()), body);
}

close_decision response_writer::succeed(const http_reader &response) {
    request_.context.counts.add(counter::completed);
    const std::string fields = forwarded_headers(response.head());
    request_.count_result(request_result::succeeded);
    if (!request_.head_only)
        return respond(200, fields, response.body());
    const auto length = response.content_length();
    return respond_with_framing(200, fields, length ? content_length_header(*length) : "", {});
}

close_decision response_writer::reject(counter rejection_counter, double retry_after) {
    request_.context.counts.add(rejection_counter);
    const std::string fields = retry_after_header(retry_after);
    request_.count_result(request_result::rejected);
    return respond(503, fields, {});
}

close_decision response_writer::fail(int status) {
    request_.context.counts.add(counter::aborted);
    request_.count_result(request_result::failed);
    return respond(status, {}, {});
}

close_decision response_writer::reject_or_fail(bool possibly_executed, int failure_status) {
    if (possibly_executed)
        return fail(failure_status);
    return reject(counter::rejected, request_.max_retry_after());
}

void response_writer::refuse_unreadable(int status, string_view fields) {
    request_.context.counts.add(counter::bad_requests);
    request_.keep_connection = false;
    respond(status, fields, {});
}

close_decision response_writer::refuse_malformed(int status, string_view fields, string_view explanation) {
    request_.context.counts.add(counter::bad_requests);
    request_.keep_connection =
        request_.keep_connection && ++request_.client.malformed_requests < max_malformed_requests;
    const close_decision decision = respond(status, fields, explanation);
    if (!decision)
        wait_on({}, malformed_request_pause);
    return decision;
}

bool response_writer::respond_to_internal_error() {
    if (!request_.guard.owes_response() || !request_.guard.may_respond())
        return false;
    const bool retry_is_safe = !request_.guard.possibly_executed() && request_.attempts == 0;
    request_.context.counts.add(retry_is_safe ? counter::rejected : counter::aborted);
    request_.response_status = retry_is_safe ? 503 : 502;
    write_fallback_response(request_.client.socket,
                            retry_is_safe ? fallback_response::unavailable : fallback_response::bad_gateway,
                            response_write_limit);
    request_.client.lingering = last_response_linger;
    return true;
}

close_decision response_writer::respond_with_framing(int status, string_view fields,
                                                     string_view framing_field, string_view body) {
    request_.keep_connection = request_.may_keep_connection();
    if (!request_.guard.may_respond())
        return close_reason::response_not_delivered;
    request_.response_status = status;
    request_.id_lease = {}; // the client may reuse the id as soon as it has the response
    const std::string head = response_head(status, fields, framing_field, request_.keep_connection);
    if (!write_all(request_.client.socket, head, request_.head_only ? string_view{} : body,
                   response_write_limit)) {
        request_.context.counts.add(counter::truncated_responses);
        return close_reason::response_not_delivered;
    }
    if (request_.keep_connection)
        return std::nullopt;
    return close_after_response();
}

// If the connection closes to free capacity, only bytes that were already received are read from it.
close_reason response_writer::close_after_response() {
    client_connection &client = request_.client;
    const bool frees_capacity = client.closes_after_response || client.over_capacity;
    client.lingering = {frees_capacity ? 0 : last_response_linger.limit, last_response_linger.max_bytes};
    return close_reason::closed_after_response;
}

forward_result response_writer::forward(const tcp_socket &upstream, http_reader &response) {
    auto &routing = request_.context.routing;
    routing.response_started(request_.handle, is_cache_miss(response.head()));
    const framing body_framing = framing_of(response, request_.client_http_minor);
    request_.keep_connection = request_.may_keep_connection() && body_framing != framing::by_close;
    if (!request_.guard.may_respond())
        return forward_result::refused;
    request_.response_status = 200;
    if (!write_all(request_.client.socket, streamed_head(response, body_framing), {}, sink_pause_limit))
        return finish_forwarding(relay_result::sink_broken, body_framing);
    const relay_limits limits = {.source_timeout = source_pause_limit, .sink_timeout = sink_pause_limit};
    const relay_callbacks callbacks = {
        .now = [&] { return routing.now(); },
        .deadline = [&] { return request_.stop_deadline(); },
        .is_cancelled = [] { return false; },
        .source_time_left =
            [&](const relay_waits &waits) { return remaining_silence(progress_of(response, waits)); }};
    const auto relayed =
        relay_body(response, upstream, request_.client.socket, body_framing, limits, callbacks);
    return finish_forwarding(relayed, body_framing);
}

forwarded_response response_writer::progress_of(const http_reader &response, const relay_waits &waits) const {
    const double now = request_.context.routing.now();
    return {.is_long = response.announced_body_bytes() > max_body_size,
            .received = response.received_body_bytes(),
            .waited = waits.for_source,
            .silent_for = waits.silent_for,
            .past_deadline = now - request_.deadline - waits.for_sink};
}

std::string response_writer::streamed_head(const http_reader &response, framing body_framing) const {
    std::string framing_field;
    if (body_framing == framing::counted)
        framing_field = content_length_header(*response.content_length());
    else if (body_framing == framing::chunked)
        framing_field = chunked_header;
    return response_head(200, forwarded_headers(response.head()), framing_field, request_.keep_connection);
}

forward_result response_writer::finish_forwarding(relay_result relayed, framing body_framing) {
    if (relayed == relay_result::complete) {
        request_.id_lease = {};
        return forward_result::complete;
    }
    request_.keep_connection = false;
    const bool client_failed = relayed == relay_result::sink_broken || relayed == relay_result::sink_stalled;
    if (body_framing == framing::by_close && !client_failed)
        reset_on_close(request_.client.socket);
    if (client_failed) {
        request_.context.counts.add(counter::truncated_responses);
        request_.client.socket.close();
        return forward_result::client_left;
    }
    if (relayed == relay_result::deadline_passed)
        return forward_result::stopped;
    return relayed == relay_result::source_slow ? forward_result::upstream_stalled
                                                : forward_result::upstream_reset;
}

close_decision response_writer::decide_after_forwarding() {
    if (request_.client_has_left())
        return close_reason::response_not_delivered;
    if (request_.keep_connection)
        return std::nullopt;
    return close_after_response();
}

} // namespace harrierpass::proxy
