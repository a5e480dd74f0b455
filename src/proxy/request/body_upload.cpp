// SPDX-License-Identifier: Apache-2.0
#include "proxy/request/body_upload.hpp"

#include "proxy/client/body_relay.hpp"

#include <algorithm>

namespace harrierpass::proxy {

attempt_result body_upload::run(const tcp_socket &upstream, http_reader &message) {
    auto &routing = request_.context.routing;
    const framing body_framing = message.content_length() ? framing::counted : framing::chunked;
    const relay_limits limits = {.source_timeout = body_timeout,
                                 .source_rate = min_body_rate,
                                 .sink_timeout = sink_pause_limit,
                                 .deadline = request_.stop_deadline(),
                                 .watch_sink = true};
    switch (relay_body(
        message, request_.client.socket, upstream, body_framing, limits, [&] { return routing.now(); },
        [this] { return is_cancelled(); })) {
    case relay_result::complete:
        on_complete();
        return {outcome::timed_out, upstream_close_reason::timed_out};
    case relay_result::sink_responded: // usually a rejection before the end of the body
        return {outcome::timed_out, upstream_close_reason::timed_out};
    case relay_result::sink_broken:
        return {outcome::connect_error, upstream_close_reason::write_failed};
    case relay_result::cancelled:
        return {outcome::canceled, upstream_close_reason::canceled, request_ended_};
    case relay_result::source_truncated:
    case relay_result::source_slow:
    case relay_result::source_malformed:
        break;
    }
    return {outcome::discarded_unread, upstream_close_reason::client_body_failed};
}

bool body_upload::is_cancelled() {
    auto &routing = request_.context.routing;
    const routing_decision decision = routing.next_decision(request_.handle);
    request_ended_ = decision.type != decision_type::attempt_running;
    return decision.cancel || request_ended_ || routing.now() >= request_.stop_deadline();
}

// The client's timeout starts with the last byte of its body.
void body_upload::on_complete() {
    auto &routing = request_.context.routing;
    request_.context.metrics.attempt_sent();
    request_.body_forwarded = true;
    request_.count_as_active();
    request_.deadline = std::min(routing.now() + request_.client_timeout, request_.stop_deadline());
    request_.guard.set_deadline(routing.now() + request_.client_timeout);
    routing.request_body_sent(request_.handle, request_.deadline);
}

} // namespace harrierpass::proxy
