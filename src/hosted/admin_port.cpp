// SPDX-License-Identifier: Apache-2.0
#include "hosted/admin_port.hpp"

#include "proxy/client/response_writer.hpp"

#include <cerrno>
#include <system_error>

namespace harrierpass::hosted {
namespace {

constexpr double stop_check_interval = 0.1;       // s between looks whether it is over
constexpr double capacity_check_interval = 0.005; // s between looks whether a connection has ended
// s for which one connection without a thread may hold up accepting, at each step.
constexpr double no_thread_handshake_limit = 0.25; // a handshake takes a round trip
constexpr double no_thread_write_limit = 0.05;
constexpr double no_thread_close_limit = 0.05;
// s for which a connection that has failed holds its thread, at each step.
constexpr double failure_write_limit = 1;
constexpr double failure_close_limit = 0.2;

bool is_loopback(const address &where) {
    const auto text = to_text(where);
    return text.starts_with("127.") || text.starts_with("::1:");
}

} // namespace

admin_port::admin_port(admin::api &calls, const identity *as, const address &where, log &lines,
                       const admin_limits &limits)
    : api_(calls), identity_(as), log_(lines), limits_(limits) {
    // Guards tokens against a network that reads along.
    if (as == nullptr && !is_loopback(where))
        throw invalid_identity(to_text(where) + ": administration without TLS is for loopback only");
    socket_ = listen_on(where);
    if (!socket_)
        throw std::system_error(errno, std::generic_category(), "cannot listen on " + to_text(where));
    at_ = local_address(socket_);
    acceptor_.emplace([this] { run(); });
}

admin_port::~admin_port() {
    stopping_ = true;
    wake_thread(acceptor_->id());
    acceptor_.reset();
}

void admin_port::run() {
    while (!stopping_) {
        if (open_connections_ >= limits_.connections) {
            wait_on({}, capacity_check_interval);
            continue;
        }
        pollfd in{socket_.get(), POLLIN, 0};
        wait_on({&in, 1}, stop_check_interval);
        accept_one();
    }
    while (open_connections_ > 0)
        wait_on({}, capacity_check_interval);
}

void admin_port::accept_one() {
    address peer;
    tcp_socket socket = accept_on(socket_, peer);
    if (socket && !start_serving(socket, peer))
        reject_without_thread(std::move(socket), peer);
}

bool admin_port::start_serving(tcp_socket &socket, const address &peer) {
    ++open_connections_;
    std::shared_ptr<tcp_socket> shared;
    try {
        shared = std::make_shared<tcp_socket>(std::move(socket));
        if (start_detached([this, shared, from = to_text(peer)] {
                serve(std::move(*shared), from);
                --open_connections_;
            }))
            return true;
    } catch (const std::bad_alloc &) { // as for want of a thread
    }
    --open_connections_;
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
        if (with.handshake(no_thread_handshake_limit))
            with.write_fallback(proxy::fallback_response::unavailable, no_thread_write_limit);
        with.close_gracefully(no_thread_close_limit);
    } catch (
        const std::bad_alloc &) { // none for the text of a TLS failure, which ends the connection as well
    }
}

void admin_port::serve(tcp_socket socket, const std::string &peer) {
    stream with(std::move(socket), identity_ != nullptr ? identity_->now() : nullptr);
    const char *reason = "failed";
    const session_context context{api_, log_, counters_, limits_, stopping_};
    admin_session session(context, with);
    try {
        if (!with.handshake(limits_.handshake)) {
            reason = "no_greeting";
            log_.info("admin-greeting peer=", peer, " error=\"", with.error(), '"');
        } else {
            reason = session.run();
            with.finish();
        }
    } catch (const std::bad_alloc &) {
        reason = "no_memory";
        answer_failure(with, session.progress());
    } catch (const std::exception &failed) {
        answer_failure(with, session.progress());
        log_failure(peer, failed.what());
    }
    record_end(peer, session.requests(), reason);
}

void admin_port::answer_failure(stream &with, request_progress progress) {
    if (progress == request_progress::responding)
        return; // a part of the response may be on its way
    const bool executed = progress == request_progress::executing;
    try {
        with.write_fallback(executed ? proxy::fallback_response::bad_gateway
                                     : proxy::fallback_response::unavailable,
                            failure_write_limit);
        with.close_gracefully(failure_close_limit);
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
        counters_.add(reason);
        log_.info("connection-end side=admin peer=", peer, " requests=", requests, " reason=", reason);
    } catch (const std::bad_alloc &) { // the end goes unrecorded, and the program goes on
    }
}

} // namespace harrierpass::hosted
