// SPDX-License-Identifier: Apache-2.0
// Sends one HTTP request on a connection and reads its response within a time limit. Blocks the calling
// thread, which has to be one that may call wait_on() (threads.hpp).
#pragma once

#include "net/http.hpp"
#include "net/sockets.hpp"

#include <functional>

namespace harrierpass {

// Sends the request and reads the response within `limit` s. Returns whether the response is complete.
// Returns early once `canceled` returns true; it is evaluated again after each wake_thread().
bool http_call(const tcp_socket &connection, std::string_view request, http_reader &response, double limit,
               const std::function<bool()> &canceled = {});

// Reads once from the connection into the reader. Returns `incomplete` also if no bytes were available.
http_reader::state read_available(http_reader &reader, const tcp_socket &connection);

} // namespace harrierpass
