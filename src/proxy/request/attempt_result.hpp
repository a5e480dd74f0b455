// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "proxy/upstream/upstream_close_reason.hpp"
#include "router/types.hpp"

#include <optional>

namespace harrierpass::proxy {

// The result of one attempt. A complete response is in the reader that was passed to the attempt.
struct attempt_result {
    outcome result = outcome::discarded_unread;
    std::optional<upstream_close_reason> reason; // why the connection closes; empty: the endpoint responded
    bool request_ended = false;      // the router made its final decision before the attempt ended
    bool response_forwarded = false; // at least the beginning of the response was forwarded to the client
    bool response_truncated = false; // the rest of a forwarded response is missing, not due to the endpoint
};

} // namespace harrierpass::proxy
