// SPDX-License-Identifier: Apache-2.0
// The requests of one administration connection, one after the other: each is read within limits of time and
// memory, given to the API, and answered. Belongs to the connection's thread.
#pragma once

#include "admin/api.hpp"
#include "base/log.hpp"
#include "hosted/admin_limits.hpp"
#include "hosted/event_counters.hpp"
#include "hosted/tls.hpp"
#include "net/http.hpp"

#include <atomic>
#include <memory>
#include <vector>

namespace harrierpass::hosted {

// How far a connection's current request is.
enum class request_progress : std::uint8_t { reading, executing, responding };

// What the sessions of a listener share. All of it outlives them.
struct session_context {
    admin::api &api;
    log &logger;
    event_counters &counters;
    const admin_limits &limits;
    const std::atomic<bool> &stopping; // requests that have begun are still answered
};

// One connection's requests; not thread-safe.
class admin_session {
public:
    // `connection`: greeted, and outlives the session.
    admin_session(const session_context &context, stream &connection)
        : context_(context), connection_(connection) {}

    // Serves requests until the connection is to end; returns the reason, as logged. Throws std::bad_alloc,
    // and what the API throws.
    const char *run();

    // Requests that were read completely.
    std::uint64_t requests() const { return requests_; }
    // How far the current request is, also after an exception.
    request_progress progress() const { return progress_; }

private:
    // These return the reason to end the connection; null: it goes on.
    // Reads one request and answers it.
    const char *serve_request();
    // Reads until the request is complete.
    const char *read_request();
    // Whether the listener stops, or the time is over.
    const char *check_time();
    // Reads once from the connection, or waits for it to be readable.
    const char *receive(http_reader::state &state);
    // Writes the API's answer.
    const char *respond(const admin::api_answer &answer);

    // Answers what is no usable request. Returns `reason`, for the connection ends.
    const char *refuse(int status, const char *reason);
    // Prepares to read a request, of which the bytes in `pipelined_` are there already.
    void begin_request();
    // Whether more bytes, or a larger buffer, can complete the request.
    bool can_continue(http_reader::state state) const;
    // Reads the same bytes again, with space for the largest body.
    http_reader::state enlarge_buffer();
    // The request as the API takes it.
    admin::api_request parsed_request() const;
    // Logs a request that may have changed something.
    void log_write(const admin::api_request &request, const admin::api_answer &answer) const;
    // False: the caller has not taken all of it.
    bool write(const admin::api_answer &answer, bool keeps_alive);

    const session_context &context_;
    stream &connection_;
    std::string certified_; // the operator's name in the caller's certificate, or empty
    std::uint64_t requests_ = 0;
    request_progress progress_ = request_progress::reading;
    std::vector<char> buffer_; // the request's bytes; grows with them, and shrinks with the next request
    std::unique_ptr<http_reader> reader_;
    std::string pipelined_; // what came after the request before
    double deadline_ = 0;   // of the request, or of the idle time before it
    bool has_received_ = false;
    bool enlarged_ = false;
};

} // namespace harrierpass::hosted
