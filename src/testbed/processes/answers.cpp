// SPDX-License-Identifier: Apache-2.0
#include "testbed/processes/answers.hpp"

#include <cerrno>
#include <charconv>
#include <system_error>

namespace harrierpass::testbed {

std::string text_answer(int status, std::string_view fields, std::string_view body) {
    std::string made = "HTTP/1.1 " + std::to_string(status);
    made.append(status == 200 ? " OK\r\n" : " No\r\n").append(fields);
    return made.append("Content-Length: ")
        .append(std::to_string(body.size()))
        .append("\r\n\r\n")
        .append(body);
}

long number_in(std::string_view target, std::string_view name) {
    const auto at = target.find(name);
    long value = -1;
    if (at != std::string_view::npos)
        std::from_chars(target.data() + at + name.size(), target.data() + target.size(), value);
    return value;
}

tcp_socket must_listen(const address &at) {
    tcp_socket made = listen_on(at);
    if (!made)
        throw std::system_error(errno, std::generic_category(), "cannot listen on " + to_text(at));
    return made;
}

address loopback(int port) {
    return *parse_address("127.0.0.1:" + std::to_string(port));
}

} // namespace harrierpass::testbed
