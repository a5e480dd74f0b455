// SPDX-License-Identifier: Apache-2.0
// A request to the administration API and its answer, without a socket.
#pragma once

#include <string>

namespace harrierpass::admin {

// What a caller sent. Fields that were absent are empty.
struct api_request {
    std::string method, target;
    std::string token;     // "NAME.SECRET", of Authorization: Bearer
    std::string certified; // an operator's name, of a certificate that was verified: then no token is needed
    std::string if_match, if_none_match, idempotency_key, body;
};

// What the caller is to get.
struct api_answer {
    int status = 200; // of HTTP
    std::string body, type = "application/json", etag, location;
    std::string why; // for the log and its counters: a word
};

} // namespace harrierpass::admin
