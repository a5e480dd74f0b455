// SPDX-License-Identifier: Apache-2.0
// One attempt of a request at the endpoint that the router chose: connects, sends the request, awaits the
// response. An attempt that fails before the last byte of the request is written was not executed; after that
// it may have been.
#pragma once

#include "net/http.hpp"
#include "proxy/client/response_writer.hpp"
#include "proxy/request/active_request.hpp"
#include "proxy/request/attempt_result.hpp"
#include "router/response_stall.hpp"

#include <optional>
#include <string_view>

namespace harrierpass::proxy {

// One attempt, in the thread of the client's connection; run() is called once.
class upstream_attempt {
public:
    // `message` contains the request; `response` is an empty reader, which receives the response.
    upstream_attempt(active_request &request, response_writer &writer, const routing_decision &decision,
                     http_reader &message, http_reader &response)
        : request_(request), context_(request.context), writer_(writer), decision_(decision),
          message_(message), response_(response) {}

    // Makes the attempt and reuses or closes its connection.
    attempt_result run();

private:
    // Result of the first write, which is made only while the router's decision is still valid.
    struct first_write {
        std::optional<io_status> status; // empty: nothing was written
        double deadline = 0;             // for the last byte; Unix time in seconds
    };

    // Acquires a connection. If there is none afterwards, the result is the reason.
    attempt_result connect();
    // Writes the request. The result timed_out means that the response is still awaited.
    attempt_result send();
    // Checks the decision again and makes the first write, which does not block; removes the written bytes
    // from `head` and `body`. `time_left`: seconds that the endpoint is given.
    first_write begin_write(std::string_view &head, std::string_view &body, double time_left);
    // Reads the response until it is complete, forwarded or abandoned.
    attempt_result await_response();
    // Returns the result if the attempt was canceled, is past its deadline or is given up as stalled; empty:
    // it waits on.
    std::optional<attempt_result> result_if_ended();
    // Waits for at most `time_left` seconds; returns whether there are bytes to read. Detects that the client
    // disconnected.
    bool wait_for_response(double time_left);
    // Returns the result for a reader that ended in this state.
    attempt_result result_of(http_reader::state state);
    // Returns whether the response has to be forwarded while it arrives, instead of being buffered.
    bool must_stream(http_reader::state state) const;
    // Forwards the response to the client while it arrives.
    attempt_result forward_response();
    // Returns whether the router has made its final decision on the request.
    bool request_has_ended();
    // Returns the result for a response that has stalled; empty: it may still be completed.
    std::optional<attempt_result> result_if_given_up(bool is_over, bool request_ended);
    // The progress of a response that has begun.
    response_progress progress() const;
    // Reports once that the response has begun and pauses.
    void report_pause();
    // Logs the end of the attempt.
    void log_end(const attempt_result &result) const;
    // Releases the connection for reuse, or closes it.
    void end_connection(const attempt_result &result);
    // Returns whether the request and its response have passed completely, so that the next request on the
    // connection is understood as one.
    bool is_connection_reusable() const;

    active_request &request_;
    proxy_context &context_;
    response_writer &writer_;
    const routing_decision decision_;
    http_reader &message_;
    http_reader &response_;
    upstream_connection connection_;
    double last_received_at_ = 0;            // last progress of the response; Unix time in seconds
    std::optional<double> response_head_at_; // arrival of the head; Unix time in seconds
    bool pause_reported_ = false;
};

} // namespace harrierpass::proxy
