// SPDX-License-Identifier: Apache-2.0
// TLS 1.3 (RFC 8446) for our listeners, by OpenSSL: identities that are changed while connections go on, and
// a connection that reads and writes within time limits on the proxy's threads.
#pragma once

#include "net/sockets.hpp"

#include <cstdint>
#include <memory>
#include <mutex>
#include <stdexcept>

struct ssl_ctx_st;
struct ssl_st;

namespace harrierpass::proxy {
enum class fallback_response : std::uint8_t;
}

namespace harrierpass::hosted {

// A certificate, key or authority that cannot be used: the message names the file and the cause.
struct invalid_identity : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// The files of an identity.
struct identity_files {
    std::string certificate, key; // PEM; the certificate with its chain
    std::string callers;          // PEM of the authority of callers' certificates; empty: none are asked for
};

// What a listener shows. A new one holds for connections from then on; those that are open keep theirs.
// Thread-safe.
class identity {
public:
    // Throws invalid_identity.
    explicit identity(identity_files from) : files_(std::move(from)), now_(load(files_)) {}
    // Reads the files again. Throws invalid_identity, also for a certificate that is out of its time or does
    // not fit its key, and then the one before goes on.
    void reload();
    // What new connections are to show.
    std::shared_ptr<ssl_ctx_st> now() const;

private:
    // Throws invalid_identity.
    static std::shared_ptr<ssl_ctx_st> load(const identity_files &from);
    const identity_files files_;
    mutable std::mutex lock_; // guards now_
    std::shared_ptr<ssl_ctx_st> now_;
};

// One connection, with TLS or, for loopback and tests, without. Belongs to one thread, which threads.hpp
// started. Limits are seconds.
class stream {
public:
    // `as` may be empty: plain.
    stream(tcp_socket socket, std::shared_ptr<ssl_ctx_st> as);
    ~stream();
    stream(const stream &) = delete;
    stream &operator=(const stream &) = delete;

    // The TLS handshake. False: it failed, and error() says how.
    bool handshake(double limit);
    // Reads what is there now, as read_some(). A failure of TLS has no errno: error() says what it was.
    [[nodiscard]] io_result read(char *to, std::size_t size);
    // Writes all of the text. False: the caller has not taken it in time, or is gone.
    bool write(std::string_view text, double limit);
    // Waits for bytes, or an end. False: none in time, or wake_thread() named this thread.
    bool wait(double limit);
    // Writes a constant response, for a connection that a failure of the service itself ends. Does not use
    // the C++ heap. False: the caller has not taken all of it.
    bool write_fallback(proxy::fallback_response which, double limit);
    // Tells the caller that nothing more comes.
    void finish();
    // finish(), then drops what the caller still sends, for at most `limit` s, so that the connection's end
    // does not destroy a response on its way, and closes.
    void close_gracefully(double limit);
    // The cause of the last failure of TLS.
    const std::string &error() const { return error_; }
    // The common name of a caller's certificate that its authority stands for; empty: there is none.
    std::string caller() const;

private:
    // Waits for what TLS needs after a call returned `got`. False: the connection failed, or the time is
    // over.
    bool blocked(int got, double until);
    tcp_socket socket_;
    std::shared_ptr<ssl_ctx_st> as_;
    ssl_st *tls_ = nullptr;
    std::string error_;
};

} // namespace harrierpass::hosted
