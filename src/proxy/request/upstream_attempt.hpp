// SPDX-License-Identifier: Apache-2.0
// One attempt of a request at the endpoint that the router chose: connect, send, await the response. Whatever
// fails before the last byte of the request is written was not executed; after that it may have been.
#pragma once

#include "net/http.hpp"
#include "proxy/client/response_writer.hpp"
#include "proxy/request/active_request.hpp"
#include "proxy/request/attempt_result.hpp"

#include <optional>
#include <string_view>

namespace harrierpass::proxy {

// One attempt, in the thread of its request's connection. Run once.
class upstream_attempt {
public:
    // `message` is the request as it was read; the response goes to `response`, which is fresh.
    upstream_attempt(active_request &request, response_writer &writer, const routing_decision &decision,
                     http_reader &message, http_reader &response)
        : request_(request), context_(request.context), writer_(writer), decision_(decision),
          message_(message), response_(response) {}

    // Makes the attempt and reuses or closes its connection.
    attempt_result run();

private:
    // What the first write came to, which is made only where the decision still holds.
    struct first_write {
        std::optional<io_status> status; // empty: it was not made
        double deadline = 0;             // Unix time, s, for the last byte
    };

    // Acquires a connection; without one afterwards, the result says why.
    attempt_result connect();
    // Writes the request. A result of timed_out means that the response is to be awaited.
    attempt_result send();
    // Checks the decision once more and makes the first write, which does not wait; what was written is taken
    // off `head` and `body`. `time_left`: s, as the endpoint is told.
    first_write begin_write(std::string_view &head, std::string_view &body, double time_left);
    // Reads the response until it is complete, is forwarded, or is given up.
    attempt_result await_response();
    // The result where the attempt was cancelled or is out of time; empty: the wait goes on.
    std::optional<attempt_result> ended_while_waiting();
    // Waits a while for the response; whether there is something to read. Notices a client that leaves.
    bool wait_for_response(double time_left);
    // The result of a response that was read, or broke, in this state.
    attempt_result result_of(http_reader::state state);
    // Whether the response is forwarded as it comes, instead of being held complete.
    bool is_long(http_reader::state state) const;
    // Forwards a long response to the client.
    attempt_result forward_response();
    // Whether the router has made its final decision on the request.
    bool request_has_ended();
    // s until a response that has begun and does not go on is given up.
    double time_until_stalled() const;
    // Writes the attempt's line of the log.
    void log_end(const attempt_result &result) const;
    // Releases the connection for reuse, or closes it.
    void end_connection(const attempt_result &result);

    active_request &request_;
    proxy_context &context_;
    response_writer &writer_;
    const routing_decision decision_;
    http_reader &message_;
    http_reader &response_;
    upstream_connection connection_;
    double last_received_at_ = 0;            // when the response last went on; Unix time, s
    std::optional<double> response_head_at_; // when its head was there; Unix time, s
};

} // namespace harrierpass::proxy
