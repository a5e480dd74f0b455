// SPDX-License-Identifier: Apache-2.0
// Reads one request from a client's connection, within the time limits for its head and its body.
#pragma once

#include "net/http.hpp"
#include "proxy/client/client_connection.hpp"
#include "proxy/client/close_reason.hpp"
#include "proxy/request/proxy_context.hpp"

#include <optional>

namespace harrierpass::proxy {

// The result of reading a request.
struct request_read_result {
    std::optional<close_reason> failure; // empty: the request was read
    int response_status = 0;             // status of the response to a failure; 0: no response
    bool body_continues = false;         // the buffer is full and the body is incomplete
};

// Reads one request in the thread of its connection.
class request_reader {
public:
    // Both arguments must outlive the reader.
    request_reader(proxy_context &context, client_connection &client) : context_(context), client_(client) {}

    // Reads until `message` is complete or its buffer is full.
    request_read_result read(http_reader &message);

private:
    // The time by which the head must be complete; Unix time, s.
    double head_deadline() const;
    // Extends the deadline for the next bytes according to the bytes of the body received so far.
    void extend_deadline(const http_reader &message);
    // Sends "100 Continue" once if the client expects it.
    void confirm_expectation(const http_reader &message);
    // Waits for the next bytes, for at most stop_check_period. Returns false if the deadline has passed.
    bool wait_for_bytes() const;

    proxy_context &context_;
    client_connection &client_;
    double deadline_ = 0;                    // for the next bytes; Unix time, s
    std::optional<double> head_received_at_; // Unix time, s
    bool expectation_handled_ = false;       // "100 Continue" has been sent
};

} // namespace harrierpass::proxy
