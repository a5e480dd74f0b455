// SPDX-License-Identifier: Apache-2.0
// One question and its answer on a connection, within a time limit.
#pragma once

#include "net/http.hpp"
#include "net/sockets.hpp"

#include <functional>

namespace harrierpass {

// True: the whole answer is in the reader. A wait that is called ends where `over` says so.
bool http_call(const tcp_socket &with, std::string_view question, http_reader &answer, double limit,
               const std::function<bool()> &over = {});

// What one read from a connection brought the reader: `more` also when nothing was there.
http_reader::state read_available(http_reader &reader, const tcp_socket &from);

} // namespace harrierpass
