// SPDX-License-Identifier: Apache-2.0
// The relay of long bodies on pairs of sockets, whose buffers and ends the tests control.
#include "proxy/client/body_relay.hpp"
#include "support/socket_pair.hpp"

#include "net/threads.hpp"

#include <array>
#include <doctest/doctest.h>
#include <string>
#include <sys/socket.h>
#include <vector>

namespace harrierpass::proxy {
namespace {

using test::socket_pair;

constexpr double time_limit = 0.1;          // s until the deadline of a relay
constexpr std::size_t buffer_size = 65536;  // bytes
constexpr std::size_t body_size = 100000;   // bytes
constexpr std::size_t missing_size = 60000; // bytes of the body that the message does not contain yet

// A request whose head and first part have been read, and the two connections of its relay.
struct relay_fixture {
    relay_fixture() : message(buffer, http_reader::message_kind::request) {
        message.stream_body(max_streamed_body);
        const std::string text = "PUT /book/1 HTTP/1.1\r\nContent-Length: " + std::to_string(body_size) +
                                 "\r\n\r\n" + std::string(body_size - missing_size, 'v');
        std::copy(text.begin(), text.end(), message.free_space().begin());
        REQUIRE(message.received(text.size()) == http_reader::state::incomplete);
    }
    relay_result run() {
        const relay_callbacks callbacks = {.now = steady_now,
                                           .deadline = [this] { return deadline; },
                                           .is_cancelled = [this] { return is_cancelled(); },
                                           .source_time_left = source_time_left};
        return relay_body(message, source.proxy_end, sink.proxy_end, framing::counted, limits, callbacks);
    }

    std::vector<char> buffer = std::vector<char>(buffer_size);
    http_reader message;
    socket_pair source, sink;
    relay_limits limits = {.source_timeout = 5, .sink_timeout = 5, .carries_request = true};
    double deadline = steady_now() + time_limit;
    std::function<bool()> is_cancelled = [] { return false; };
    std::function<double(const relay_waits &)> source_time_left = {};
};

} // namespace

// A request must not reach its endpoint completely once nobody awaits the response: its client sends the last
// byte and disconnects before the relay reads it.
TEST_CASE("body relay: the end of a request is not written after its source has disconnected") {
    relay_fixture relay;
    relay.source.send_from_peer(std::string(missing_size, 'v'));
    ::shutdown(relay.source.peer_end.get(), SHUT_WR);
    CHECK(relay.run() == relay_result::source_disconnected);
    CHECK(relay.sink.readable_size() == body_size - missing_size);
}

// The disconnection is seen at once, also while the sink accepts nothing and bytes of the source are unread.
TEST_CASE("body relay: a source that disconnects ends a request that the sink does not read") {
    relay_fixture relay;
    relay.sink.fill();
    relay.source.send_from_peer(std::string(missing_size, 'v'));
    relay.deadline = steady_now() + relay.limits.sink_timeout;
    relay.is_cancelled = [&] {
        relay.source.peer_end.close(); // during the wait for the sink
        return false;
    };
    CHECK(relay.run() == relay_result::source_disconnected);
}

// The same as the first case for a request that is cancelled in the last moment.
TEST_CASE("body relay: the end of a request is not written after it was cancelled") {
    relay_fixture relay;
    relay.source.send_from_peer(std::string(missing_size, 'v'));
    relay.is_cancelled = [&] { return relay.message.is_complete(); };
    CHECK(relay.run() == relay_result::cancelled);
    CHECK(relay.sink.readable_size() == body_size - missing_size);
}

// An endpoint may reject a request without reading its body.
TEST_CASE("body relay: a response ends a request that the sink does not read") {
    relay_fixture relay;
    relay.sink.fill();
    relay.sink.send_from_peer("HTTP/1.1 503 ");
    CHECK(relay.run() == relay_result::sink_responded);
}

// Only a sink that accepted nothing for some time is taken for one that hangs.
TEST_CASE("body relay: a sink without progress at the deadline has stalled if it made none for long enough") {
    relay_fixture stalled, slow;
    stalled.limits.sink_stall_limit = time_limit / 2;
    slow.limits.sink_stall_limit = time_limit * 20;
    for (auto *relay : {&stalled, &slow})
        relay->sink.fill();
    CHECK(stalled.run() == relay_result::sink_stalled);
    CHECK(slow.run() == relay_result::deadline_passed);
}

// A planned stop sets the deadline of a response while its client reads nothing.
TEST_CASE("body relay: a deadline that is set while the sink accepts nothing ends the relay") {
    relay_fixture relay;
    relay.limits.carries_request = false;
    relay.sink.fill();
    const double started = steady_now();
    relay.deadline = started + relay.limits.sink_timeout * 2;
    relay.is_cancelled = [&] {
        if (steady_now() > started + time_limit)
            relay.deadline = started + time_limit;
        return false;
    };
    CHECK(relay.run() == relay_result::deadline_passed);
    CHECK(steady_now() < started + relay.limits.sink_timeout / 2);
}

// The owner decides how long the source may stay silent. Bytes that came while the sink accepted nothing are
// read even if that time has passed meanwhile.
TEST_CASE("body relay: a source whose time is over is read once more before it is given up") {
    relay_fixture relay;
    relay.limits.carries_request = false;
    relay.deadline = steady_now() + relay.limits.source_timeout;
    relay.source_time_left = [](const relay_waits &) { return -1.0; };
    relay.source.send_from_peer(std::string(missing_size, 'v'));
    CHECK(relay.run() == relay_result::complete);

    relay_fixture silent;
    silent.limits.carries_request = false;
    silent.deadline = steady_now() + silent.limits.source_timeout;
    silent.source_time_left = [](const relay_waits &waits) { return time_limit - waits.for_source; };
    CHECK(silent.run() == relay_result::source_slow);
}

} // namespace harrierpass::proxy
