// SPDX-License-Identifier: Apache-2.0
// Planned stops: SIGTERM, then SIGKILL at the earliest moment that the deployment allows, which is 0.7 s plus
// the longest deadline of its settings (3 s at most) after SIGTERM. Until then clients keep using the
// connections that stay open. See docs/incidents/planned-stop.md.
#include "support/stand.hpp"

#include "net/threads.hpp"

#include <random>

namespace harrierpass::proxy {
namespace {

constexpr double kill_delay = 0.7; // s in addition to the longest deadline
constexpr int client_count = 12;   // within the concurrency limits of two servers
constexpr double max_pause = 0.2;  // s between two requests of one client
constexpr const char *request_id_field = "X-Request-Id: ";

// A client that sends requests one after another with pauses, on one connection until it is closed.
struct steady_client {
    steady_client(int port, int number) : connection(port), name(std::to_string(number)), random(number) {}

    void run(const std::function<bool()> &stopped) {
        std::uniform_real_distribution<double> pause(0, max_pause);
        for (int count = 0; !stopped(); ++count) {
            std::this_thread::sleep_for(std::chrono::duration<double>(pause(random)));
            const std::string key = name + "x" + std::to_string(count);
            const std::string response = connection.request(make_request("read", key, "128m"));
            if (response.empty()) {
                unanswered_id = "9b" + key;
                return;
            }
            ++response_count;
            if (response.find("\r\nConnection: close\r\n") != std::string::npos)
                return;
        }
    }

    test_client connection;
    std::string name;
    std::minstd_rand random;
    int response_count = 0;
    std::string unanswered_id; // of a request whose connection was closed without a response
};

// Stops the proxy under load, kills it at the earliest moment, and returns how many requests reached a server
// but got no response. Calls `before_stop` just before SIGTERM.
int requests_lost_at_earliest_kill(
    int longest_deadline_ms, proxy_fixture &fixture, proxy_process &proxy,
    const std::function<void()> &before_stop = [] {}) {
    std::list<steady_client> clients;
    std::list<std::thread> threads;
    std::atomic<bool> stopped = false;
    for (int i = 0; i < client_count; ++i) {
        auto &client = clients.emplace_back(proxy.port, i + 1);
        threads.emplace_back([&] { client.run([&] { return stopped.load(); }); });
    }
    fixture.servers[0].wait_for_total_requests(fixture.servers[1], std::size_t{4} * client_count);
    before_stop();
    proxy.process.signal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::duration<double>(longest_deadline_ms * 1e-3 + kill_delay));
    proxy.process.signal(SIGKILL);
    stopped = true;
    for (auto &thread : threads)
        thread.join();
    int lost = 0;
    for (const auto &client : clients) {
        CHECK(client.response_count > 0);
        const std::string field = request_id_field + client.unanswered_id;
        lost += !client.unanswered_id.empty() &&
                (fixture.servers[0].has_received(field) || fixture.servers[1].has_received(field));
    }
    CHECK(proxy.process.wait_for_exit() == 0); // it exited before the kill
    return lost;
}

} // namespace

// Requests must not be lost if all deadlines are short: a request that is read during the stop has its
// response before the earliest kill, whatever the longest deadline is.
TEST_CASE("planned stop: every request has its response before the earliest kill") {
    for (const int longest_deadline_ms : {150, 270, 345, 1000})
        for (int round = 0; round < 3; ++round) {
            CAPTURE(longest_deadline_ms);
            proxy_fixture fixture(
                {.request_timeout_ms = longest_deadline_ms, .start_proxy = false, .response_delay_ms = 60});
            proxy_process proxy(fixture, "planned-stop.json");
            CHECK(requests_lost_at_earliest_kill(longest_deadline_ms, fixture, proxy) == 0);
        }
}

// A stop after a reload: SIGTERM arrives while settings with shorter deadlines are not in force yet, because
// their endpoint list is missing. The platform may already use the shorter deadlines.
TEST_CASE("planned stop: deadlines of a pending reload shorten the schedule") {
    constexpr int shorter_deadline_ms = 150;
    proxy_fixture fixture({.request_timeout_ms = 1000, .start_proxy = false, .response_delay_ms = 60});
    proxy_process proxy(fixture, "planned-stop-reload.json");
    const auto reload = [&] {
        fixture.discovery_silent = true;
        const std::string old_timeout = "\"statementTimeoutMs\":1000";
        const std::string new_timeout = "\"statementTimeoutMs\":" + std::to_string(shorter_deadline_ms);
        std::string text = fixture.config;
        for (std::size_t position; (position = text.find(old_timeout)) != std::string::npos;)
            text.replace(position, old_timeout.size(), new_timeout);
        proxy.reload(text);
        proxy.process.wait_for_output("reloaded ");
    };
    CHECK(requests_lost_at_earliest_kill(shorter_deadline_ms, fixture, proxy, reload) == 0);
}

// A slow client: its request is still incomplete when the stop leaves no more time for it.
TEST_CASE("planned stop: an incomplete request is rejected before the earliest kill") {
    proxy_fixture fixture({.request_timeout_ms = 150, .start_proxy = false});
    proxy_process proxy(fixture, "planned-stop-half.json");
    test_client client(proxy.port);
    const std::string request = make_request("book", "1", "100m");
    client.send(request.substr(0, request.size() - 2));
    proxy.process.signal(SIGTERM);
    CHECK(client.read().starts_with("HTTP/1.1 503"));
    CHECK(client.wait_for_close());
    CHECK(proxy.process.wait_for_exit() == 0);
    CHECK(fixture.attempt_count() == 0);
}

// The load balancer sends new connections for up to 0.4 s after SIGTERM, however short the deadlines are.
TEST_CASE("planned stop: new connections are accepted while the load balancer sends them") {
    proxy_fixture fixture({.request_timeout_ms = 40, .start_proxy = false});
    proxy_process proxy(fixture, "planned-stop-front.json");
    proxy.process.signal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    CHECK(test_client(proxy.port).request("GET /_health HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 503"));
    CHECK(proxy.process.wait_for_exit() == 0);
}

// The order of the times in the schedule and the margins between them.
TEST_CASE("planned stop: the schedule keeps its margins for every longest deadline") {
    constexpr double load_balancer_delay = 0.4; // s during which the load balancer sends new connections
    constexpr double stall = 0.15;              // s for which a process may be stalled
    for (const double longest : {0.0, 0.01, 0.1, 0.27, 0.345, 0.5, 0.9, 1.0, 1.5, 2.0, 3.0, 5.0, 60.0}) {
        CAPTURE(longest);
        const stop_schedule stop = stop_schedule_for(longest);
        CHECK(stop.earliest_kill == doctest::Approx(std::min(longest, 3.0) + kill_delay));
        CHECK(stop.respond_by <= stop.earliest_kill - stall);
        CHECK(stop.accept_until > load_balancer_delay);
        CHECK(stop.accept_until <= stop.earliest_kill - stall);
        CHECK(stop.close_idle > 0);
        CHECK(stop.close_idle + stop.min_idle < stop.respond_by);
    }
    CHECK(longest_deadline(std::vector{0.2, 0.345, 0.1}) == 0.345);
    CHECK(longest_deadline({}) == 0);
}

} // namespace harrierpass::proxy
