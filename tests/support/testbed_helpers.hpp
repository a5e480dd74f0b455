// SPDX-License-Identifier: Apache-2.0
// What the testbed's tests share: parts of experiment texts, the histories of broken rules in the test's
// output, waiting for events in a loop, and a client connection that keeps what it is told.
#pragma once

#include "testbed/loop/channel.hpp"
#include "testbed/verification/result.hpp"

#include <doctest/doctest.h>
#include <functional>
#include <memory>
#include <string>

namespace harrierpass::testbed {

// Times of a request class, as experiment files write them.
struct class_times {
    std::string work = "8ms", objective = "200ms", timeout = "600ms";
};

// One request class of an experiment's text; `fields`: further lines of it.
inline std::string request_class(const std::string &name, const std::string &fields = "",
                                 const class_times &times = {}) {
    return "[[use_case]]\nname = \"" + name + "\"\n" + fields + "work = \"" + times.work + "\"\nslo = \"" +
           times.objective + "\"\ntimeout = \"" + times.timeout + "\"\n";
}

// One fault of an experiment's text; `fields`: further lines of it.
inline std::string fault(const std::string &kind, const std::string &at, const std::string &fields) {
    return "[[fault]]\nkind = \"" + kind + "\"\nat = \"" + at + "\"\n" + fields + "\n";
}

// One fault of links, from the first second to the second one.
inline std::string link_fault(const std::string &kind, const std::string &fields) {
    return "[[link]]\nkind = \"" + kind + "\"\nat = \"1s\"\nfor = \"1s\"\n" + fields + "\n";
}

// Prints the histories of the requests for which a run broke a rule.
inline void print_histories(const run_result &run) {
    for (const auto &each : run.histories)
        MESSAGE(each);
}

// Runs the loop until something is there, or fails.
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
