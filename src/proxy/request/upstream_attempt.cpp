// SPDX-License-Identifier: Apache-2.0
#include "proxy/request/upstream_attempt.hpp"

#include "net/http_call.hpp"
#include "proxy/request/body_upload.hpp"
#include "proxy/request/protocol.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace harrierpass::proxy {
namespace {

using std::string_view;

// Seconds before the deadline at which a connect ends.
constexpr double connect_margin = 0.05;
// A response of unknown length is streamed once its body has this many bytes, or has any bytes and its head
// arrived this many seconds ago.
constexpr std::size_t streaming_threshold = 16384;
constexpr double streaming_delay = 0.1;

// The counters of attempts, by outcome.
constexpr std::array<counter, 9> attempt_counters = {
    counter::attempts_completed, counter::attempts_error,         counter::attempts_overloaded,
    counter::attempts_timed_out, counter::attempts_connect_error, counter::attempts_reset,
    counter::attempts_canceled,  counter::attempts_cache_miss,    counter::attempts_cache_miss};

} // namespace

attempt_result upstream_attempt::run() {
    attempt_result result = connect();
    if (connection_.socket)
        result = send();
    if (result.result == outcome::timed_out)
        result = await_response();
    request_.guard.attempt_finished(result.result);
    context_.counts.add(attempt_counters[static_cast<std::size_t>(result.result)]);
    log_end(result);
    if (connection_.socket)
        end_connection(result);
    return result;
}

// A connect cannot be interrupted, so its timeout leaves time for the proxy's response. A connect that ends
// for this timeout or for a lack of resources on this machine is no evidence about the endpoint.
attempt_result upstream_attempt::connect() {
    const attempt_result client_left = {outcome::discarded_unread, upstream_close_reason::client_left};
    auto &routing = context_.routing;
    const double deadline = request_.effective_deadline() - connect_margin;
    if (request_.detect_client_left())
        return client_left;
    connection_ = context_.upstreams.acquire(decision_.endpoint, routing.now(), deadline - routing.now());
    if (!connection_.socket) {
        if (routing.now() >= deadline)
            return {outcome::discarded_unread, upstream_close_reason::out_of_time};
        if (connection_.local_shortage)
            return {outcome::discarded_unread, upstream_close_reason::local_shortage};
        return {outcome::connect_error, upstream_close_reason::connect_failed};
    }
    const bool is_new = connection_.attempts == 0;
    if (is_new && request_.detect_client_left())
        context_.upstreams.release(std::exchange(connection_, {}), routing.now());
    return client_left;
}

attempt_result upstream_attempt::send() {
    if (request_.streams_body)
        extend_deadline_if_incomplete(request_, message_);
    const double time_left = request_.deadline - context_.routing.now();
    const std::string head_text = forwarded_request(message_, time_left, !request_.streams_body);
    string_view head = head_text;
    string_view body = request_.streams_body ? string_view{} : message_.body();
    first_write write;
    const bool enabled = context_.upstreams.write_unless_disabled(
        decision_.endpoint, [&] { write = begin_write(head, body, time_left); });
    if (write.status) {
        context_.counts.add(counter::attempts_sent);
        ++request_.attempts;
        ++connection_.attempts;
    }
    if (!enabled)
        return {outcome::discarded_unread, upstream_close_reason::disabled};
    if (!write.status)
        return {outcome::discarded_unread, upstream_close_reason::outdated, request_has_ended()};
    if (write.status == io_status::failed ||
        !write_all(connection_.socket, head, body, write.deadline - context_.routing.now()))
        return {outcome::connect_error, upstream_close_reason::write_failed};
    if (request_.streams_body)
        return body_upload(request_, message_).run(connection_.socket);
    context_.metrics.attempt_sent();
    return {outcome::timed_out, upstream_close_reason::timed_out};
}

// The router's decision and the endpoint's address may have changed during the connect, so they are checked
// right before the first byte.
upstream_attempt::first_write upstream_attempt::begin_write(string_view &head, string_view &body,
                                                            double time_left) {
    first_write write;
    write.deadline =
        std::min(context_.routing.attempt_write_deadline(request_.handle), request_.effective_deadline());
    const double now = context_.routing.now();
    if (now >= write.deadline || !context_.upstreams.leads_to_endpoint(connection_) ||
        !request_.guard.may_start_attempt(now, time_left))
        return write;
    if (request_.class_settings().effect != effect_kind::idempotent)
        request_.id_lease.mark_sent();
    write.status = write_some(connection_.socket, head, body).status;
    return write;
}

attempt_result upstream_attempt::await_response() {
    last_received_at_ = context_.routing.now();
    for (;;) {
        // Checked before each wait, as a wake-up may have interrupted an earlier wait while writing.
        if (const auto result = result_if_ended())
            return *result;
        if (!wait_for_response(request_.effective_deadline() - context_.routing.now())) {
            report_pause();
            continue;
        }
        const auto state = read_available(response_, connection_.socket);
        last_received_at_ = context_.routing.now();
        if (!response_head_at_ && response_.has_head())
            response_head_at_ = last_received_at_;
        if (must_stream(state))
            return forward_response();
        if (state != http_reader::state::incomplete)
            return result_of(state);
    }
}

std::optional<attempt_result> upstream_attempt::result_if_ended() {
    const routing_decision decision = context_.routing.next_decision(request_.handle);
    const bool request_ended = decision.type != decision_type::attempt_running;
    if (decision.cancel)
        return attempt_result{outcome::canceled, upstream_close_reason::canceled, request_ended};
    const bool is_over = request_ended || request_.effective_deadline() <= context_.routing.now();
    if (response_.has_begun() && has_stalled(progress(), request_.class_settings().latency_objective))
        return result_if_given_up(is_over, request_ended);
    if (is_over)
        return attempt_result{outcome::timed_out, upstream_close_reason::timed_out, request_ended};
    return std::nullopt;
}

std::optional<attempt_result> upstream_attempt::result_if_given_up(bool is_over, bool request_ended) {
    // The body of an error response is not forwarded.
    if (response_.has_head() && response_.head().status != 200)
        return attempt_result{outcome_of(response_.head(), false), upstream_close_reason::stalled,
                              request_ended};
    const bool is_retried = should_retry_stalled(progress(), request_.class_settings().latency_objective) &&
                            context_.routing.may_retry(request_.handle);
    if (!is_over && !is_retried)
        return std::nullopt;
    request_.retried_stall = true;
    context_.counts.add(counter::attempts_malformed);
    context_.counts.add(counter::attempts_stalled);
    return attempt_result{outcome::error, upstream_close_reason::stalled, request_ended};
}

response_progress upstream_attempt::progress() const {
    const double now = context_.routing.now();
    return {.awaits_body = response_.has_head() && response_.received_body_bytes() == 0,
            .silent_for = now - last_received_at_,
            .time_left = request_.effective_deadline() - now,
            .retried_stall = request_.retried_stall};
}

// The router would otherwise take the rest of the response for a silence of its endpoint.
void upstream_attempt::report_pause() {
    if (response_.has_begun() && !std::exchange(pause_reported_, true))
        context_.routing.response_paused(request_.handle);
}

// An attempt continues after its client disconnected, so that the router's count of the attempts in flight at
// the endpoint stays correct.
bool upstream_attempt::wait_for_response(double time_left) {
    std::array<pollfd, 2> sockets = {
        {{connection_.socket.get(), POLLIN, 0}, {request_.client.socket.get(), POLLRDHUP, 0}}};
    if (wait_on(sockets, std::min(missed_wakeup_limit, time_left)) <= 0)
        return false;
    if (sockets[1].revents != 0)
        request_.on_client_left();
    return sockets[0].revents != 0;
}

attempt_result upstream_attempt::result_of(http_reader::state state) {
    switch (state) {
    case http_reader::state::complete: {
        const bool proxies_fetch = context_.routing.configuration_in_force()->router.origin_kind != none;
        return {outcome_of(response_.head(), proxies_fetch), {}};
    }
    case http_reader::state::truncated:
        return {outcome::reset, upstream_close_reason::reset};
    case http_reader::state::window_full: // the body of an error, or a response whose client disconnected
        return {outcome_of(response_.head(), false), upstream_close_reason::error_text_too_long};
    default: // the endpoint responded, so it counts as alive
        context_.counts.add(counter::attempts_malformed);
        return {outcome::error, upstream_close_reason::malformed_response};
    }
}

bool upstream_attempt::must_stream(http_reader::state state) const {
    const bool window_full = state == http_reader::state::window_full;
    if (!window_full && state != http_reader::state::incomplete)
        return false;
    if (!response_.has_head() || response_.head().status != 200 || request_.client_has_left())
        return false;
    if (window_full)
        return true;
    if (response_.announced_body_bytes() > max_body_size)
        return true;
    if (response_.content_length())
        return false;
    const std::size_t received = response_.body().size();
    return received >= streaming_threshold ||
           (received > 0 && context_.routing.now() > response_head_at_.value_or(0) + streaming_delay);
}

attempt_result upstream_attempt::forward_response() {
    attempt_result result = {.result = outcome::completed, .reason = {}, .response_forwarded = true};
    switch (writer_.forward(connection_.socket, response_)) {
    case forward_result::complete:
        break;
    case forward_result::refused:
        result.result = outcome::discarded_unread;
        result.reason = upstream_close_reason::invariant;
        break;
    case forward_result::client_left:
        result.reason = upstream_close_reason::client_left;
        break;
    case forward_result::stopped:
        result.reason = upstream_close_reason::shutting_down;
        result.response_truncated = true;
        break;
    case forward_result::upstream_stalled:
        result.result = outcome::reset;
        result.reason = upstream_close_reason::stalled;
        break;
    case forward_result::upstream_reset:
        result.result = outcome::reset;
        result.reason = upstream_close_reason::reset;
        break;
    }
    return result;
}

bool upstream_attempt::request_has_ended() {
    return context_.routing.next_decision(request_.handle).type != decision_type::attempt_running;
}

// An attempt that closes its connection early is logged in production, too: only this line connects the
// closed connection with its request.
void upstream_attempt::log_end(const attempt_result &result) const {
    const log_level level = result.reason ? log_level::info : context_.request_level();
    if (!context_.logger.is_enabled(level))
        return;
    context_.logger.write(level, "execution-end id=", request_.id,
                          " server=", context_.upstreams.id_of(decision_.endpoint),
                          " number=", decision_.attempt, " stopping-for=", context_.time_since_stop(),
                          " status=", response_.head().status, " note=", response_.head().header("X-Cache"),
                          " received=", response_.received_body_bytes(),
                          " silent=", last_received_at_ > 0 ? context_.routing.now() - last_received_at_ : 0,
                          " left=", request_.effective_deadline() - context_.routing.now(),
                          " reason=", result.reason ? log_text(*result.reason) : "answered");
}

void upstream_attempt::end_connection(const attempt_result &result) {
    auto &upstreams = context_.upstreams;
    const double now = context_.routing.now();
    if (!result.reason && is_connection_reusable()) {
        upstreams.release(std::move(connection_), now);
        return;
    }
    // The idle connections to an unresponsive endpoint are probably dead as well. A process that died closes
    // its other connections itself.
    if (result.result == outcome::canceled)
        upstreams.close_idle_of(decision_.endpoint, now, upstream_close_reason::suspect);
    const auto unusable = request_.body_is_complete() ? upstream_close_reason::closed_by_endpoint
                                                      : upstream_close_reason::request_incomplete;
    upstreams.close_connection(std::move(connection_), now, result.reason.value_or(unusable));
}

// An endpoint may respond before the last byte of a request. It takes what comes next on the connection for
// the rest of that request (RFC 9112, section 9.3).
bool upstream_attempt::is_connection_reusable() const {
    return request_.body_is_complete() && response_.is_complete() && response_.head().keeps_alive() &&
           response_.pipelined_bytes().empty();
}

} // namespace harrierpass::proxy
