// SPDX-License-Identifier: Apache-2.0
#include "proxy/request/body_upload.hpp"

#include "router/response_stall.hpp"

namespace harrierpass::proxy {
namespace {

// Whether more of the body is missing than the buffers of both sockets hold.
bool exceeds_socket_buffers(const http_reader &message, const tcp_socket &client) {
    const auto length = message.content_length();
    if (!length || *length < max_client_send_buffer)
        return false;
    const std::size_t missing = *length - message.released_bytes() - message.body().size();
    const auto receive_buffer = receive_buffer_size(client);
    return receive_buffer && missing > *receive_buffer + max_client_send_buffer;
}

bool has_unread_bytes(const tcp_socket &connection) {
    return peek(connection) != peek_result::empty;
}

} // namespace

void extend_deadline_if_incomplete(active_request &request, const http_reader &message) {
    if (message.is_complete() || request.client_has_left())
        return;
    const double now = request.context.routing.now();
    if (exceeds_socket_buffers(message, request.client.socket) || !has_unread_bytes(request.client.socket))
        request.extend_deadline(now);
}

attempt_result body_upload::run(const tcp_socket &upstream) {
    auto &routing = request_.context.routing;
    const framing body_framing = message_.content_length() ? framing::counted : framing::chunked;
    const relay_limits limits = {.source_timeout = body_timeout,
                                 .source_rate = min_body_rate,
                                 .sink_timeout = sink_pause_limit,
                                 .sink_stall_limit =
                                     response_stall_limit(request_.class_settings().latency_objective),
                                 .carries_request = true};
    const relay_callbacks callbacks = {.now = [&] { return routing.now(); },
                                       .deadline = [this] { return request_.effective_deadline(); },
                                       .is_cancelled = [this] { return is_cancelled(); }};
    return result_of(relay_body(message_, request_.client.socket, upstream, body_framing, limits, callbacks));
}

attempt_result body_upload::result_of(relay_result relayed) {
    switch (relayed) {
    case relay_result::complete:
        on_complete();
        return {outcome::timed_out, upstream_close_reason::timed_out};
    case relay_result::sink_responded: // usually a rejection before the end of the body
        return {outcome::timed_out, upstream_close_reason::timed_out};
    case relay_result::sink_broken:
    case relay_result::sink_stalled:
        return {outcome::connect_error, upstream_close_reason::write_failed};
    case relay_result::deadline_passed:
        return {outcome::discarded_unread, upstream_close_reason::out_of_time};
    case relay_result::cancelled:
        return {outcome::canceled, upstream_close_reason::canceled, request_ended_};
    case relay_result::source_disconnected:
        request_.on_client_left();
        return {outcome::discarded_unread, upstream_close_reason::client_left};
    case relay_result::source_truncated:
    case relay_result::source_slow:
    case relay_result::source_malformed:
        break;
    }
    return {outcome::discarded_unread, upstream_close_reason::client_body_failed};
}

bool body_upload::is_cancelled() {
    auto &routing = request_.context.routing;
    extend_deadline_if_incomplete(request_, message_);
    const routing_decision decision = routing.next_decision(request_.handle);
    request_ended_ = decision.type != decision_type::attempt_running;
    return decision.cancel || request_ended_ || routing.now() >= request_.stop_deadline();
}

void body_upload::on_complete() {
    request_.context.metrics.attempt_sent();
    request_.body_forwarded = true;
    request_.count_as_active();
    request_.context.routing.request_body_sent(request_.handle, request_.effective_deadline());
}

} // namespace harrierpass::proxy
