// SPDX-License-Identifier: Apache-2.0
// Race conditions: what a request, a response, a change of the endpoint list or a signal does that comes
// between two lines of the proxy. Each is forced: the other side holds back an accept, a response or a byte
// until what it has to cross has been seen. docs/crossings.md has a line for each.
#include "support/stand.hpp"

#include "net/http.hpp"
#include "net/threads.hpp"
#include "router/router.hpp"

#include <netinet/tcp.h>
#include <sys/resource.h>
#include <vector>

namespace harrierpass::proxy {
namespace {

void wait_until(const std::function<bool()> &condition) {
    while (!condition())
        std::this_thread::yield();
}

// A key whose first endpoint is the fixture's s0 or s1, by the hash ring of these two.
std::string key_of(const std::string &server) {
    std::vector<std::pair<std::uint64_t, std::string>> points;
    for (const std::string id : {"s0", "s1"})
        for (int i = 0; i < 160; ++i)
            points.emplace_back(ring_hash(id + ":" + std::to_string(i)), id);
    std::ranges::sort(points);
    for (int key = 0;; ++key) {
        const auto position = ring_hash(std::to_string(ring_hash(std::to_string(key))));
        auto at = std::ranges::upper_bound(points, position, {}, [](const auto &each) { return each.first; });
        if ((at == points.begin() ? points.back() : *--at).second == server)
            return std::to_string(key);
    }
}

// The fixture's endpoint list with its second endpoint at another address.
std::string list_with_second_endpoint(proxy_fixture &fixture, const std::string &second,
                                      const char *phase = "active") {
    std::string list = fixture.endpoint_list_json("active", true);
    list.replace(list.find(fixture.servers[1].address()), fixture.servers[1].address().size(), second);
    const auto state = list.rfind("\"active\"");
    return list.replace(state, 8, "\"" + std::string(phase) + "\"");
}

void publish_list(proxy_fixture &fixture, const std::string &list) {
    const auto before = fixture.proxy->counts().value(counter::endpoint_updates);
    fixture.discovery.push_response(ok_response(list));
    wait_until([&] { return fixture.proxy->counts().value(counter::endpoint_updates) > before; });
}

// All that comes on a connection until it closes or is reset.
std::string read_to_end(const tcp_socket &from) {
    std::string all;
    std::array<char, 4096> part{};
    for (ssize_t size; (size = ::recv(from.get(), part.data(), part.size(), 0)) > 0;)
        all.append(part.data(), static_cast<std::size_t>(size));
    return all;
}

} // namespace

// ---- A decision is old when it is written

// A retry must not have a second effect: endpoints have forgotten the request by the time the second one's
// connection is up.
TEST_CASE("crossing: the window of repeats closes while a connection comes up") {
    proxy_fixture fixture({.responses = {"hold"},
                           .request_timeout_ms = 9000,
                           .connect_timeout_ms = 8000,
                           .deduplication_window_ms = 400});
    const full_backlog_server slow_endpoint;
    publish_list(fixture, list_with_second_endpoint(fixture, slow_endpoint.host_port()));
    const auto &count = fixture.proxy->counts();
    test_client client(fixture.port);
    const double sent = steady_now();                         // before it was
    client.send(make_request("book", key_of("s0"), "8000m")); // the system dials again after 1, 3 and 7 s
    fixture.servers[0].wait_for_requests(1);
    const auto dials = count.value(counter::upstream_connects);
    fixture.servers[0].push_response("reset");
    wait_until([&] { return count.value(counter::upstream_connects) > dials; });
    REQUIRE(steady_now() < sent + 0.3); // the second execution was decided on inside the window
    wait_until([&] { return steady_now() > sent + 0.4; });
    const tcp_socket accepted = slow_endpoint.accept_waiting();
    CHECK(status_and_body(client.read()) == "HTTP/1.1 502 []"); // it may have run: no rejection
    CHECK(count.value(counter::attempts_sent) == 1);
    fixture.proxy.reset();
    CHECK(read_to_end(accepted).find("/book/") == std::string::npos);
}

// A draining endpoint gets no request: the list says so while a connection to it comes up.
TEST_CASE("crossing: a drain while a connection comes up") {
    proxy_fixture fixture({.request_timeout_ms = 9000, .connect_timeout_ms = 8000});
    const full_backlog_server slow_endpoint;
    publish_list(fixture, list_with_second_endpoint(fixture, slow_endpoint.host_port()));
    const auto &count = fixture.proxy->counts();
    test_client client(fixture.port);
    client.send(make_request("bill", key_of("s1"), "8000m"));
    wait_until([&] { return count.value(counter::upstream_connects) > 0; });
    publish_list(fixture, list_with_second_endpoint(fixture, slow_endpoint.host_port(), "leaving"));
    const tcp_socket accepted = slow_endpoint.accept_waiting();
    CHECK(status_and_body(client.read()) == "HTTP/1.1 200 [value]"); // by the other one
    CHECK(fixture.servers[0].request_count() == 1);
    fixture.proxy.reset();
    CHECK(read_to_end(accepted).find("/bill/") == std::string::npos);
}

// A write that breaks says nothing of the endpoint, good or bad: the request was not executed there, and it
// is not at fault.
TEST_CASE("crossing: a reset while a query is written") {
    proxy_fixture fixture;
    const tcp_socket small_listener(::socket(AF_INET, SOCK_STREAM, 0));
    const int receive_buffer_size = 1024; // bytes; most of the body finds no room
    ::setsockopt(small_listener.get(), SOL_SOCKET, SO_RCVBUF, &receive_buffer_size,
                 sizeof receive_buffer_size);
    // The system gives a connection of small segments little room to send from, too: less than the body.
    const int segment = 536;
    ::setsockopt(small_listener.get(), IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
    const address any = *parse_address("127.0.0.1:0");
    REQUIRE(::bind(small_listener.get(), reinterpret_cast<const sockaddr *>(&any.storage), any.size) == 0);
    REQUIRE(::listen(small_listener.get(), 8) == 0);
    publish_list(fixture, list_with_second_endpoint(fixture, to_text(local_address(small_listener))));
    test_client client(fixture.port);
    std::string request = make_request("bill", key_of("s1"));
    const std::string body(60000, 'b');
    request.replace(request.find("Content-Length: 4"), 17, "Content-Length: " + std::to_string(body.size()));
    request.replace(request.find("\r\n\r\nbody") + 4, 4, body);
    std::thread resetting_endpoint([&] {
        tcp_socket accepted(::accept(small_listener.get(), nullptr, nullptr));
        char first;
        ::recv(accepted.get(), &first, 1, MSG_PEEK);
        const linger at_once{1, 0};
        ::setsockopt(accepted.get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    });
    CHECK(status_and_body(client.request(request)) == "HTTP/1.1 200 [value]");
    resetting_endpoint.join();
    CHECK(fixture.proxy->counts().value(counter::attempts_connect_error) == 1);
    CHECK(fixture.servers[0].request_count() == 1);
}

// ---- A client that has gone

// Endpoints do no work for nobody: the client leaves during the first attempt, which then breaks, and there
// is no retry.
TEST_CASE("crossing: a client leaves before a further attempt") {
    proxy_fixture fixture({.responses = {"hold"}});
    const auto &count = fixture.proxy->counts();
    {
        test_client client(fixture.port);
        client.send(make_request("read", key_of("s0")));
        fixture.servers[0].wait_for_requests(1);
    }
    wait_until([&] { return count.value(counter::client_disconnects) == 1; });
    fixture.servers[0].push_response("reset");
    wait_until(
        [&] { return count.value(counter::client_connections_closed) > 1; }); // the stand's own one, too
    CHECK(count.value(counter::attempts_sent) == 1);
    fixture.proxy.reset();
    CHECK(fixture.attempt_count() == 1);
}

// ---- Ends of clients' connections

// A response on its way is not destroyed where bytes behind the request lie unread when the connection
// closes.
TEST_CASE("crossing: bytes behind the last query of a connection") {
    const std::string body(60000, 'v');
    proxy_fixture fixture({.responses = {"hold"}});
    const auto &count = fixture.proxy->counts();
    const auto ended = count.value(counter::client_connections_closed);
    tcp_socket client(::socket(AF_INET, SOCK_STREAM, 0));
    const int receive_buffer_size = 1024; // bytes; most of the answer waits on the proxy's side
    ::setsockopt(client.get(), SOL_SOCKET, SO_RCVBUF, &receive_buffer_size, sizeof receive_buffer_size);
    const auto at = test::loopback_address(fixture.port);
    REQUIRE(::connect(client.get(), reinterpret_cast<const sockaddr *>(&at), sizeof at) == 0);
    std::string request = make_request("read", key_of("s0"));
    request.replace(request.find("\r\nX-Class"), 0, "\r\nConnection: close");
    test::send_all(client.get(), request);
    fixture.servers[0].wait_for_requests(1);
    test::send_all(client.get(), make_request("read", key_of("s1")));
    fixture.servers[0].push_response(ok_response(body));
    wait_until([&] { return count.value(counter::client_connections_closed) > ended; });
    const std::string answer = read_to_end(client);
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.ends_with("\r\n\r\n" + body));
    CHECK(fixture.attempt_count() == 1);
}

// ---- Signals

// At an upgrade, a successor that is told to stop before it knows its endpoints takes over no clients.
TEST_CASE("crossing: a signal to end comes to a successor whose list never comes") {
    const temporary_directory directory;
    proxy_fixture fixture({.port = free_port(), .with_control_server = true, .start_proxy = false});
    proxy_process first(fixture, "serves.json");
    directory.wait_for_hot_restart_socket();
    fixture.discovery_silent = true;
    auto &config = fixture.config;
    config.replace(config.find("\"known\":"), 0, "\"startup\":{\"list_service\":\"shared\"},");
    proxy_process next(fixture, "never.json");
    next.process.wait_for_output("taken-over");
    next.stop();
    CHECK(first.process.output().find("succeeded") == std::string::npos);
    CHECK(status_and_body(test_client(first.port).request(make_request("read", "1"))) ==
          "HTTP/1.1 200 [value]");
    first.stop();
}

// An active request gets its response whatever signals come on top of each other.
TEST_CASE("crossing: a reload and two signals to end while a query is out") {
    proxy_fixture fixture({.responses = {"hold"}, .start_proxy = false});
    proxy_process one(fixture, "signals.json");
    test_client client(one.port);
    client.send(make_request("audit", "1"));
    fixture.wait_for_attempt();
    for (const int signal : {SIGHUP, SIGTERM, SIGTERM})
        one.process.signal(signal);
    one.process.wait_for_output("draining ");
    for (auto &server : fixture.servers)
        server.push_response(ok_response("late"));
    CHECK(status_and_body(client.read()) == "HTTP/1.1 200 [late]");
    CHECK(one.process.wait_for_exit() == 0);
}

// ---- Discovery

// The endpoint list is followed even where a client has taken the descriptor of the connection to discovery
// by the time of the next poll. An idle client would be closed to make room; this one is in the middle of its
// request.
TEST_CASE("crossing: clients take every descriptor while discovery is away") {
    proxy_fixture fixture({.start_proxy = false});
    proxy_process one(fixture, "full.json");
    const auto fds = "/proc/" + std::to_string(one.process.pid()) + "/fd/";
    rlimit most{}; // no new descriptor but in the place of one that closes
    ::prlimit(one.process.pid(), RLIMIT_NOFILE, nullptr, &most);
    const auto least_free = [&] {
        rlim_t free = 0;
        while (std::filesystem::is_symlink(fds + std::to_string(free)))
            ++free;
        return free;
    };
    // The sanitizers ask the system for descriptors where a type is met for the first time: it is not here.
    test_client(one.port).request("GET /_health HTTP/1.1\r\n\r\n");
    one.process.wait_for_output("connection-end side=client");
    most.rlim_cur = least_free();
    ::prlimit(one.process.pid(), RLIMIT_NOFILE, &most, nullptr);
    const auto calls = fixture.discovery.request_count();
    fixture.discovery.push_response("close");
    one.process.wait_for_output("reason=list_lost");
    test_client client(one.port);
    client.send("GET /_health HTTP/1.1\r\n");
    wait_until([&] { return least_free() == most.rlim_cur || least_free() == 0; });
    REQUIRE(least_free() > 0); // it lives
    const auto lost = [&] { return test::count_occurrences(one.process.output(), "list-lost"); };
    wait_until([&] { return fixture.discovery.request_count() > calls || lost() > 1 || least_free() == 0; });
    CHECK(fixture.discovery.request_count() > calls);
    one.stop();
}

// A change of the list has to be known 6 s after discovery had it and could be reached, whatever polls failed
// before. Added up is all that may lie between in the worst case, for whatever settings may say of a list and
// its draining endpoints.
TEST_CASE("crossing: discovery returns just after a call was begun") {
    constexpr double told_in = 6;         // s, the operators' term
    constexpr double looks = 0.05 + 0.02; // s, the router's sweep and the follower's nap
    for (const std::string form : {"automatic", "subscribe"}) {
        for (const int grace_ms : {100, 250, 2000, 30000}) {
            proxy_fixture fixture({.start_proxy = false});
            std::string text = fixture.config;
            text.replace(text.find("\"peersTotal\":1"), 14,
                         "\"peersTotal\":1,\"discovery\":\"" + form + "\"");
            text.replace(text.find("\"drainGraceMs\":400"), 18,
                         "\"mustAskInMs\":10000,\"drainGraceMs\":" + std::to_string(grace_ms));
            const auto given = read_configuration(text);
            double longest = 0; // pause that the router makes after a lost call
            for (std::uint32_t seed = 1; seed <= 20; ++seed) {
                const auto decides = make_router(given.router, seed, 0);
                double now = 0;
                for (int calls = 0; calls < 20; ++calls) {
                    decides->on_endpoints_updated(now, endpoint_update_kind::poll_failed, {});
                    const double from = now;
                    for (bool asks = false; !asks; now += asks ? 0 : 0.01) {
                        decides->actions.clear();
                        decides->on_timer(now);
                        asks = std::ranges::any_of(decides->actions, [](const action &each) {
                            return each.kind == action_kind::watch_endpoints;
                        });
                    }
                    longest = std::max(longest, now - from);
                }
            }
            const double dial = given.poll.agent_response_timeout, answer = given.poll.agent_response_timeout;
            CAPTURE(form);
            CAPTURE(grace_ms);
            CHECK(dial + answer + longest + looks + dial + answer < told_in - 0.3);
            // A watch that fell silent: 6 s after that, or 2 s after its wait was over.
            const double wait = given.poll.agent_watch_timeout;
            CHECK(wait + answer + 0.75 + looks < std::max(told_in, wait + 2) - 0.3);
        }
    }
}

} // namespace harrierpass::proxy
