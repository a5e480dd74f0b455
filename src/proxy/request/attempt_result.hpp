// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "proxy/upstream/upstream_close_reason.hpp"
#include "router/types.hpp"

#include <optional>

namespace harrierpass::proxy {

// What one attempt came to. Its response, if it is whole, is in the reader that the attempt was given.
struct attempt_result {
    outcome result = outcome::discarded_unread;
    std::optional<upstream_close_reason> reason; // why its connection ends; empty: the attempt was answered
    bool request_ended = false;      // the request had its final response before the attempt ended
    bool response_forwarded = false; // the response, or its beginning, was forwarded to the client
    bool response_truncated = false; // ... and its rest is missing, by no fault of the endpoint
};

} // namespace harrierpass::proxy
