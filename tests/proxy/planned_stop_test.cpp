// SPDX-License-Identifier: Apache-2.0
// Planned stops: SIGTERM, then SIGKILL at the earliest moment that the deployment allows, which is the
// longest deadline of its settings (3 s at most) and 0.7 s after the signal. Clients go on using the
// connections that stay open until then. See docs/incidents/planned-stop.md.
#include "support/stand.hpp"

#include "net/threads.hpp"

#include <random>

namespace harrierpass::proxy {
namespace {

constexpr double kill_delay = 0.7;    // s beside the longest deadline
constexpr int clients_at_once = 12;   // few enough for two servers' limits
constexpr double longest_pause = 0.2; // s between two requests of one client
constexpr const char *field = "X-Request-Id: ";

// A client that asks, waits for the answer and pauses, on one connection for as long as that stays open.
struct steady_client {
    steady_client(int port, int number) : connection(port), name(std::to_string(number)), pauses(number) {}

    void run(const std::function<bool()> &over) {
        std::uniform_real_distribution<double> pause(0, longest_pause);
        for (int count = 0; !over(); ++count) {
            std::this_thread::sleep_for(std::chrono::duration<double>(pause(pauses)));
            const std::string key = name + "x" + std::to_string(count);
            const std::string answer = connection.request(make_request("read", key, "128m"));
            if (answer.empty()) {
                unanswered = "9b" + key;
                return;
            }
            ++answered;
            if (answer.find("\r\nConnection: close\r\n") != std::string::npos)
                return;
        }
    }

    test_client connection;
    std::string name;
    std::minstd_rand pauses;
    int answered = 0;
    std::string unanswered; // the id of a request whose connection ended without an answer
};

// How many requests the process had read, as a server saw them, and never answered. `before_stop`: what
// happens to the process just before the signal.
int lost_at_earliest_kill(
    int longest_deadline_ms, proxy_fixture &fixture, proxy_process &process,
    const std::function<void()> &before_stop = [] {}) {
    std::list<steady_client> clients;
    std::list<std::thread> threads;
    std::atomic<bool> over = false;
    for (int i = 0; i < clients_at_once; ++i) {
        auto &client = clients.emplace_back(process.port, i + 1);
        threads.emplace_back([&] { client.run([&] { return over.load(); }); });
    }
    fixture.servers[0].wait_for_total_requests(fixture.servers[1], std::size_t{4} * clients_at_once);
    before_stop();
    process.process.signal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::duration<double>(longest_deadline_ms * 1e-3 + kill_delay));
    process.process.signal(SIGKILL);
    over = true;
    for (auto &each : threads)
        each.join();
    int lost = 0;
    for (const auto &each : clients) {
        CHECK(each.answered > 0);
        const std::string id = field + each.unanswered;
        lost += !each.unanswered.empty() &&
                (fixture.servers[0].has_received(id) || fixture.servers[1].has_received(id));
    }
    CHECK(process.process.wait_for_exit() == 0); // it had ended by itself
    return lost;
}

} // namespace

// Guards "no request is lost" where all deadlines are short: what is read during a stop is answered before
// the earliest kill, whatever the longest deadline is.
TEST_CASE("planned stop: a kill at the earliest finds no request unanswered") {
    for (const int longest_deadline_ms : {150, 270, 345, 1000})
        for (int round = 0; round < 3; ++round) {
            CAPTURE(longest_deadline_ms);
            proxy_fixture fixture(
                {.request_timeout_ms = longest_deadline_ms, .start_proxy = false, .response_delay_ms = 60});
            proxy_process process(fixture, "planned-stop.json");
            CHECK(lost_at_earliest_kill(longest_deadline_ms, fixture, process) == 0);
        }
}

// Guards a stop that follows a reload: settings with shorter deadlines wait for their list when the signal
// comes.
TEST_CASE("planned stop: shorter deadlines wait for their list") {
    constexpr int shorter_ms = 150;
    proxy_fixture fixture({.request_timeout_ms = 1000, .start_proxy = false, .response_delay_ms = 60});
    proxy_process process(fixture, "planned-stop-reload.json");
    const auto reload = [&] {
        fixture.discovery_silent = true;
        std::string text = fixture.config;
        for (std::size_t at; (at = text.find("\"statementTimeoutMs\":1000")) != std::string::npos;)
            text.replace(at, 25, "\"statementTimeoutMs\":" + std::to_string(shorter_ms));
        process.reload(text);
        process.process.wait_for_output("reloaded ");
    };
    CHECK(lost_at_earliest_kill(shorter_ms, fixture, process, reload) == 0);
}

// Guards a client that writes slowly: its request is not whole when the stop leaves no more time for it.
TEST_CASE("planned stop: half a request is refused before the kill") {
    proxy_fixture fixture({.request_timeout_ms = 150, .start_proxy = false});
    proxy_process process(fixture, "planned-stop-half.json");
    test_client client(process.port);
    const std::string whole = make_request("book", "1", "100m");
    client.send(whole.substr(0, whole.size() - 2));
    process.process.signal(SIGTERM);
    CHECK(client.read().starts_with("HTTP/1.1 503"));
    CHECK(client.wait_for_close());
    CHECK(process.process.wait_for_exit() == 0);
    CHECK(fixture.attempt_count() == 0);
}

// Guards clients that the front still sends here, however short the deadlines are.
TEST_CASE("planned stop: new connections are taken for as long as the front deals them out") {
    proxy_fixture fixture({.request_timeout_ms = 40, .start_proxy = false});
    proxy_process process(fixture, "planned-stop-front.json");
    process.process.signal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(400)); // the front's longest
    CHECK(test_client(process.port).request("GET /_health HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 503"));
    CHECK(process.process.wait_for_exit() == 0);
}

// The order of a stop's moments, and the margins between them, for every longest deadline.
TEST_CASE("planned stop: the schedule follows the earliest kill") {
    constexpr double front = 0.4;    // s for which the front deals out new connections
    constexpr double hold_up = 0.15; // s for which a process may be held up
    for (const double longest : {0.0, 0.01, 0.1, 0.27, 0.345, 0.5, 0.9, 1.0, 1.5, 2.0, 3.0, 5.0, 60.0}) {
        CAPTURE(longest);
        const stop_schedule stop = stop_schedule_for(longest);
        CHECK(stop.earliest_kill == doctest::Approx(std::min(longest, 3.0) + kill_delay));
        CHECK(stop.respond_by <= stop.earliest_kill - hold_up);
        CHECK(stop.accept_until > front);
        CHECK(stop.accept_until <= stop.earliest_kill - hold_up);
        CHECK(stop.close_idle > 0);
        CHECK(stop.close_idle + stop.min_idle < stop.respond_by);
    }
    CHECK(longest_deadline(std::vector{0.2, 0.345, 0.1}) == 0.345);
    CHECK(longest_deadline({}) == 0);
}

} // namespace harrierpass::proxy
