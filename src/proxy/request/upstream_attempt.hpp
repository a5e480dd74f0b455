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

class upstream_attempt {
public:
    // `message` is the request as it was read; the response goes to `response`, which is fresh.
    upstream_attempt(active_request &request, response_writer &writer, const routing_decision &decision,
                     http_reader &message, http_reader &response)
        : request_(request), context_(request.context), writer_(writer), decision_(decision),
          message_(message), response_(response) {}

    attempt_result run();

private:
    // What the first write came to, which is made only where the decision still holds.
    struct first_write {
        std::optional<io_status> status; // empty: it was not made
        double deadline = 0;             // Unix time, s, for the last byte
    };

    attempt_result connect();
    attempt_result send();
    first_write begin_write(std::string_view &head, std::string_view &body, double time_left);
    attempt_result await_response();
    std::optional<attempt_result> ended_while_waiting();
    bool wait_for_response(double time_left);
    attempt_result result_of(http_reader::state state);
    bool is_long(http_reader::state state) const;
    attempt_result forward_response();
    bool request_has_ended();
    double time_until_stalled() const;
    void log_end(const attempt_result &result) const;
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
