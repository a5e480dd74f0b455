// SPDX-License-Identifier: Apache-2.0
#include "hosted/tls.hpp"

#include "net/buffer_pool.hpp"
#include "net/threads.hpp"
#include "proxy/client/response_writer.hpp"

#include <algorithm>
#include <fcntl.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>
#include <sys/socket.h>

namespace harrierpass::hosted {
namespace {

using proxy::fallback_response;

// The texts of write_fallback_response(), which writes to sockets without TLS.
constexpr std::string_view unavailable_text =
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
constexpr std::string_view bad_gateway_text =
    "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

std::string last_error() {
    std::string text = "unknown";
    if (const auto code = ERR_get_error(); code != 0) {
        const char *const reason = ERR_reason_error_string(code);
        text = reason != nullptr ? reason : "code " + std::to_string(code);
    }
    ERR_clear_error();
    return text;
}

} // namespace

std::shared_ptr<ssl_ctx_st> identity::load(const identity_files &from) {
    std::shared_ptr<SSL_CTX> made(SSL_CTX_new(TLS_server_method()), SSL_CTX_free);
    if (!made)
        throw invalid_identity("no TLS: " + last_error());
    SSL_CTX_set_min_proto_version(made.get(), TLS1_3_VERSION);
    SSL_CTX_set_mode(made.get(), SSL_MODE_ENABLE_PARTIAL_WRITE | SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER |
                                     SSL_MODE_RELEASE_BUFFERS);
    SSL_CTX_set_num_tickets(made.get(), 0); // guards against a session that outlives its identity
    if (SSL_CTX_use_certificate_chain_file(made.get(), from.certificate.c_str()) != 1)
        throw invalid_identity(from.certificate + ": is no certificate: " + last_error());
    const X509 *const own = SSL_CTX_get0_certificate(made.get());
    if (X509_cmp_current_time(X509_get0_notAfter(own)) <= 0)
        throw invalid_identity(from.certificate + ": its time is over");
    if (X509_cmp_current_time(X509_get0_notBefore(own)) > 0)
        throw invalid_identity(from.certificate + ": its time has not come");
    if (SSL_CTX_use_PrivateKey_file(made.get(), from.key.c_str(), SSL_FILETYPE_PEM) != 1)
        throw invalid_identity(from.key + ": is no key of " + from.certificate + ": " + last_error());
    if (!from.callers.empty()) {
        if (SSL_CTX_load_verify_locations(made.get(), from.callers.c_str(), nullptr) != 1)
            throw invalid_identity(from.callers + ": is no authority: " + last_error());
        SSL_CTX_set_verify(made.get(), SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT, nullptr);
    }
    return made;
}

void identity::reload() {
    auto next = load(files_);
    const std::lock_guard hold(lock_);
    now_ = std::move(next);
}

std::shared_ptr<ssl_ctx_st> identity::now() const {
    const std::lock_guard hold(lock_);
    return now_;
}

stream::stream(tcp_socket socket, std::shared_ptr<ssl_ctx_st> as)
    : socket_(std::move(socket)), as_(std::move(as)) {
    fcntl(socket_.get(), F_SETFL, fcntl(socket_.get(), F_GETFL) | O_NONBLOCK);
    if (!as_)
        return;
    tls_ = SSL_new(as_.get());
    if (tls_ != nullptr)
        SSL_set_fd(tls_, socket_.get());
}

stream::~stream() {
    SSL_free(tls_);
}

bool stream::blocked(int got, double until) {
    const int wants = SSL_get_error(tls_, got);
    if (wants != SSL_ERROR_WANT_READ && wants != SSL_ERROR_WANT_WRITE) {
        error_ = last_error();
        return false;
    }
    const double left = until - steady_now();
    if (left <= 0) {
        error_ = "too slow";
        return false;
    }
    pollfd one{socket_.get(), static_cast<short>(wants == SSL_ERROR_WANT_READ ? POLLIN : POLLOUT), 0};
    wait_on({&one, 1}, left);
    return true;
}

bool stream::handshake(double limit) {
    if (!as_)
        return true;
    if (tls_ == nullptr)
        return false;
    const double until = steady_now() + limit;
    for (;;) {
        ERR_clear_error(); // of an earlier connection on this thread
        const int got = SSL_accept(tls_);
        if (got == 1)
            return true;
        if (!blocked(got, until))
            return false;
    }
}

io_result stream::read(char *to, std::size_t size) {
    if (!as_)
        return read_some(socket_, to, size);
    std::size_t got = 0;
    ERR_clear_error();
    const int went = SSL_read_ex(tls_, to, size, &got);
    if (went == 1)
        return {io_status::progressed, got};
    switch (SSL_get_error(tls_, went)) {
    case SSL_ERROR_WANT_READ:
    case SSL_ERROR_WANT_WRITE:
        return {io_status::would_block};
    case SSL_ERROR_ZERO_RETURN:
        return {io_status::closed};
    default:
        error_ = last_error();
        return {io_status::failed};
    }
}

bool stream::write(std::string_view text, double limit) {
    if (!as_)
        return write_all(socket_, text, {}, limit);
    const double until = steady_now() + limit;
    while (!text.empty()) {
        std::size_t wrote = 0;
        ERR_clear_error();
        const int went = SSL_write_ex(tls_, text.data(), text.size(), &wrote);
        if (went != 1 && !blocked(went, until))
            return false;
        if (went == 1)
            text.remove_prefix(wrote);
    }
    return true;
}

bool stream::write_fallback(fallback_response which, double limit) {
    if (!as_)
        return proxy::write_fallback_response(socket_, which, limit);
    return write(which == fallback_response::unavailable ? unavailable_text : bad_gateway_text, limit);
}

bool stream::wait(double limit) {
    if (tls_ != nullptr && SSL_pending(tls_) > 0)
        return true;
    pollfd one{socket_.get(), POLLIN, 0};
    return wait_on({&one, 1}, limit) > 0;
}

void stream::finish() {
    if (tls_ != nullptr)
        SSL_shutdown(tls_);
    ::shutdown(socket_.get(), SHUT_WR);
}

void stream::close_gracefully(double limit) {
    finish();
    harrierpass::close_gracefully(socket_, limit, buffer_size);
}

std::string stream::caller() const {
    if (tls_ == nullptr || SSL_get_verify_result(tls_) != X509_V_OK)
        return {};
    const std::unique_ptr<X509, decltype(&X509_free)> theirs(SSL_get1_peer_certificate(tls_), X509_free);
    if (!theirs)
        return {};
    std::string name(256, '\0');
    const int size = X509_NAME_get_text_by_NID(X509_get_subject_name(theirs.get()), NID_commonName,
                                               name.data(), static_cast<int>(name.size()));
    // Guards against a name with a zero in it, that another reader would cut short.
    name.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return name.find('\0') == std::string::npos ? name : std::string();
}

} // namespace harrierpass::hosted
