// SPDX-License-Identifier: Apache-2.0
// Forwards a long request body to an endpoint while it arrives from the client. The endpoint does not execute
// the request until the last byte of the body is written.
#pragma once

#include "net/http.hpp"
#include "proxy/request/active_request.hpp"
#include "proxy/request/attempt_result.hpp"

namespace harrierpass::proxy {

// Time, in seconds, that the longest body takes at the lowest accepted rate.
inline constexpr double max_upload_time = 2100;

// The upload of one request's body, in the thread of the client's connection.
class body_upload {
public:
    // `request` must outlive the upload.
    explicit body_upload(active_request &request) : request_(request) {}

    // `message` contains the head and the beginning of the body. The result timed_out means that the response
    // is still awaited.
    attempt_result run(const tcp_socket &upstream, http_reader &message);

private:
    // Returns whether the router canceled the attempt or made its final decision, or a planned stop leaves no
    // time.
    bool is_cancelled();
    // Handles the last byte: the endpoint may now execute the request, and the deadline counts from here.
    void on_complete();

    active_request &request_;
    bool request_ended_ = false; // the router made its final decision during the upload
};

} // namespace harrierpass::proxy
