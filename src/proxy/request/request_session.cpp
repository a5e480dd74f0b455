// SPDX-License-Identifier: Apache-2.0
#include "proxy/request/request_session.hpp"

#include "net/http.hpp"
#include "net/threads.hpp"
#include "proxy/client/body_relay.hpp"
#include "proxy/client/request_reader.hpp"
#include "proxy/client/response_writer.hpp"
#include "proxy/request/active_request.hpp"
#include "proxy/request/body_upload.hpp"
#include "proxy/request/protocol.hpp"
#include "proxy/request/request_log.hpp"
#include "proxy/request/upstream_attempt.hpp"

#include <algorithm>
#include <cstring>
#include <new>
#include <utility>

namespace harrierpass::proxy {
namespace {

using std::string_view;

// Seconds after the client's deadline within which the router makes its final decision by itself.
constexpr double final_decision_margin = 0.01;
// A failure within this many seconds of the deadline is a 504 instead of a 502.
constexpr double gateway_timeout_margin = 0.1;
// Seconds after the last response of a planned stop; a third of the time until the process is killed.
constexpr double stop_lingering_time = 0.1;
// Lets a client read why its long body was rejected.
constexpr lingering_close upload_linger = {2, max_streamed_body};

// Coordinates a request: reads it, submits it to the router, and carries out the router's decisions until
// there is a response.
class request_session {
public:
    request_session(proxy_context &context, client_connection &client)
        : context_(context), client_(client), request_(context, client), writer_(request_) {}
    // Makes the router release the request if an exception, such as std::bad_alloc, interrupted it.
    ~request_session() {
        if (submitted_)
            request_.abandon();
    }
    request_session(const request_session &) = delete;
    request_session &operator=(const request_session &) = delete;

    close_decision serve();
    // Called after an exception of serve(): writes the response if there was none yet.
    void fail(rejection_reason reason);
    // Remembers the id of a request that may have had an effect of which its client does not know.
    void remember_id(close_decision decision) const;
    const active_request &request() const { return request_; }

private:
    close_decision process(http_reader &message);
    close_decision respond_to_unreadable(const request_read_result &read);
    close_decision respond_to_health_check();
    close_decision handle(http_reader &message);
    void identify(const http_head &head, const parsed_request &parsed);
    void set_request_class(const parsed_request &parsed);
    std::optional<rejection_reason> admission_rejection();
    close_decision reject_at_admission(rejection_reason reason);
    const char *submit(const http_head &head, parsed_request &parsed);
    void set_deadlines(parsed_request &parsed);

    close_decision route(http_reader &message);
    close_decision finish_without_endpoint_response(const routing_decision &decision);
    close_decision handle_expired_deadline();
    // The status of a failure at the deadline: an endpoint sent an incomplete response, or none.
    int late_failure_status() const { return response_stalled_ ? 502 : 504; }
    bool wait_in_queue();
    attempt_result attempt(const routing_decision &decision, http_reader &message, http_reader &response);
    void report(const attempt_result &result, const http_reader &response);
    close_decision finish_forwarded(const attempt_result &result);
    close_decision abandon_and_respond(bool possibly_executed,
                                       std::optional<rejection_reason> reason = std::nullopt);

    void keep_pipelined_bytes(const http_reader &message);

    proxy_context &context_;
    client_connection &client_;
    active_request request_;
    response_writer writer_;
    buffer_pool::buffer_handle buffer_; // contains the request
    bool response_stalled_ = false;     // the response to the latest attempt began and was never complete
    bool submitted_ = false;            // the router has the request and must release it at the end
};

close_decision request_session::serve() {
    buffer_ = client_.buffer ? std::move(client_.buffer) : context_.buffers.acquire();
    http_reader message(whole_buffer(buffer_), http_reader::message_kind::request,
                        std::exchange(client_.filled, 0));
    const close_decision decision = process(message);
    if (!request_.body_is_complete() && client_.lingering.max_bytes > 0)
        client_.lingering = upload_linger;
    if (!decision)
        keep_pipelined_bytes(message);
    return decision;
}

// Keeps the bytes of the next request for it. Only a client that pipelines requests sends them before the
// response.
void request_session::keep_pipelined_bytes(const http_reader &message) {
    const string_view next = message.pipelined_bytes();
    if (next.empty())
        return;
    client_.filled = next.size();
    std::memmove(buffer_.get(), next.data(), next.size());
    client_.buffer = std::move(buffer_);
}

close_decision request_session::process(http_reader &message) {
    const request_read_result read = request_reader(context_, client_).read(message);
    if (read.failure)
        return respond_to_unreadable(read);
    const http_head &head = message.head();
    request_.streams_body = read.body_continues;
    request_.keep_connection = head.keeps_alive();
    request_.head_only = head.method == "HEAD";
    request_.client_http_minor = head.minor_version;
    if (head.target == "/_health")
        return respond_to_health_check();
    if (head.method != "GET" && head.method != "PUT" && !request_.head_only)
        return writer_.refuse_malformed(405, "Allow: GET, HEAD, PUT\r\n",
                                        "a query is a GET, a HEAD or a PUT\n");
    return handle(message);
}

close_decision request_session::respond_to_unreadable(const request_read_result &read) {
    if (read.response_status == 0)
        return read.failure;
    std::string fields;
    if (read.failure == close_reason::shutting_down)
        fields =
            retry_after_header(context_.routing.configuration_in_force()->router.constraints.max_retry_after);
    writer_.refuse_unreadable(read.response_status, fields);
    return read.failure;
}

close_decision request_session::respond_to_health_check() {
    const bool takes_clients = !context_.draining() || context_.handed_over;
    const bool healthy = context_.ready() && takes_clients && !context_.is_disabled();
    return writer_.respond(healthy ? 200 : 503, {}, {});
}

close_decision request_session::handle(http_reader &message) {
    const http_head &head = message.head();
    request_.settings = context_.routing.configuration_in_force();
    parsed_request parsed = parse_request(head, *request_.settings);
    if (parsed.fault != nullptr)
        return writer_.refuse_malformed(400, {}, parsed.fault);
    identify(head, parsed);
    if (const auto reason = admission_rejection())
        return reject_at_admission(*reason);
    if (const char *const fault = submit(head, parsed))
        return writer_.refuse_malformed(400, {}, fault);
    return route(message);
}

void request_session::identify(const http_head &head, const parsed_request &parsed) {
    request_.received_at = context_.routing.now();
    request_.id = head.header("X-Request-Id");
    set_request_class(parsed);
    if (!request_.streams_body)
        request_.count_as_active();
    request_.class_name = request_.settings->request_classes[request_.class_id.value()];
}

// Sets the class by the configuration that the request was parsed with. A response is required from here on.
void request_session::set_request_class(const parsed_request &parsed) {
    request_.class_id = parsed.info.class_id;
    request_.guard.request_read(request_.id, request_.class_settings(),
                                request_.received_at + parsed.client_timeout);
}

// Returns empty if the request may be submitted to the router. Endpoints cannot distinguish two requests with
// the same id, so that the effect of the second one could be attributed to the first.
std::optional<rejection_reason> request_session::admission_rejection() {
    auto [lease, conflict] = context_.ids.acquire(request_.id, steady_now());
    if (conflict)
        return *conflict == id_conflict::active ? rejection_reason::id_in_use : rejection_reason::id_executed;
    request_.id_lease = std::move(lease);
    context_.counts.add(counter::requests);
    if (client_.over_capacity)
        return rejection_reason::too_many_connections;
    if (request_.received_at >= request_.stop_deadline())
        return rejection_reason::stopping;
    return std::nullopt;
}

close_decision request_session::reject_at_admission(rejection_reason reason) {
    request_.rejection = reason;
    const bool is_active = reason == rejection_reason::id_in_use;
    if (is_active || reason == rejection_reason::id_executed) {
        request_.count_result(request_result::failed);
        return writer_.refuse_malformed(409, {},
                                        is_active ? "a query with this X-Request-Id is open\n"
                                                  : "a query with this X-Request-Id may have been run\n");
    }
    request_.keep_connection = false;
    const counter counted_as = reason == rejection_reason::too_many_connections
                                   ? counter::rejected_too_many_connections
                                   : counter::rejected;
    return writer_.reject(counted_as, request_.max_retry_after());
}

// Returns null, or the fault of the request. If another configuration came into force since the request was
// parsed, parses it again with that one.
const char *request_session::submit(const http_head &head, parsed_request &parsed) {
    set_deadlines(parsed);
    while (!context_.routing.submit(request_.handle, parsed.info, request_.settings)) {
        request_.settings = context_.routing.configuration_in_force();
        parsed = parse_request(head, *request_.settings);
        if (parsed.fault != nullptr)
            return parsed.fault;
        set_request_class(parsed);
        set_deadlines(parsed);
    }
    submitted_ = true;
    return nullptr;
}

// The router cannot know how long a streamed body takes; this session ends the request at its deadline.
void request_session::set_deadlines(parsed_request &parsed) {
    const double upload_time = request_.streams_body ? max_upload_time : 0;
    const double client_deadline = request_.received_at + parsed.client_timeout;
    request_.client_timeout = parsed.client_timeout;
    request_.deadline = std::min(client_deadline, request_.stop_deadline());
    parsed.info.streams_body = request_.streams_body;
    parsed.info.deadline = std::min(client_deadline + upload_time, request_.stop_deadline());
}

close_decision request_session::route(http_reader &message) {
    auto &routing = context_.routing;
    buffer_pool::buffer_handle response_buffer; // acquired for the first attempt
    for (;;) {
        const routing_decision decision = routing.next_decision(request_.handle);
        const auto type = decision.type;
        if (type == decision_type::reject || type == decision_type::fail)
            return finish_without_endpoint_response(decision);
        if (request_.streams_body)
            extend_deadline_if_incomplete(request_, message);
        if (routing.now() >= request_.effective_deadline() + final_decision_margin)
            return handle_expired_deadline();
        if (type == decision_type::queued) {
            if (wait_in_queue())
                continue;
            return close_reason::client_left;
        }
        if (!response_buffer)
            response_buffer = context_.buffers.acquire();
        http_reader response(whole_buffer(response_buffer), http_reader::message_kind::response);
        const attempt_result result = attempt(decision, message, response);
        if (result.response_forwarded)
            return finish_forwarded(result);
        report(result, response);
        if (request_.client_has_left() && routing.is_released(request_.handle))
            return close_reason::client_left;
        if (request_.guard.step_was_refused())
            return abandon_and_respond(request_.guard.possibly_executed(), rejection_reason::invariant);
        // The forwarded part of a long body is no longer available, so that the request cannot be retried.
        const bool body_is_lost = request_.streams_body && message.released_bytes() > 0;
        if (body_is_lost && result.result != outcome::completed)
            return abandon_and_respond(request_.counted_as_active && !known_not_executed(result.result));
        if (result.result == outcome::completed)
            return writer_.succeed(response);
    }
}

// Applies the router's decision to reject or fail the request.
close_decision request_session::finish_without_endpoint_response(const routing_decision &decision) {
    auto &routing = context_.routing;
    if (!routing.is_released(request_.handle)) // its attempt is about to be sent, or was abandoned in flight
        routing.request_finished(request_.handle, outcome::canceled);
    if (request_.client_has_left())
        return close_reason::client_left;
    if (decision.type == decision_type::reject) {
        request_.rejection = rejection_reason::rejected_by_router;
        return writer_.reject(counter::rejected, decision.retry_after);
    }
    request_.rejection = rejection_reason::failed_by_router;
    const bool has_time_left = routing.now() < request_.deadline - gateway_timeout_margin;
    return writer_.fail(has_time_left ? 502 : late_failure_status());
}

// Ends a request past its deadline, the client's or a planned stop's, on which the router made no final
// decision.
close_decision request_session::handle_expired_deadline() {
    request_.abandon();
    const bool stopping = context_.routing.now() >= request_.stop_deadline();
    request_.rejection = stopping ? rejection_reason::stopping : rejection_reason::out_of_time;
    return writer_.reject_or_fail(request_.guard.possibly_executed(), late_failure_status());
}

// Returns false if the client disconnected.
bool request_session::wait_in_queue() {
    pollfd hangup{client_.socket.get(), POLLRDHUP, 0};
    const double time_left = request_.effective_deadline() + final_decision_margin - context_.routing.now();
    if (wait_on({&hangup, 1}, std::min(missed_wakeup_limit, time_left)) <= 0)
        return true;
    request_.on_client_left();
    return false;
}

attempt_result request_session::attempt(const routing_decision &decision, http_reader &message,
                                        http_reader &response) {
    response.stream_body(max_streamed_body);
    if (request_.head_only)
        response.expect_no_body();
    const attempt_result result = upstream_attempt(request_, writer_, decision, message, response).run();
    response_stalled_ = result.reason == upstream_close_reason::stalled;
    return result;
}

void request_session::report(const attempt_result &result, const http_reader &response) {
    if (result.request_ended)
        context_.routing.request_finished(request_.handle, result.result);
    else
        context_.routing.attempt_finished(request_.handle, result.result, is_cache_miss(response.head()));
}

// Finishes a request whose response, or the beginning of it, was forwarded. Closing the connection shows the
// client that the rest is missing.
close_decision request_session::finish_forwarded(const attempt_result &result) {
    context_.routing.request_finished(request_.handle, result.result);
    const bool is_complete = result.result == outcome::completed && !result.response_truncated;
    request_.count_result(is_complete ? request_result::succeeded : request_result::failed);
    context_.counts.add(is_complete ? counter::completed : counter::aborted);
    if (!is_complete)
        return close_reason::response_not_delivered;
    return writer_.decide_after_forwarding();
}

close_decision request_session::abandon_and_respond(bool possibly_executed,
                                                    std::optional<rejection_reason> reason) {
    request_.abandon();
    if (request_.client_has_left())
        return close_reason::client_left;
    request_.rejection = reason;
    return writer_.reject_or_fail(possibly_executed, 502);
}

void request_session::fail(rejection_reason reason) {
    if (writer_.respond_to_internal_error())
        request_.rejection = reason;
}

// A client that closes its connection without having read the response resets it; one that has read it may
// close at once.
void request_session::remember_id(close_decision decision) const {
    if (!request_.guard.possibly_executed() || request_.class_settings().effect == effect_kind::idempotent)
        return;
    const bool was_delivered = request_.response_status != 0 && !request_.client_has_left() &&
                               decision != close_reason::response_not_delivered &&
                               peek(client_.socket) != peek_result::reset;
    if (!was_delivered)
        context_.ids.remember_executed(request_.id, steady_now());
}

// Serves a request and releases its resources, including its buffer.
close_decision serve_and_log(proxy_context &context, client_connection &client) {
    request_session session(context, client);
    close_decision decision;
    try {
        decision = session.serve();
        session.remember_id(decision);
    } catch (const std::bad_alloc &) {
        session.fail(rejection_reason::out_of_memory);
        decision = close_reason::out_of_memory;
    } catch (const std::exception &error) {
        context.logger.error("query-failed error=", error.what());
        session.fail(rejection_reason::internal_error);
        decision = close_reason::internal_error;
    }
    log_request_end(session.request(), decision);
    return decision;
}

} // namespace

close_decision serve_request(proxy_context &context, client_connection &client) {
    const close_decision decision = serve_and_log(context, client);
    if (!decision)
        return decision;
    // During a planned stop the process must exit by itself before it is killed.
    const double until_stop = std::max(0.0, context.respond_by + stop_lingering_time - context.routing.now());
    if (client.lingering.max_bytes > 0)
        close_gracefully(client.socket, std::min(client.lingering.limit, until_stop),
                         client.lingering.max_bytes);
    return decision;
}

} // namespace harrierpass::proxy
