// SPDX-License-Identifier: Apache-2.0
// Forwards a long request body to an endpoint while it comes from the client. Until its last byte is written
// the endpoint has executed nothing.
#pragma once

#include "net/http.hpp"
#include "proxy/request/active_request.hpp"
#include "proxy/request/attempt_result.hpp"

namespace harrierpass::proxy {

inline constexpr double max_upload_time = 2100; // s that the longest body takes at the lowest rate

// The upload of one request, in the thread of its connection.
class body_upload {
public:
    // `request` has to outlive it.
    explicit body_upload(active_request &request) : request_(request) {}

    // `message` has the head and the beginning of the body. A result of timed_out means that the response is
    // still to come.
    attempt_result run(const tcp_socket &upstream, http_reader &message);

private:
    // Whether the router cancelled the attempt, the request had its final response, or a stop leaves no time.
    bool is_cancelled();
    // The last byte is written: the endpoint may execute the request, and its deadline is counted from now.
    void on_complete();

    active_request &request_;
    bool request_ended_ = false; // the request had its final response while the body came
};

} // namespace harrierpass::proxy
