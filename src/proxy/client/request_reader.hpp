// SPDX-License-Identifier: Apache-2.0
// Reads one request from a client's connection, within the time limits for its head and its body.
#pragma once

#include "net/http.hpp"
#include "proxy/client/client_connection.hpp"
#include "proxy/client/close_reason.hpp"
#include "proxy/request/proxy_context.hpp"

#include <optional>

namespace harrierpass::proxy {

// How the reading of a request ended.
struct request_read_result {
    std::optional<close_reason> failure; // empty: the request is there
    int response_status = 0;             // of a failure: what the client is told; 0: nothing
    bool body_continues = false;         // the buffer is full, and the body goes on
};

// Reads one request, in the thread of its connection.
class request_reader {
public:
    // Both have to outlive it.
    request_reader(proxy_context &context, client_connection &client) : context_(context), client_(client) {}

    // Reads until `message` is complete or its buffer is full.
    request_read_result read(http_reader &message);

private:
    // When the head has to be complete; Unix time, s.
    double head_deadline() const;
    // Moves the deadline for the next bytes with what has come of the body.
    void extend_deadline(const http_reader &message);
    // Sends "100 Continue" once, if the client waits for it.
    void confirm_expectation(const http_reader &message);
    // Waits a while for the next bytes; false: the time for them is over.
    bool wait_for_bytes() const;

    proxy_context &context_;
    client_connection &client_;
    double deadline_ = 0;              // Unix time, s, for the next bytes
    std::optional<double> head_at_;    // when the head was there; Unix time, s
    bool expectation_handled_ = false; // "100 Continue" has been sent
};

} // namespace harrierpass::proxy
