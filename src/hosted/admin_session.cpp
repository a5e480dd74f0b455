// SPDX-License-Identifier: Apache-2.0
#include "hosted/admin_session.hpp"

#include "net/threads.hpp"

#include <algorithm>
#include <utility>

namespace harrierpass::hosted {
namespace {

constexpr double stop_check_interval = 0.1; // s between looks whether the listener stops
constexpr std::string_view bearer_scheme = "Bearer ";

std::string response_head(const admin::api_answer &answer, bool keeps_alive) {
    std::string head =
        "HTTP/1.1 " + std::to_string(answer.status) + (answer.status < 400 ? " OK\r\n" : " Refused\r\n");
    append_header(head, "Content-Type", answer.type);
    append_header(head, "Content-Length", std::to_string(answer.body.size()));
    append_header(head, "Cache-Control", "no-store"); // an answer may hold a secret
    if (!answer.etag.empty())
        append_header(head, "ETag", answer.etag);
    if (!answer.location.empty())
        append_header(head, "Location", answer.location);
    if (answer.status == 401)
        append_header(head, "WWW-Authenticate", "Bearer");
    if (!keeps_alive)
        append_header(head, "Connection", "close");
    return head += "\r\n";
}

admin::api_answer refusal(int status, const char *reason) {
    return {status,
            "{\"type\":\"about:blank\",\"status\":" + std::to_string(status) + ",\"detail\":\"" + reason +
                "\"}",
            "application/problem+json",
            "",
            "",
            reason};
}

// Whether a field stands twice that two readers would take for different callers, or different writes.
bool has_duplicate_field(const http_head &head) {
    for (const std::string_view name : {"Authorization", "If-Match", "If-None-Match", "Idempotency-Key"})
        if (head.header_count(name) > 1)
            return true;
    return false;
}

} // namespace

const char *admin_session::run() {
    certified_ = connection_.caller();
    for (;;)
        if (const char *const reason = serve_request())
            return reason;
}

const char *admin_session::serve_request() {
    progress_ = request_progress::reading;
    begin_request();
    if (const char *const reason = read_request())
        return reason;
    ++requests_;
    if (has_duplicate_field(reader_->head()))
        return refuse(400, "field_twice");
    const auto request = parsed_request();
    progress_ = request_progress::executing;
    const auto answer = context_.api.answer(request);
    log_write(request, answer);
    return respond(answer);
}

void admin_session::begin_request() {
    buffer_.assign(std::max<std::size_t>(buffer_size, pipelined_.size()), '\0');
    std::copy(pipelined_.begin(), pipelined_.end(), buffer_.begin());
    reader_ = std::make_unique<http_reader>(buffer_, http_reader::message_kind::request, pipelined_.size());
    enlarged_ = buffer_.size() > buffer_size;
    has_received_ = !pipelined_.empty();
    deadline_ = steady_now() + (has_received_ ? context_.limits.request : context_.limits.idle);
}

const char *admin_session::read_request() {
    auto state = reader_->parse_buffered();
    while (can_continue(state)) {
        if (state == http_reader::state::too_large) {
            state = enlarge_buffer();
            continue;
        }
        if (const char *const reason = check_time())
            return reason;
        if (const char *const reason = receive(state))
            return reason;
    }
    switch (state) {
    case http_reader::state::complete:
        return nullptr;
    case http_reader::state::too_large:
        return refuse(413, "too_large");
    default:
        return refuse(400, "malformed");
    }
}

bool admin_session::can_continue(http_reader::state state) const {
    if (state == http_reader::state::too_large)
        return !enlarged_ && !reader_->head().method.empty(); // not a head without end
    return state == http_reader::state::incomplete;
}

http_reader::state admin_session::enlarge_buffer() {
    const auto received = static_cast<std::size_t>(reader_->free_space().data() - buffer_.data());
    enlarged_ = true;
    buffer_.resize(max_head_size + context_.limits.body);
    reader_ = std::make_unique<http_reader>(buffer_, http_reader::message_kind::request, received);
    return reader_->parse_buffered();
}

const char *admin_session::check_time() {
    if (context_.stopping && !has_received_)
        return "ends";
    if (steady_now() < deadline_)
        return nullptr;
    return has_received_ ? refuse(408, "too_slow") : "idle";
}

const char *admin_session::receive(http_reader::state &state) {
    const auto space = reader_->free_space();
    const io_result received = connection_.read(space.data(), space.size());
    if (received.status == io_status::would_block) {
        connection_.wait(std::min(deadline_ - steady_now(), stop_check_interval));
        return nullptr;
    }
    if (received.status == io_status::closed)
        return has_received_ ? "caller_cut" : "caller_closed";
    if (received.status == io_status::failed)
        return "caller_reset";
    if (!std::exchange(has_received_, true))
        deadline_ = steady_now() + context_.limits.request;
    state = reader_->received(received.size);
    return nullptr;
}

admin::api_request admin_session::parsed_request() const {
    const auto &head = reader_->head();
    admin::api_request request;
    request.method = head.method;
    request.target = head.target;
    const auto authorization = head.header("Authorization");
    if (authorization.size() > bearer_scheme.size() &&
        equals_ignoring_case(authorization.substr(0, bearer_scheme.size()), bearer_scheme))
        request.token = authorization.substr(bearer_scheme.size());
    request.certified = certified_;
    request.if_match = head.header("If-Match");
    request.if_none_match = head.header("If-None-Match");
    request.idempotency_key = head.header("Idempotency-Key");
    request.body = reader_->body();
    return request;
}

void admin_session::log_write(const admin::api_request &request, const admin::api_answer &answer) const {
    if (request.method == "GET")
        return;
    const std::string_view target = request.target;
    context_.logger.info("admin-call method=", request.method, " place=", target.substr(0, target.find('?')),
                         " status=", answer.status, " result=", answer.why);
}

const char *admin_session::respond(const admin::api_answer &answer) {
    const bool keeps_alive = reader_->head().keeps_alive() && !context_.stopping;
    if (!write(answer, keeps_alive))
        return "answer_cut";
    if (!keeps_alive)
        return "answered_last";
    pipelined_ = reader_->pipelined_bytes();
    return nullptr;
}

const char *admin_session::refuse(int status, const char *reason) {
    write(refusal(status, reason), false);
    return reason;
}

// Counted before it is written, so that whoever has the answer finds it counted.
bool admin_session::write(const admin::api_answer &answer, bool keeps_alive) {
    context_.counters.add(answer.why);
    const std::string text = response_head(answer, keeps_alive) + answer.body;
    progress_ = request_progress::responding;
    return connection_.write(text, context_.limits.response_write);
}

} // namespace harrierpass::hosted
