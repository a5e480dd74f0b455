// SPDX-License-Identifier: Apache-2.0
// What the laboratory's tests share: waiting for events in its loop, and a caller that keeps what it is told.
#pragma once

#include "testbed/loop/channel.hpp"

#include <doctest/doctest.h>

namespace harrierpass::testbed {

// Plays the loop until something is there, or fails.
inline void until(loop &in, const std::function<bool()> &what, int line = __builtin_LINE()) {
    const double end = in.clock.now() + 20;
    in.run([&] { return what() || in.clock.now() > end; });
    CAPTURE(line);
    REQUIRE(what());
}

struct caller {
    caller(loop &with, const std::string &to)
        : on(std::make_shared<channel>(with, start_connecting(*parse_address(to)),
                                       http_reader::message_kind::response)) {
        on->on_message = [this](const auto &, const http_reader &answer) {
            said = std::to_string(answer.head().status) + " " + std::string(answer.head().header("X-Cache"));
            ++count;
        };
        on->on_end = [this](const auto &, channel::ending how) {
            ended = true;
            why = how;
        };
        on->start(true);
    }
    void get(const std::string &id, const std::string &path) {
        on->send("GET " + path + " HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + id + "\r\n\r\n");
    }
    std::shared_ptr<channel> on;
    std::string said;
    int count = 0;
    bool ended = false;
    channel::ending why = channel::ending::closed;
};

} // namespace harrierpass::testbed
