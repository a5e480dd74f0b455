// SPDX-License-Identifier: Apache-2.0
// Forwards a long request body to an endpoint while it arrives from the client. The endpoint does not execute
// the request until the last byte of the body is written.
//
// The client's timeout starts when it has sent its last byte, which may wait in the buffers of two sockets
// until the endpoint accepts more data. The deadline therefore counts from the last moment at which the body
// was certainly incomplete.
#pragma once

#include "net/http.hpp"
#include "proxy/client/body_relay.hpp"
#include "proxy/request/active_request.hpp"
#include "proxy/request/attempt_result.hpp"

#include <cstddef>

namespace harrierpass::proxy {

// Time, in seconds, that the longest body takes at the lowest accepted rate.
inline constexpr double max_upload_time = 2100;

// Bytes of a request that may wait in its client's send buffer.
inline constexpr std::size_t max_client_send_buffer = 16UL * 1024 * 1024;

// Extends the deadline of a request with a streamed body if the client has not sent its last byte yet: it
// sent nothing that is unread, or the head announces more than can be unread. `message` contains the body.
void extend_deadline_if_incomplete(active_request &request, const http_reader &message);

// The upload of one request's body, in the thread of the client's connection.
class body_upload {
public:
    // Both arguments must outlive the upload. `message` contains the head and the beginning of the body.
    body_upload(active_request &request, http_reader &message) : request_(request), message_(message) {}

    // The result timed_out means that the response is still awaited.
    attempt_result run(const tcp_socket &upstream);

private:
    // The result of an upload that ended before the last byte was written, or while the response is awaited.
    attempt_result result_of(relay_result relayed);
    // Returns whether the router canceled the attempt or made its final decision, or a planned stop leaves no
    // time.
    bool is_cancelled();
    // Handles the last byte: the endpoint may now execute the request.
    void on_complete();

    active_request &request_;
    http_reader &message_;
    bool request_ended_ = false; // the router made its final decision during the upload
};

} // namespace harrierpass::proxy
