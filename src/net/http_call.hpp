// SPDX-License-Identifier: Apache-2.0
// One HTTP request and its response on a connection, within a time limit. Blocks the calling thread, which
// has to be one that may wait (threads.hpp).
#pragma once

#include "net/http.hpp"
#include "net/sockets.hpp"

#include <functional>

namespace harrierpass {

// Sends the request and reads the response within `limit` s. Returns whether the reader has all of it. Where
// `canceled` is given, the call ends early once it returns true; it is asked again after each wake_thread().
bool http_call(const tcp_socket &connection, std::string_view request, http_reader &response, double limit,
               const std::function<bool()> &canceled = {});

// Reads once from the connection into the reader; `incomplete` also where nothing was there.
http_reader::state read_available(http_reader &reader, const tcp_socket &connection);

} // namespace harrierpass
