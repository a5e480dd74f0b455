// SPDX-License-Identifier: Apache-2.0
// Requests whose id comes again after its client has disconnected, at a proxy that is a process of its own.
#include "support/stand.hpp"

namespace harrierpass::proxy {
namespace {

constexpr int endpoint_delay_ms = 300; // the clients disconnect meanwhile

// Sends a request, disconnects while it is at its endpoint, and sends it again on a new connection once the
// proxy has released the first one. Returns the status of the second response.
std::string status_of_repeated_request(proxy_fixture &fixture, const std::string &class_name) {
    proxy_process proxy(fixture, "request-id.json");
    const std::string request = make_request(class_name, "1");
    {
        test_client first(proxy.port);
        first.send(request);
        fixture.wait_for_attempt();
    }
    proxy.process.wait_for_output("reason=client_left");
    return test_client(proxy.port).request(request).substr(0, 12);
}

proxy_fixture_options options_with_responses(const std::vector<std::string> &responses) {
    return {.responses = responses, .start_proxy = false, .response_delay_ms = endpoint_delay_ms};
}

} // namespace

// Guards against an effect that happens twice because its id comes again after its client has left (report
// 33b532).
TEST_CASE("request ids: a request that was executed for a client that left is not executed again") {
    for (const std::string class_name : {"bill", "book"}) {
        CAPTURE(class_name);
        proxy_fixture answered(options_with_responses({}));
        CHECK(status_of_repeated_request(answered, class_name) == "HTTP/1.1 409");
        CHECK(answered.attempt_count() == 1);
        proxy_fixture possibly_executed(options_with_responses({"reset"}));
        CHECK(status_of_repeated_request(possibly_executed, class_name) == "HTTP/1.1 409");
    }
}

TEST_CASE("request ids: an id may come again if nothing was executed or a second execution is harmless") {
    const std::string not_executed = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    proxy_fixture unexecuted(options_with_responses({not_executed}));
    CHECK(status_of_repeated_request(unexecuted, "bill") == "HTTP/1.1 200");
    proxy_fixture idempotent(options_with_responses({}));
    CHECK(status_of_repeated_request(idempotent, "read") == "HTTP/1.1 200");
}

TEST_CASE("request ids: an id may come again after its client has read the response and closed at once") {
    proxy_fixture fixture({.start_proxy = false});
    proxy_process proxy(fixture, "request-id.json");
    for (int i = 0; i < 200; ++i)
        REQUIRE(status_and_body(test_client(proxy.port).request(make_request("bill", "1"))) ==
                "HTTP/1.1 200 [value]");
}

// Guards against an effect that happens twice because its id comes again at the other process of an upgrade
// (report 33b532).
TEST_CASE("request ids: an executed request is not executed again by a process that takes over") {
    const temporary_directory directory;
    auto options = options_with_responses({});
    options.port = free_port();
    options.with_control_server = true;
    proxy_fixture fixture(options);
    proxy_process predecessor(fixture, "predecessor.json");
    directory.wait_for_hot_restart_socket();
    const std::string request = make_request("bill", "1");
    {
        test_client first(predecessor.port);
        first.send(request);
        fixture.wait_for_attempt();
    }
    predecessor.process.wait_for_output("reason=client_left");
    proxy_process successor(fixture, "successor.json");
    predecessor.process.wait_for_output("succeeded");
    CHECK(test_client(successor.port).request(request).substr(0, 12) == "HTTP/1.1 409");
    CHECK(fixture.attempt_count() == 1);
    predecessor.stop();
    successor.stop();
}

} // namespace harrierpass::proxy
