// SPDX-License-Identifier: Apache-2.0
// What the stand-ins on sockets have in common: an answer as text, a listener that must come up.
#pragma once

#include "net/sockets.hpp"

#include <string>
#include <string_view>

namespace harrierpass::testbed {

std::string text_answer(int status, std::string_view fields, std::string_view body);
// The number behind a name in a target such as "/catalog/members?since=41&timeout_ms=20000"; -1: none.
long number_in(std::string_view target, std::string_view name);
tcp_socket must_listen(const address &at); // throws std::system_error
address loopback(int port);                // 127.0.0.1

} // namespace harrierpass::testbed
