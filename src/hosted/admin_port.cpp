// SPDX-License-Identifier: Apache-2.0
#include "hosted/admin_port.hpp"

#include "net/http.hpp"
#include "proxy/client/response_writer.hpp"

#include <cerrno>
#include <system_error>

namespace harrierpass::hosted {
namespace {

constexpr double look = 0.1; // s between looks whether it is over
constexpr double pause = 0.005;
// s for which one connection without a thread may hold up accepting, at each step.
constexpr double no_thread_greeting_limit = 0.25; // a handshake takes a round trip
constexpr double no_thread_write_limit = 0.05;
constexpr double no_thread_linger = 0.05;
// s for which a connection that has failed holds its thread, at each step.
constexpr double failure_write_limit = 1;
constexpr double failure_linger = 0.2;

bool is_loopback(const address &where) {
    const auto text = to_text(where);
    return text.starts_with("127.") || text.starts_with("::1:");
}

std::string head_of(const admin::api_answer &of, bool keeps) {
    std::string head =
        "HTTP/1.1 " + std::to_string(of.status) + (of.status < 400 ? " OK\r\n" : " Refused\r\n");
    append_header(head, "Content-Type", of.type);
    append_header(head, "Content-Length", std::to_string(of.body.size()));
    append_header(head, "Cache-Control", "no-store"); // an answer may hold a secret
    if (!of.etag.empty())
        append_header(head, "ETag", of.etag);
    if (!of.location.empty())
        append_header(head, "Location", of.location);
    if (of.status == 401)
        append_header(head, "WWW-Authenticate", "Bearer");
    if (!keeps)
        append_header(head, "Connection", "close");
    return head += "\r\n";
}

admin::api_answer refusal(int status, const char *why) {
    return {status,
            "{\"type\":\"about:blank\",\"status\":" + std::to_string(status) + ",\"detail\":\"" + why + "\"}",
            "application/problem+json",
            "",
            "",
            why};
}

} // namespace

admin_port::admin_port(admin::api &calls, const identity *as, const address &where, log &lines,
                       const admin_limits &most)
    : api_(calls), identity_(as), log_(lines), most_(most) {
    // Guards tokens against a network that reads along.
    if (as == nullptr && !is_loopback(where))
        throw bad_identity(to_text(where) + ": administration without TLS is for loopback only");
    socket_ = listen_on(where);
    if (!socket_)
        throw std::system_error(errno, std::generic_category(), "cannot listen on " + to_text(where));
    at_ = local_address(socket_);
    acceptor_.emplace([this] { run(); });
}

admin_port::~admin_port() {
    over_ = true;
    wake_thread(acceptor_->id());
    acceptor_.reset();
}

void admin_port::run() {
    while (!over_) {
        if (open_ >= most_.connections) {
            wait_on({}, pause);
            continue;
        }
        pollfd in{socket_.get(), POLLIN, 0};
        wait_on({&in, 1}, look);
        accept_one();
    }
    while (open_ > 0)
        wait_on({}, pause);
}

void admin_port::accept_one() {
    address peer;
    tcp_socket socket = accept_on(socket_, peer);
    if (socket && !start_serving(socket, peer))
        reject_without_thread(std::move(socket), peer);
}

bool admin_port::start_serving(tcp_socket &socket, const address &peer) {
    ++open_;
    std::shared_ptr<tcp_socket> shared;
    try {
        shared = std::make_shared<tcp_socket>(std::move(socket));
        if (start_detached([this, shared, from = to_text(peer)] {
                serve(std::move(*shared), from);
                --open_;
            }))
            return true;
    } catch (const std::bad_alloc &) { // as for want of a thread
    }
    --open_;
    if (shared)
        socket = std::move(*shared);
    return false;
}

void admin_port::reject_without_thread(tcp_socket socket, const address &peer) {
    // First, so that whoever has the answer finds it counted.
    try {
        record_end(to_text(peer), 0, "no_thread");
    } catch (const std::bad_alloc &) { // none for the peer's text; it is answered all the same
    }
    try {
        stream with(std::move(socket), identity_ != nullptr ? identity_->now() : nullptr);
        if (with.greet(no_thread_greeting_limit))
            with.write_fallback(proxy::fallback_response::unavailable, no_thread_write_limit);
        with.close_gracefully(no_thread_linger);
    } catch (
        const std::bad_alloc &) { // none for the text of a TLS failure, which ends the connection as well
    }
}

void admin_port::serve(tcp_socket socket, const std::string &peer) {
    stream with(std::move(socket), identity_ != nullptr ? identity_->now() : nullptr);
    const char *reason = "failed";
    connection_state connection;
    try {
        if (!with.greet(most_.greeting)) {
            reason = "no_greeting";
            log_.info("admin-greeting peer=", peer, " error=\"", with.why(), '"');
        } else {
            reason = talk(with, connection);
            with.finish();
        }
    } catch (const std::bad_alloc &) {
        reason = "no_memory";
        answer_failure(with, connection.progress);
    } catch (const std::exception &failed) {
        answer_failure(with, connection.progress);
        log_failure(peer, failed.what());
    }
    record_end(peer, connection.requests, reason);
}

void admin_port::answer_failure(stream &with, request_progress progress) {
    if (progress == request_progress::responding)
        return; // a part of the response may be on its way
    const bool executed = progress == request_progress::executing;
    try {
        with.write_fallback(executed ? proxy::fallback_response::bad_gateway
                                     : proxy::fallback_response::unavailable,
                            failure_write_limit);
        with.close_gracefully(failure_linger);
    } catch (
        const std::bad_alloc &) { // none for the text of a TLS failure, which ends the connection as well
    }
}

void admin_port::log_failure(const std::string &peer, const char *what) {
    try {
        log_.error("admin-failed peer=", peer, " error=", what);
    } catch (const std::bad_alloc &) { // as in record_end()
    }
}

void admin_port::record_end(const std::string &peer, std::uint64_t requests, const char *reason) {
    try {
        count(reason);
        log_.info("connection-end side=admin peer=", peer, " requests=", requests, " reason=", reason);
    } catch (const std::bad_alloc &) { // the end goes unrecorded, and the program goes on
    }
}

const char *admin_port::talk(stream &with, connection_state &connection) {
    const std::string who = with.caller();
    const auto answer = [&](const admin::api_answer &made, bool keeps) {
        count(made.why);
        const std::string text = head_of(made, keeps) + made.body;
        connection.progress = request_progress::responding;
        return with.write(text, most_.answer);
    };
    std::vector<char> buffer; // grows with what comes, and goes with the request
    std::string rest;
    for (;;) {
        connection.progress = request_progress::reading;
        buffer.assign(std::max<std::size_t>(buffer_size, rest.size()), '\0');
        std::copy(rest.begin(), rest.end(), buffer.begin());
        auto reader = std::make_unique<http_reader>(buffer, http_reader::message_kind::request, rest.size());
        auto state = reader->parse_buffered();
        bool large = buffer.size() > buffer_size;
        double until = steady_now() + (rest.empty() ? most_.idle : most_.request);
        bool begun = !rest.empty();
        while (state == http_reader::state::incomplete ||
               (state == http_reader::state::too_large && !large)) {
            if (state == http_reader::state::too_large) {
                // Larger than most: once more from the start in as much room as a body may have.
                const auto came = static_cast<std::size_t>(reader->free_space().data() - buffer.data());
                if (reader->head().method.empty()) // a head without end
                    break;
                large = true;
                buffer.resize(max_head_size + most_.body);
                reader = std::make_unique<http_reader>(buffer, http_reader::message_kind::request, came);
                state = reader->parse_buffered();
                continue;
            }
            if (over_ && !begun)
                return "ends";
            const double left = until - steady_now();
            if (left <= 0) {
                if (!begun)
                    return "idle";
                answer(refusal(408, "too_slow"), false);
                return "too_slow";
            }
            const auto room = reader->free_space();
            const long got = with.read(room.data(), room.size());
            if (got == -2) {
                with.wait(std::min(left, look));
                continue;
            }
            if (got <= 0)
                return got == 0 ? (begun ? "caller_cut" : "caller_closed") : "caller_reset";
            if (!std::exchange(begun, true))
                until = steady_now() + most_.request;
            state = reader->received(static_cast<std::size_t>(got));
        }
        if (state != http_reader::state::complete) {
            const bool big = state == http_reader::state::too_large;
            answer(refusal(big ? 413 : 400, big ? "too_large" : "malformed"), false);
            return big ? "too_large" : "malformed";
        }
        ++connection.requests;
        const auto &head = reader->head();
        // Guards against what two readers would take for different callers, or different writes.
        for (const std::string_view each : {"Authorization", "If-Match", "If-None-Match", "Idempotency-Key"})
            if (head.header_count(each) > 1) {
                answer(refusal(400, "field_twice"), false);
                return "field_twice";
            }
        admin::api_request asked;
        asked.method = head.method;
        asked.target = head.target;
        const auto authorization = head.header("Authorization");
        if (authorization.size() > 7 && equals_ignoring_case(authorization.substr(0, 7), "Bearer "))
            asked.token = authorization.substr(7);
        asked.certified = who;
        asked.if_match = head.header("If-Match");
        asked.if_none_match = head.header("If-None-Match");
        asked.idempotency_key = head.header("Idempotency-Key");
        asked.body = reader->body();
        connection.progress = request_progress::executing;
        const auto made = api_.answer(asked);
        if (asked.method != "GET")
            log_.info("admin-call method=", asked.method,
                      " place=", head.target.substr(0, head.target.find('?')), " status=", made.status,
                      " result=", made.why);
        const bool keeps = head.keeps_alive() && !over_;
        if (!answer(made, keeps))
            return "answer_cut";
        if (!keeps)
            return "answered_last";
        rest = std::string(reader->pipelined_bytes());
    }
}

void admin_port::count(const std::string &what) {
    const std::lock_guard hold(lock_);
    ++counted_[what];
}

std::map<std::string, std::uint64_t> admin_port::counted() const {
    const std::lock_guard hold(lock_);
    return counted_;
}

} // namespace harrierpass::hosted
