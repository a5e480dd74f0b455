// SPDX-License-Identifier: Apache-2.0
#include "proxy/operations/hot_restart.hpp"

#include <doctest/doctest.h>

namespace harrierpass::proxy {

// Processes of different releases talk to each other, so the form on the wire may not change.
TEST_CASE("hot restart: the form of each message on the wire") {
    using kind = peer_message::kind;
    const std::vector<std::pair<peer_message, std::string>> messages = {
        {{kind::hello, ""}, "h0:"},
        {{kind::endpoint_disabled, "s0"}, "o2:s0"},
        {{kind::endpoint_enabled, "s0"}, "b2:s0"},
        {{kind::endpoint_enabled_at, "1.5 s0"}, "t6:1.5 s0"},
        {{kind::draining, "1"}, "a1:1"},
        {{kind::ready, ""}, "r0:"},
        {{kind::usage, to_text({.descriptors = 12, .clients = 3})}, "u4:12 3"},
        {{kind::done, ""}, "d0:"}};
    for (const auto &each : messages) {
        const peer_message &message = each.first;
        const std::string &wire = each.second;
        CAPTURE(wire);
        CHECK(to_message({message}) == wire);
        const auto read = read_message(wire);
        REQUIRE(read.size() == 1);
        CHECK(read[0].type == message.type);
        CHECK(read[0].text == message.text);
    }
}

} // namespace harrierpass::proxy
