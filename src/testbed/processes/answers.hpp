// SPDX-License-Identifier: Apache-2.0
// Helpers of the stand-ins on sockets: HTTP responses as text, parameters of a target, listeners.
#pragma once

#include "net/sockets.hpp"

#include <string>
#include <string_view>

namespace harrierpass::testbed {

// A whole HTTP/1.1 response. `fields`: further header lines, each with its line end.
std::string text_answer(int status, std::string_view fields, std::string_view body);
// The number behind a name in a target such as "/catalog/members?since=41&timeout_ms=20000"; -1 without.
long number_in(std::string_view target, std::string_view name);
tcp_socket must_listen(const address &at); // throws std::system_error
address loopback(int port);                // 127.0.0.1

} // namespace harrierpass::testbed
