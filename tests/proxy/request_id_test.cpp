// SPDX-License-Identifier: Apache-2.0
// Requests whose id comes again after its client has disconnected, at a proxy that is a process of its own.
#include "support/stand.hpp"

#include "net/threads.hpp"

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

// ---- Both processes of an upgrade are one proxy

namespace {

constexpr double at_once = 0.5; // s; far less than any time limit between the processes
// Of the endpoints; a request is open at one process meanwhile. The class `audit` expects it.
constexpr int open_delay_ms = 1000;

// Two processes of one proxy, and a client whose connection leads to the first one.
struct upgrade_fixture {
    explicit upgrade_fixture(int response_delay_ms = open_delay_ms)
        : fixture(options(response_delay_ms)), predecessor(fixture, "predecessor.json"),
          kept(predecessor.port) {
        directory.wait_for_hot_restart_socket();
        CHECK(kept.request(make_request("audit", "0")).starts_with("HTTP/1.1 200"));
        successor = std::make_unique<proxy_process>(fixture, "successor.json");
        predecessor.process.wait_for_output("succeeded");
    }
    static proxy_fixture_options options(int response_delay_ms) {
        return {.port = free_port(),
                .with_control_server = true,
                .start_proxy = false,
                .response_delay_ms = response_delay_ms};
    }
    // Sends a request and waits until it has reached an endpoint.
    void open(test_client &client, const std::string &class_name, const std::string &key) {
        client.send(make_request(class_name, key));
        while (executions_of(key) == 0)
            std::this_thread::yield();
    }
    std::size_t executions_of(const std::string &key) {
        std::size_t count = 0;
        for (auto &server : fixture.servers)
            count += server.count_received("X-Request-Id: 9b" + key + "\r\n");
        return count;
    }
    static std::string status_of(test_client &client, const std::string &request) {
        return client.request(request).substr(0, 12);
    }
    static void kill(proxy_process &killed) {
        killed.process.signal(SIGKILL);
        CHECK(killed.process.wait_for_exit() == -1);
    }
    // Kills one process while it has a request open; returns the other one.
    proxy_process &kill_while_open(bool kills_successor, const std::string &class_name,
                                   const std::string &key) {
        test_client fresh(successor->port);
        open(kills_successor ? fresh : kept, class_name, key);
        kill(kills_successor ? *successor : predecessor);
        return kills_successor ? predecessor : *successor;
    }

    temporary_directory directory;
    proxy_fixture fixture;
    proxy_process predecessor;
    test_client kept;
    std::unique_ptr<proxy_process> successor;
};

} // namespace

// Guards against a request that is executed twice because its id comes to the other process of an upgrade
// while it is open (review/6).
TEST_CASE("request ids: an id that is open at one process of an upgrade is refused by the other one") {
    upgrade_fixture upgrade;
    test_client fresh(upgrade.successor->port);
    upgrade.open(upgrade.kept, "audit", "1");
    CHECK(upgrade_fixture::status_of(fresh, make_request("audit", "1")) == "HTTP/1.1 409");
    CHECK(upgrade.kept.read().starts_with("HTTP/1.1 200"));
    upgrade.open(fresh, "audit", "2");
    CHECK(upgrade_fixture::status_of(upgrade.kept, make_request("audit", "2")) == "HTTP/1.1 409");
    CHECK(fresh.read().starts_with("HTTP/1.1 200"));
    upgrade.predecessor.stop();
    // A second upgrade right after the first one.
    proxy_process third(upgrade.fixture, "third.json");
    upgrade.successor->process.wait_for_output("succeeded");
    test_client latest(third.port);
    upgrade.open(fresh, "audit", "3");
    CHECK(upgrade_fixture::status_of(latest, make_request("audit", "3")) == "HTTP/1.1 409");
    CHECK(fresh.read().starts_with("HTTP/1.1 200"));
    for (const std::string key : {"1", "2", "3"})
        CHECK(upgrade.executions_of(key) == 1);
    upgrade.successor->stop();
    third.stop();
}

// The same where the process that has the request is killed.
TEST_CASE("request ids: an id that was open at a killed process is not executed again") {
    for (const bool kills_successor : {false, true}) {
        CAPTURE(kills_successor);
        upgrade_fixture upgrade;
        proxy_process &survivor = upgrade.kill_while_open(kills_successor, "audit", "1");
        test_client again(survivor.port);
        CHECK(upgrade_fixture::status_of(again, make_request("audit", "1")) == "HTTP/1.1 409");
        CHECK(upgrade_fixture::status_of(again, make_request("audit", "2")) == "HTTP/1.1 200");
        upgrade_fixture::kill(survivor);
        // A process that starts when none is left.
        proxy_process restarted(upgrade.fixture, "restarted.json");
        test_client last(restarted.port);
        CHECK(upgrade_fixture::status_of(last, make_request("audit", "1")) == "HTTP/1.1 409");
        CHECK(upgrade.executions_of("1") == 1);
        restarted.stop();
    }
}

// A client whose request ended with the killed process may send it once more.
TEST_CASE("request ids: an id that was open at a killed process is served if that is harmless") {
    for (const bool kills_successor : {false, true}) {
        CAPTURE(kills_successor);
        upgrade_fixture upgrade(endpoint_delay_ms);
        proxy_process &survivor = upgrade.kill_while_open(kills_successor, "read", "1");
        test_client again(survivor.port);
        const std::string response = again.request(make_request("read", "1"));
        CHECK(status_and_body(response) == "HTTP/1.1 200 [value]");
        survivor.stop();
    }
}

// No request may wait for the answer of a process that gives none.
TEST_CASE("request ids: a process that is stopped holds up no request of the other one") {
    upgrade_fixture upgrade;
    test_client fresh(upgrade.successor->port);
    upgrade.open(upgrade.kept, "audit", "1");
    upgrade.predecessor.process.signal(SIGSTOP);
    const double started = steady_now();
    CHECK(upgrade_fixture::status_of(fresh, make_request("audit", "1")) == "HTTP/1.1 409");
    CHECK(steady_now() - started < at_once);
    CHECK(upgrade_fixture::status_of(fresh, make_request("audit", "2")) == "HTTP/1.1 200");
    CHECK(steady_now() - started < open_delay_ms / 1000.0 + at_once);
    upgrade.predecessor.process.signal(SIGCONT);
    upgrade.predecessor.stop();
    upgrade.successor->stop();
}

} // namespace harrierpass::proxy
