// SPDX-License-Identifier: Apache-2.0
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "support/stand.hpp"

#include "net/http.hpp"
#include "proxy/service.hpp"
#include "settings/settings_reader.hpp"
#include "support/index_literals.hpp"

#include <atomic>
#include <doctest/doctest.h>
#include <filesystem>
#include <random>

namespace harrierpass::proxy {

// ---- Parsers

std::string of_json(const std::string &text) {
    try {
        const json made = read_json(text);
        return made.type == json::kind::object ? std::string(made.string_at("a")) : made.text;
    } catch (const parse_error &bad) {
        return bad.reason;
    }
}

TEST_CASE("JSON: what is read and what is not") {
    CHECK(of_json(R"( {"a" : "x\n\u00e9\ud83d\ude00/"} )") == "x\n\u00e9\U0001F600/");
    CHECK(of_json("-12.5e+3") == "-12.5e+3");
    CHECK(of_json("[1,[],{}]").empty());
    for (const char *bad :
         {"",    "{",   "[1,]",    "{\"a\":1,}",       "{\"a\" 1}",   "{a:1}",       "01",  "1.",
          "-",   "1e",  "\"\\x\"", "\"\\u12\"",        "\"\\ud800\"", "\"\\udc00\"", "\"a", "\"\n\"",
          "tru", "1 2", "nan",     "{\"a\":1,\"a\":2}"}) {
        CAPTURE(bad);
        CHECK(of_json(bad).starts_with("JSON: "));
    }
    CHECK(of_json(std::string(1000, '[')) == "JSON: nested too deep");
}

// Reads a message that comes in parts of `step` bytes.
std::string of_http(const std::string &text, http_reader::message_kind which, std::size_t step = 100000) {
    static constexpr std::array<const char *, 4> states = {"more", "whole", "malformed", "too large"};
    std::vector<char> buffer(buffer_size);
    http_reader reader(buffer, which);
    auto state = http_reader::state::incomplete;
    for (std::size_t at = 0; at < text.size() && state == http_reader::state::incomplete;) {
        const std::size_t size = std::min({step, text.size() - at, reader.free_space().size()});
        std::copy_n(text.data() + at, size, reader.free_space().data());
        at += size;
        state = reader.received(size);
    }
    std::string said = states[static_cast<std::size_t>(state)];
    if (state == http_reader::state::complete)
        said.append(" [").append(reader.body()).append("] [").append(reader.pipelined_bytes()).append("]");
    return said;
}

TEST_CASE("HTTP: whole messages, in any parts") {
    const auto request = http_reader::message_kind::request, answer = http_reader::message_kind::response;
    for (const std::size_t step : {1, 2, 3, 7, 100000}) {
        CAPTURE(step);
        const auto is = [&](const std::string &text, http_reader::message_kind which) {
            return of_http(text, which, step);
        };
        CHECK(is("GET /a/b HTTP/1.1\r\nHost: x\r\n\r\n", request) == "whole [] []");
        CHECK(is("PUT /a HTTP/1.1\r\ncontent-length: 3\r\n\r\nabc", request) == "whole [abc] []");
        CHECK(is("PUT /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", request) == "more");
        CHECK(is("PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\nabcd\r\n2\r\nef\r\n0\r\nT: "
                 "1\r\n\r\n",
                 request) == "whole [abcdef] []");
        CHECK(is("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200\r\nContent-Length: 1\r\n\r\nz", answer) ==
              "whole [z] []");
        CHECK(is("HTTP/1.1 204 No Content\r\n\r\n", answer) == "whole [] []");
        CHECK(is("HTTP/1.1 200 OK\r\n\r\nuntil the end", answer) == "more");
    }
    CHECK(of_http("GET /a HTTP/1.1\r\n\r\nGET /b", request) == "whole [] [GET /b]");
    std::string interim;
    for (int i = 0; i < 5000; ++i)
        interim += "HTTP/1.1 100 \r\n\r\n";
    CHECK(of_http(interim + "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nz", answer, 60000) ==
          "whole [z] []");
    const std::string full(max_body_size, 'v');
    CHECK(of_http("PUT /a HTTP/1.1\r\nContent-Length: 65536\r\n\r\n" + full, request).starts_with("whole"));
    CHECK(of_http("PUT /a HTTP/1.1\r\nContent-Length: 99999\r\n\r\n", request) == "too large");
    CHECK(of_http("GET /" + std::string(max_head_size, 'a'), request) == "too large");
    CHECK(of_http("PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n", request) == "too large");
}

// Two readers must never take the same bytes for different messages.
TEST_CASE("HTTP: malformed messages") {
    for (const char *bad : {"GET  /a HTTP/1.1\r\n\r\n",
                            "GET a HTTP/1.1\r\n\r\n",
                            "GET /a HTTP/2.0\r\n\r\n",
                            "GET /a\r\n\r\n",
                            "G@T /a HTTP/1.1\r\n\r\n",
                            "GET /a b HTTP/1.1\r\n\r\n",
                            "GET /\x01 HTTP/1.1\r\n\r\n",
                            "GET /a HTTP/1.1\r\nA : b\r\n\r\n",
                            "GET /a HTTP/1.1\r\nA: b\r\n c\r\n\r\n",
                            "GET /a HTTP/1.1\r\nA\r\n\r\n",
                            "GET /a HTTP/1.1\nA: b\r\n\r\n",
                            "GET /a HTTP/1.1\r\nA: b\nB: c\r\n\r\n",
                            "PUT /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
                            "PUT /a HTTP/1.1\r\nContent-Length: 1x\r\n\r\n",
                            "PUT /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n",
                            "PUT /a HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
                            "PUT /a HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
                            "PUT /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
                            "PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
                            "PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n"}) {
        CAPTURE(bad);
        CHECK(of_http(bad, http_reader::message_kind::request) == "malformed");
    }
    for (const char *bad :
         {"HTTP/1.1 20 OK\r\n\r\n", "HTTP/1.1 2000 OK\r\n\r\n", "HTTP/1.1  200\r\n\r\n", "200 OK\r\n\r\n"}) {
        CAPTURE(bad);
        CHECK(of_http(bad, http_reader::message_kind::response) == "malformed");
    }
}

// Damaged bytes may be read as anything, but never beyond the buffer (the sanitizers look) and never for
// ever.
TEST_CASE("parsers on damaged bytes") {
    std::minstd_rand chance(7);
    const std::string http = "PUT /a/b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n";
    const std::string list = R"({"revision":4,"members":[{"id":"s","size":1.5,"phase":"\u0041"},null,true]})";
    std::size_t whole_ones = 0;
    for (int round = 0; round < 20000; ++round) {
        std::string one = http, two = list;
        for (int hits = round % 4; hits >= 0; --hits) {
            one[chance() % one.size()] = static_cast<char>(chance());
            two[chance() % two.size()] = static_cast<char>(chance());
        }
        whole_ones +=
            of_http(one, http_reader::message_kind::request, 1 + chance() % 20).starts_with("whole");
        of_json(two);
    }
    CHECK(whole_ones > 100); // most hits fall where any byte may stand
    CHECK(whole_ones < 19000);
}

TEST_CASE("deadlines and their units") {
    CHECK(parse_timeout("480m") == doctest::Approx(0.48));
    CHECK(parse_timeout("1500u") == doctest::Approx(0.0015));
    for (const char *bad : {"", "m", "5", "5s", "-1m", "1e400m", "nanm", "5 m"})
        CHECK(parse_timeout(bad) < 0);
}

// ---- The proxy on loopback

// A request has its effect at most once, by what each outcome proves; a response is forwarded as it came.
TEST_CASE("what is answered after each outcome of a first execution") {
    const std::vector<std::pair<std::string, std::string>> outcomes = {
        {"completed", ok_response("value", "X-Cache: miss\r\n")},
        {"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nval\r\n2\r\nue\r\n0\r\n\r\n"},
        {"turned away", "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"},
        {"over there", "HTTP/1.1 504 Late\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"},
        {"unproven 503", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"},
        {"error", "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"},
        {"reset", "reset"},
        {"ended", "close"},
        {"cut short", "cut:HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nval"},
        {"no HTTP", "cut:hello\r\n\r\n"},
        // From here on the server leaves the connection open.
        {"noise", "\x80noise"},
        {"unreadable", "HTTP/1.1 2x0 OK\r\nContent-Length: 5\r\n\r\nvalue"},
        {"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nvalue"},
        {"endless head", "HTTP/1.1 200 OK\r\nX-Pad: " + std::string(9000, 'p')},
        {"3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nvalue"},
        {"half", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nval"},
        {"no length", "HTTP/1.1 200 OK\r\n\r\nvalue"},
        {"more behind", ok_response("value") + ok_response("value")},
        {"interim", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok_response("value")}};
    std::ostringstream trace;
    for (const auto &[name, first] : outcomes) {
        for (const std::string use : {"read", "book", "bill"}) {
            proxy_fixture fixture({.responses = {first}});
            test_client client(fixture.port);
            const std::string answer = status_and_body(client.request(make_request(use, "1")));
            trace << use << ", " << name << ": " << answer << " after " << fixture.attempt_count() << '\n';
        }
    }
    CHECK(trace.str() == test::read_file(std::string(HARRIERPASS_TRACES) + "/proxy_outcomes.txt"));
}

// Malformed or stalled responses, here one of eleven, neither eject a healthy endpoint nor close its other
// connections.
TEST_CASE("spoilt answers do not make a server suspect") {
    std::vector<std::string> replies;
    for (int i = 0; i < 30; ++i) {
        replies.emplace_back(i % 2 == 0 ? "HTTP/1.1 2x0 OK\r\n\r\n"
                                        : "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n");
        replies.insert(replies.end(), 10, ok_response("value"));
    }
    proxy_fixture fixture({.responses = replies});
    test_client client(fixture.port);
    for (int i = 0; i < 60; ++i)
        CHECK(status_and_body(client.request(make_request("read", std::to_string(i)))) ==
              "HTTP/1.1 200 [value]");
    const auto &counted = fixture.proxy->counts();
    CHECK(counted.value(counter::attempts_malformed) > 4);
    CHECK(counted.value(counter::attempts_malformed) == counted.value(counter::attempts_error));
    CHECK(counted.value(counter::health_checks) == 0);
    fixture.proxy->end(0);
    CHECK(fixture.log_output.str().find("reason=suspect") == std::string::npos);
    CHECK(fixture.log_output.str().find("reason=spoilt") != std::string::npos);
}

// In deployments whose endpoints do not fetch what they lack; here the second server is the origin.
TEST_CASE("a miss goes to the origin") {
    proxy_fixture fixture({.responses = {"HTTP/1.1 404 None\r\nX-Cache: miss\r\nContent-Length: 0\r\n\r\n"},
                           .origin_settings = R"({"mode":"aside","originKind":1})"});
    test_client client(fixture.port);
    CHECK(status_and_body(client.request(make_request("read", "1"))) == "HTTP/1.1 200 [value]");
    CHECK(fixture.servers[0].request_count() == 1);
    CHECK(fixture.servers[1].request_count() == 1);
    CHECK(status_and_body(client.request(make_request("bill", "1"))) == "HTTP/1.1 200 [value]"); // a write
    CHECK(fixture.servers[1].request_count() == 2);
    CHECK(fixture.proxy->counts().value(counter::attempts_cache_miss) == 1);
}

TEST_CASE("what a server is sent") {
    proxy_fixture fixture;
    test_client client(fixture.port);
    CHECK(status_and_body(client.request(make_request("book", "7"))) == "HTTP/1.1 200 [value]");
    const std::string sent = fixture.servers[0].request_count() > 0 ? fixture.servers[0].last_request()
                                                                    : fixture.servers[1].last_request();
    CHECK(sent.starts_with("PUT /book/7 HTTP/1.1\r\n"));
    CHECK(sent.find("\r\nX-Request-Id: 9b7\r\n") != std::string::npos);
    CHECK(sent.find("\r\nIdempotency-Key: k7\r\n") != std::string::npos);
    CHECK(sent.ends_with("\r\n\r\nbody"));
    const auto deadline = sent.find("\r\nX-Deadline: 2");
    CHECK(deadline != std::string::npos);
    CHECK(sent.find("\r\nX-Deadline: ", deadline + 1) == std::string::npos);
    for (int i = 0; i < 5; ++i) // on kept connections
        CHECK(status_and_body(client.request(make_request("read", "7"))) == "HTTP/1.1 200 [value]");
    CHECK(fixture.servers[0].connection_count() + fixture.servers[1].connection_count() <= 2);
}

TEST_CASE("requests that are no queries") {
    proxy_fixture fixture;
    const auto status = [&](const std::string &text) {
        return test_client(fixture.port).request(text).substr(9, 3);
    };
    CHECK(status("hello\r\n\r\n") == "400");
    CHECK(status("GET /unknown/1 HTTP/1.1\r\n\r\n") == "400");
    const std::string id = "X-Request-Id: 1\r\n";
    CHECK(status("GET /unknown/1 HTTP/1.1\r\n" + id + "\r\n") == "400");
    CHECK(status("GET /read/1 HTTP/1.1\r\n\r\n") == "400"); // no id, an empty one, two
    CHECK(status("GET /read/1 HTTP/1.1\r\nX-Request-Id:\r\n\r\n") == "400");
    CHECK(status("GET /read/1 HTTP/1.1\r\n" + id + id + "\r\n") == "400");
    CHECK(status("GET /read/1 HTTP/1.1\r\n" + id + "X-Class: read\r\nX-Class: bill\r\n\r\n") == "400");
    for (const char *deadline : {"", "soon", "-5m", "1e999m", "nanm"})
        CHECK(status("GET /read/1 HTTP/1.1\r\n" + id + "X-Deadline: " + deadline + "\r\n\r\n") == "400");
    CHECK(status("PUT /book/1 HTTP/1.1\r\n" + id +
                 "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n") == "400");
    CHECK(status("DELETE /read/1 HTTP/1.1\r\n\r\n") == "405");
    CHECK(status("PUT /book/1 HTTP/1.1\r\nContent-Length: 100000000\r\n\r\n") == "413");
    CHECK(fixture.attempt_count() == 0);
    // Hundreds at once: each is told, until the connection ends.
    test_client many(fixture.port);
    std::string all;
    for (int i = 0; i < 300; ++i)
        all += "GET /read/1 HTTP/1.1\r\n\r\n";
    many.send(all);
    std::string told_all;
    for (std::string part; !(part = many.read()).empty();)
        told_all += part;
    CHECK(test::count_occurrences(told_all, "HTTP/1.1 400") == 16);
    CHECK(told_all.find("Connection: close") != std::string::npos);
    // Two at once from a client that does not wait: answered in order.
    test_client client(fixture.port);
    client.send(make_request("read", "1") + "GET /_health HTTP/1.1\r\n\r\n");
    const std::string both = client.read();
    CHECK(both.starts_with("HTTP/1.1 200 OK\r\nContent-Length: 5"));
    CHECK((both.size() > 60 || client.read().starts_with("HTTP/1.1 200")));
    fixture.proxy->end(0);
    CHECK(fixture.log_output.str().find(" queries=1 open=") != std::string::npos);
    CHECK(fixture.log_output.str().find(" reason=bad_request") != std::string::npos);
}

// A request with the id of an open one has no effect and does not disturb the first one.
TEST_CASE("an id that is open") {
    proxy_fixture fixture({.responses = {"hold"}});
    test_client first(fixture.port), second(fixture.port);
    first.send(make_request("bill", "1"));
    fixture.wait_for_attempt();
    CHECK(second.request(make_request("bill", "1")).starts_with("HTTP/1.1 409"));
    for (auto &server : fixture.servers)
        server.push_response(ok_response("value"));
    CHECK(status_and_body(first.read()) == "HTTP/1.1 200 [value]");
    CHECK(fixture.attempt_count() == 1);
    CHECK(status_and_body(second.request(make_request("bill", "1"))) ==
          "HTTP/1.1 200 [value]"); // it is free again
}

// Clients that send nothing, stop half way, or never close get an error or a closed connection within 3 s. No
// connection closes over a request that has come.
TEST_CASE("clients that are silent or slow") {
    proxy_fixture fixture({.socket_limit = 85}); // 16 clients; half of them and more leave little room
    proxy_fixture roomy;
    test_client silent(fixture.port), half(fixture.port), busy(fixture.port), stays(roomy.port);
    CHECK(status_and_body(stays.request(make_request("read", "1"))) == "HTTP/1.1 200 [value]");
    std::list<test_client> once;
    const auto from = std::chrono::steady_clock::now();
    half.send("PUT /book/1 HTTP/1.1\r\nContent-Length: 4\r\n\r\nbo");
    for (int i = 0; i < 10; ++i)
        CHECK(status_and_body(once.emplace_back(fixture.port).request(make_request("read", "1"))) ==
              "HTTP/1.1 200 [value]");
    for (int i = 0; i < 2; ++i)
        CHECK(status_and_body(busy.request(make_request("read", "2"))) == "HTTP/1.1 200 [value]");
    test_client huge(fixture.port);
    CHECK(huge.request("PUT /book/1 HTTP/1.1\r\nContent-Length: 600000000\r\n\r\n")
              .starts_with("HTTP/1.1 413"));
    CHECK(silent.wait_for_close());
    CHECK(half.read().starts_with("HTTP/1.1 408"));
    // Any of them: they end until there is room, and which goes first is a matter of threads.
    while (std::none_of(once.begin(), once.end(), [](auto &each) { return each.is_closed(); }))
        std::this_thread::yield();
    CHECK(!stays.is_closed()); // where there is room
    CHECK(std::chrono::steady_clock::now() - from < std::chrono::milliseconds(2900));
    CHECK(status_and_body(busy.request(make_request("read", "2"))) == "HTTP/1.1 200 [value]");
    fixture.proxy->end(0);
    for (const char *reason : {"silent", "idle", "client_slow"})
        CHECK(fixture.log_output.str().find(std::string(" reason=") + reason) != std::string::npos);
}

// Memory stays bounded where endpoints come under ever new ids, also at the address of a removed one.
TEST_CASE("servers that are replaced") {
    proxy_fixture fixture;
    test_client client(fixture.port);
    const auto entry = [&](const std::string &id, std::size_t at, const char *phase) {
        auto list = fixture.endpoint_list_json(phase, false);
        list.replace(list.find("\"s0\""), 4, "\"" + id + "\"");
        list.replace(list.find(fixture.servers[0].address()), fixture.servers[0].address().size(),
                     fixture.servers[at].address());
        return list.substr(list.find("[{") + 1, list.rfind("}]") - list.find("[{"));
    };
    std::string before = "s0";
    for (int i = 0; i < 20; ++i) {
        const std::string next = "n" + std::to_string(i);
        const std::size_t told_before = fixture.discovery.request_count();
        fixture.discovery.push_response(ok_response(R"({"revision":50,"complete":false,"members":[)" +
                                                    entry(before, 0, "left") + "," +
                                                    entry(next, 0, "active") + "]}"));
        fixture.discovery.wait_for_requests(told_before + 1);
        for (int key = 0; key < 4; ++key)
            CHECK(status_and_body(client.request(make_request("read", std::to_string(key)))) ==
                  "HTTP/1.1 200 [value]");
        before = next;
    }
    CHECK(fixture.proxy->endpoint_slots() <= 4);
    CHECK(fixture.servers[0].request_count() > 20);
    fixture.proxy->end(0);
    CHECK(fixture.log_output.str().find("server=n5 executions=") != std::string::npos);
    CHECK(fixture.log_output.str().find(" reason=gone") != std::string::npos);
}

// A blocked thread is woken by a decision: the endpoint falls silent, the router cancels the attempt, and the
// other endpoint gets the request well before the client's deadline.
TEST_CASE("a silent server's query is called off and sent elsewhere") {
    proxy_fixture fixture({.responses = {"hold"}});
    test_client client(fixture.port);
    const auto from = std::chrono::steady_clock::now();
    CHECK(status_and_body(client.request(make_request("read", "1"))) == "HTTP/1.1 200 [value]");
    CHECK(std::chrono::steady_clock::now() - from < std::chrono::milliseconds(2000));
    CHECK(fixture.proxy->counts().value(counter::attempts_canceled) == 1);
    // Then it is probed, answers, and has its key back.
    while (fixture.proxy->counts().value(counter::health_checks_answered) == 0)
        std::this_thread::yield();
    auto &silent = fixture.servers[fixture.servers[0].last_request().starts_with("GET /ping") ? 0 : 1];
    while (!silent.last_request().starts_with("GET /read/1"))
        CHECK(status_and_body(client.request(make_request("read", "1"))) == "HTTP/1.1 200 [value]");
}

TEST_CASE("the final answer comes before the client's end, and says whether to come back") {
    proxy_fixture fixture({.responses = {"hold", "hold"}});
    test_client one(fixture.port), two(fixture.port);
    one.send(make_request("read", "1", "300m"));
    two.send(make_request("bill", "2", "300m"));
    const std::string rejected = one.read(), aborted = two.read();
    CHECK(rejected.starts_with("HTTP/1.1 503"));
    CHECK(rejected.find("\r\nRetry-After: 1.500\r\n") != std::string::npos);
    CHECK(aborted.starts_with("HTTP/1.1 504"));
    CHECK(aborted.find("Retry-After") == std::string::npos);
}

// Sixteen attempts are in flight, as many as the router allows at two endpoints it does not know. What comes
// then is queued: it keeps its place, and its client may leave.
TEST_CASE("held queries") {
    proxy_fixture fixture({.responses = std::vector<std::string>(40, "hold")});
    const auto &counted = fixture.proxy->counts();
    std::list<test_client> clients;
    for (std::size_t total = 1; total <= 17; ++total) {
        clients.emplace_back(fixture.port).send(make_request("audit", std::to_string(total)));
        while (counted.value(counter::requests) < total)
            std::this_thread::yield();
    }
    while (fixture.attempt_count() < 16)
        std::this_thread::yield();
    CHECK(fixture.attempt_count() == 16);
    fixture.servers[0].push_response(ok_response("first")); // makes a place for the one that is held
    while (fixture.attempt_count() < 17)
        std::this_thread::yield();
    clients.emplace_back(fixture.port).send(make_request("audit", "18"));
    while (counted.value(counter::requests) < 18)
        std::this_thread::yield();
    clients.pop_back();
    while (counted.value(counter::client_disconnects) == 0)
        std::this_thread::yield();
    CHECK(fixture.attempt_count() == 17);
    for (int i = 0; i < 20; ++i)
        for (auto &server : fixture.servers)
            server.push_response(ok_response("late"));
    for (auto &client : clients)
        CHECK(client.read().starts_with("HTTP/1.1 200"));
}

// On a platform where no signal ends a wait, a queued request still sees its decision, and an idle connection
// the planned stop.
TEST_CASE("calls among threads that are lost") {
    proxy_fixture fixture({.responses = std::vector<std::string>(40, "hold")});
    struct sigaction none {
    }, before{};
    none.sa_handler = SIG_IGN;
    sigaction(SIGUSR2, &none, &before);
    std::list<test_client> clients;
    for (std::size_t total = 1; total <= 17; ++total) {
        clients.emplace_back(fixture.port).send(make_request("audit", std::to_string(total)));
        while (fixture.proxy->counts().value(counter::requests) < total)
            std::this_thread::yield();
    }
    while (fixture.attempt_count() < 16)
        std::this_thread::yield();
    for (int i = 0; i < 20; ++i)
        for (auto &server : fixture.servers)
            server.push_response(ok_response("late"));
    for (auto &client : clients)
        CHECK(client.read().starts_with("HTTP/1.1 200"));
    const double ends = steady_now();
    fixture.proxy->end(0);
    CHECK(steady_now() - ends < 1.5); // they rest for 2.2 s else
    sigaction(SIGUSR2, &before, nullptr);
}

// A pool of connections to one server, which is endpoint 0.
struct pool_fixture {
    pool_fixture() { servers.set_endpoint(0_endpoint, "s0", server.address(), 0, 0); }

    test_server server{[](const std::string &) { return ok_response("value"); }};
    std::ostringstream log_output;
    counters counted;
    log to{log_output, log_level::info};
    upstream_pool servers{0.25, 5, 6, counted, to};
};

// Idle connections to endpoints have the descriptors that clients leave, and no more.
TEST_CASE("servers' connections have what clients leave") {
    pool_fixture fixture;
    upstream_pool &servers = fixture.servers;
    servers.set_endpoint(1_endpoint, "s1", fixture.server.address(), 0, 0);
    std::list<upstream_connection> in_use;
    for (index i = 0; i < 4; ++i)
        in_use.push_back(servers.acquire(0_endpoint, 1));
    for (auto &each : in_use)
        servers.release(std::move(each), 1);
    servers.reserve_for_clients(1, 1);
    auto other = servers.acquire(1_endpoint, 1); // the sixth descriptor
    CHECK(other.socket);
    CHECK(fixture.log_output.str().empty());
    servers.reserve_for_clients(2, 1);
    CHECK(fixture.log_output.str().find("server=s0 executions=0 open=0 rested=0 reason=reclaimed") !=
          std::string::npos);
    CHECK(servers.acquire(0_endpoint, 1).socket); // a kept one
    CHECK(fixture.counted.value(counter::upstream_connects) == 5);
}

// An endpoint may close its connections right after a response: those that have been idle longer are used
// first.
TEST_CASE("a server's connection rests before its next use") {
    pool_fixture fixture;
    upstream_pool &servers = fixture.servers;
    auto first = servers.acquire(0_endpoint, 1), second = servers.acquire(0_endpoint, 1);
    const int older = first.socket.get(), latest = second.socket.get();
    servers.release(std::move(first), 1);
    servers.release(std::move(second), 1.1);
    auto used = servers.acquire(0_endpoint, 1.101);
    CHECK(used.socket.get() == older);
    servers.release(std::move(used), 1.102);
    CHECK(servers.acquire(0_endpoint, 1.2).socket.get() == older); // both have rested: the latest
    CHECK(servers.acquire(0_endpoint, 1.2).socket.get() == latest);
    CHECK(fixture.counted.value(counter::upstream_connects) == 2);
}

// Other requests' connections stay open: where a process died they show it themselves.
TEST_CASE("a reset ends its own connection only") {
    proxy_fixture fixture({.responses = {"hold"}});
    test_client out(fixture.port), other(fixture.port);
    out.send(make_request("read", "1"));
    fixture.wait_for_attempt();
    std::string next = make_request("read", "1");
    next.replace(next.find("9b1"), 3, "9b2");
    CHECK(status_and_body(other.request(next)) ==
          "HTTP/1.1 200 [value]"); // on a second connection, to the same server
    for (auto &server : fixture.servers)
        server.push_response("reset");
    CHECK(status_and_body(out.read()) == "HTTP/1.1 200 [value]");
    fixture.proxy->end(0);
    CHECK(fixture.log_output.str().find("side=server server=s") != std::string::npos);
    CHECK(fixture.log_output.str().find(" reason=reset") != std::string::npos);
    CHECK(fixture.log_output.str().find(" reason=suspect") == std::string::npos);
}

// Beyond the limits on sockets and memory a client is rejected at once, before anything was executed.
TEST_CASE("more clients than there is room for") {
    proxy_fixture fixture(
        {.responses = std::vector<std::string>(40, "hold"), .socket_limit = 85}); // 16 clients
    std::list<test_client> clients;
    for (std::size_t total = 1; total <= 16; ++total) {
        clients.emplace_back(fixture.port).send(make_request("audit", std::to_string(total)));
        while (fixture.attempt_count() < total)
            std::this_thread::yield();
    }
    const std::string refused = test_client(fixture.port).request(make_request("bill", "99"));
    CHECK(refused.starts_with("HTTP/1.1 503"));
    CHECK(refused.find("\r\nRetry-After: 1.500\r\n") != std::string::npos);
    CHECK(fixture.proxy->counts().value(counter::rejected_too_many_connections) == 1);
    CHECK(fixture.attempt_count() == 16);
    for (int i = 0; i < 20; ++i)
        for (auto &server : fixture.servers)
            server.push_response(ok_response("late"));
    for (auto &client : clients)
        CHECK(status_and_body(client.read()) == "HTTP/1.1 200 [late]");
}

// At the limit on sockets an idle connection makes room.
TEST_CASE("resting clients are ended at the limit") {
    proxy_fixture fixture(
        {.socket_limit = 256}); // 118 clients; from 76 on, well below a third of the sockets, room is made
    std::list<test_client> resting;
    for (int i = 0; i < 80; ++i)
        resting.emplace_back(fixture.port);
    while (!resting.front().is_closed())
        test_client(fixture.port).request("GET /_health HTTP/1.1\r\n\r\n");
    fixture.proxy->end(0);
    CHECK(fixture.log_output.str().find(" queries=0 open=") != std::string::npos);
    CHECK(fixture.log_output.str().find(" reason=reclaimed") != std::string::npos);
}

TEST_CASE("a query in many parts, and one that never comes whole") {
    proxy_fixture fixture;
    test_client slow(fixture.port);
    for (const char one : make_request("read", "1")) {
        slow.send(std::string(1, one));
        std::this_thread::yield();
    }
    CHECK(status_and_body(slow.read()) == "HTTP/1.1 200 [value]");
    slow.send("PUT /book/1 HTTP/1.1\r\nX-Request-Id: 1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
    CHECK(slow.read() == "HTTP/1.1 100 Continue\r\n\r\n");
    CHECK(status_and_body(slow.request("body")) == "HTTP/1.1 200 [value]");
    test_client(fixture.port).send("GET /read/1 HT");
    while (fixture.proxy->counts().value(counter::client_connections_closed) <
           fixture.proxy->counts().value(counter::client_connections_accepted) - 1)
        std::this_thread::yield();
    fixture.proxy->end(0);
    CHECK(fixture.log_output.str().find(" reason=client_cut") != std::string::npos);
}

// The router's count of what is in flight at an endpoint stays right: the attempt goes on without its client.
TEST_CASE("a client that leaves") {
    proxy_fixture fixture({.responses = {"hold"}});
    {
        test_client client(fixture.port);
        client.send(make_request("read", "1"));
        fixture.wait_for_attempt();
    }
    while (fixture.proxy->counts().value(counter::client_disconnects) == 0)
        std::this_thread::yield();
    CHECK(fixture.proxy->counts().value(counter::attempts_completed) == 0);
    for (auto &server : fixture.servers)
        server.push_response(ok_response("late"));
    while (fixture.proxy->counts().value(counter::attempts_completed) == 0)
        std::this_thread::yield();
    CHECK(fixture.proxy->counts().value(counter::completed) == 0);
    CHECK(status_and_body(test_client(fixture.port).request(make_request("read", "1"))) ==
          "HTTP/1.1 200 [value]");
}

// Endpoints get no requests that nobody waits for: a connect may take longer than the client stays.
TEST_CASE("a client that leaves while a connection to its server comes up") {
    proxy_fixture fixture({.connect_timeout_ms = 5000});
    const full_backlog_server late;
    std::string list = fixture.endpoint_list_json("active", true);
    for (const auto &each : fixture.servers)
        list.replace(list.find(each.address()), each.address().size(), late.host_port());
    fixture.discovery.push_response(ok_response(list));
    fixture.discovery.wait_for_requests(3);
    auto &count = fixture.proxy->counts();
    {
        test_client client(fixture.port);
        client.send(make_request("bill", "1"));
        while (count.value(counter::upstream_connects) == 0)
            std::this_thread::yield();
    }
    const tcp_socket came = late.accept_waiting();
    while (count.value(counter::client_disconnects) == 0)
        std::this_thread::yield();
    CHECK(count.value(counter::attempts_sent) == 0);
    std::array<char, 64> bytes{};
    fixture.proxy.reset(); // its connections end; a probe may have been written meanwhile, the query never
    CHECK(::recv(came.get(), bytes.data(), bytes.size(), 0) >= 0);
    CHECK(std::string_view(bytes.data(), bytes.size()).find("/bill/") == std::string_view::npos);
}

// A request must not be written on an idle connection that its endpoint has closed: nobody could tell whether
// it was executed.
TEST_CASE("a kept connection that may have ended is not used") {
    proxy_fixture fixture(
        {.responses = {"cut:" + ok_response("value"), ok_response("value"), ok_response("value")}});
    test_client client(fixture.port);
    for (std::size_t ended = 0; ended < 3; ++ended) {
        CHECK(status_and_body(client.request(make_request("bill", "1"))) == "HTTP/1.1 200 [value]");
        // The first is ended by its server, the others as they are idle near the limit.
        while (ended == 0 &&
               fixture.servers[0].open_connection_count() + fixture.servers[1].open_connection_count() > 0)
            std::this_thread::yield();
        while (ended > 0 && fixture.proxy->counts().value(counter::upstream_connections_stale) <= ended)
            std::this_thread::yield();
    }
    CHECK(fixture.servers[0].connection_count() + fixture.servers[1].connection_count() == 3);
    CHECK(fixture.proxy->counts().value(counter::attempts_reset) == 0);
    CHECK(fixture.attempt_count() == 3);
}

TEST_CASE("a server that refuses connections") {
    proxy_fixture fixture;
    auto gone = std::make_unique<test_server>([](const std::string &) { return ok_response("never"); });
    const std::string at = gone->address();
    gone.reset();
    auto list = fixture.endpoint_list_json("active", false);
    list.replace(list.find(fixture.servers[0].address()), fixture.servers[0].address().size(), at);
    fixture.discovery.push_response(ok_response(list));
    fixture.discovery.wait_for_requests(3); // the next watch: the list has been told
    for (int key = 0; key < 8; ++key)
        CHECK(status_and_body(test_client(fixture.port).request(make_request("bill", std::to_string(key)))) ==
              "HTTP/1.1 200 [value]");
    CHECK(fixture.proxy->counts().value(counter::attempts_connect_error) > 0);
    CHECK(fixture.servers[0].request_count() == 0);
    CHECK(fixture.servers[1].request_count() == 8);
    while (fixture.proxy->counts().value(counter::health_checks) == 0)
        std::this_thread::yield();
    CHECK(fixture.proxy->counts().value(counter::health_checks_answered) == 0);
}

// Draining endpoints in the list get no requests; the old list stands while discovery is lost.
TEST_CASE("the list is followed") {
    proxy_fixture fixture;
    fixture.discovery.push_response(ok_response(fixture.endpoint_list_json("leaving", false)));
    fixture.discovery.wait_for_requests(3);
    CHECK(fixture.discovery.last_request().starts_with("GET /catalog/members?since=42&"));
    const auto ask_all = [&] {
        for (int key = 0; key < 8; ++key)
            CHECK(status_and_body(
                      test_client(fixture.port).request(make_request("read", std::to_string(key)))) ==
                  "HTTP/1.1 200 [value]");
    };
    ask_all();
    CHECK(fixture.servers[0].request_count() == 0);
    fixture.discovery.push_response("cut:HTTP/1.1 500 Down\r\nContent-Length: 0\r\n\r\n");
    while (fixture.proxy->counts().value(counter::polls_failed) == 0)
        std::this_thread::yield();
    ask_all();
    CHECK(fixture.servers[0].request_count() == 0);
    fixture.discovery.wait_for_requests(4); // asked again, for the whole list, in which the server is back
    while (fixture.proxy->counts().value(counter::endpoint_updates) < 3)
        std::this_thread::yield();
    ask_all();
    CHECK(fixture.servers[0].request_count() > 0);
}

// A restart while discovery is down works with the known endpoints; discovery is polled again soon, so that
// draining endpoints are known on its return.
TEST_CASE("discovery is silent from the start") {
    proxy_fixture fixture({.discovery_silent = true});
    CHECK(status_and_body(test_client(fixture.port).request(make_request("read", "1"))) ==
          "HTTP/1.1 200 [value]");
    fixture.discovery.wait_for_requests(3);
    CHECK(fixture.proxy->counts().value(counter::polls_failed) >= 2);
    const std::size_t before = fixture.servers[0].request_count();
    fixture.first_server_draining = true;
    fixture.discovery_silent = false;
    while (fixture.discovery.last_request().find("since=41") == std::string::npos) // the list has been told
        std::this_thread::yield();
    for (int key = 0; key < 8; ++key)
        CHECK(status_and_body(test_client(fixture.port).request(make_request("bill", std::to_string(key)))) ==
              "HTTP/1.1 200 [value]");
    CHECK(fixture.servers[0].request_count() == before);
}

// A proxy in service keeps its active requests and follows the discovery that the new file names; an unsound
// file changes nothing.
TEST_CASE("SIGHUP: discovery is at another address") {
    proxy_fixture fixture({.responses = {"hold"}, .start_proxy = false});
    test_server other([&](const std::string &request) {
        return request.find("since=") != std::string::npos
                   ? "hold"
                   : ok_response(fixture.endpoint_list_json("leaving", true));
    });
    proxy_process it(fixture, "reload_test.json");
    auto &proxy = it.process;
    const int port = it.port;
    test_client out(port);
    out.send(make_request("read", "1"));
    fixture.wait_for_attempt();
    it.reload(R"({"settings":)");
    proxy.wait_for_output("reload-failed ");
    CHECK(proxy.output().find("reloaded") == std::string::npos);
    it.reload(std::string(fixture.config)
                  .replace(fixture.config.find(fixture.discovery.address()),
                           fixture.discovery.address().size(), other.address()));
    other.wait_for_requests(2);
    CHECK(proxy.output().find("side=discovery reason=moved") != std::string::npos);
    CHECK(fixture.discovery.connection_count() == 1);
    for (auto &server : fixture.servers)
        server.push_response(ok_response("held"));
    CHECK(status_and_body(out.read()) == "HTTP/1.1 200 [held]");
    const std::size_t before = fixture.servers[0].request_count();
    for (int key = 0; key < 8; ++key)
        CHECK(status_and_body(test_client(port).request(make_request("read", std::to_string(key))))
                  .starts_with("HTTP/1.1 200"));
    CHECK(fixture.servers[0].request_count() == before);
    it.stop();
}

// With requests active over a switch of settings: those accepted before get one response each, later ones go
// by the new settings, an unsound file changes nothing, and the way back is alike.
TEST_CASE("SIGHUP: other settings, and back") {
    proxy_fixture fixture({.responses = {"hold"}, .start_proxy = false});
    const auto changed = [&](const std::string &from, const std::string &to) {
        std::string made = fixture.config;
        return made.replace(made.find(from), from.size(), to);
    };
    const std::string moved =
        changed(R"("familyInfo":{})", R"("familyInfo":{"mode":"aside","originKind":1})");
    proxy_process it(fixture, "switch_test.json");
    auto &proxy = it.process;
    const int port = it.port;
    test_client out(port);
    out.send(make_request("read", "1"));
    fixture.wait_for_attempt();

    it.reload(changed(R"("drainGraceMs":400)", R"("drainGraceMs":400,"startCapacity":14)"));
    proxy.wait_for_output("reload-failed reason=settings.rules.startCapacity is 14, not from 0 to 1");
    it.reload(changed(R"("name":"p0")", R"("name":"p1")"));
    proxy.wait_for_output("reload-failed reason=name cannot change while the program runs");
    it.reload(moved);
    proxy.wait_for_output("origin=aside");
    // In hand since before the switch: sent once, and its answer is the client's.
    CHECK(fixture.attempt_count() == 1);
    for (auto &server : fixture.servers)
        server.push_response(ok_response("held"));
    CHECK(status_and_body(out.read()) == "HTTP/1.1 200 [held]");
    // Writes go to the origin now, reads to the one cache that is left.
    const std::size_t reads = fixture.servers[0].request_count(), writes = fixture.servers[1].request_count();
    for (int key = 0; key < 6; ++key) {
        CHECK(status_and_body(test_client(port).request(make_request("bill", std::to_string(key)))) ==
              "HTTP/1.1 200 [value]");
        CHECK(status_and_body(test_client(port).request(make_request("read", std::to_string(key)))) ==
              "HTTP/1.1 200 [value]");
    }
    CHECK(fixture.servers[0].request_count() == reads + 6);
    CHECK(fixture.servers[1].request_count() == writes + 6);

    it.reload(fixture.config);
    proxy.wait_for_output("origin=through");
    const std::size_t before = fixture.servers[1].request_count(), all = fixture.attempt_count();
    for (int key = 0; key < 12; ++key)
        CHECK(status_and_body(test_client(port).request(make_request("read", std::to_string(key)))) ==
              "HTTP/1.1 200 [value]");
    CHECK(fixture.servers[1].request_count() > before); // a cache server again
    CHECK(fixture.attempt_count() == all + 12);
    it.stop();
}

// No request is lost or executed twice while settings switch to and fro under load: names in another order,
// another mode.
TEST_CASE("SIGHUP: other settings under load") {
    proxy_fixture fixture({.start_proxy = false});
    proxy_process it(fixture, "load_test.json");
    std::string moved = fixture.config;
    moved.replace(moved.find(R"("familyInfo":{})"), 15, R"("familyInfo":{"mode":"aside","originKind":1})");
    const auto list = moved.find(R"("useCases":[)") + 12;
    moved.insert(list, R"({"name":"first","effect":"idempotent","group":"all","sloTimeMs":90},)");
    constexpr int workers = 4, each = 150;
    std::atomic<int> served = 0, asked = 0;
    std::vector<std::thread> clients;
    clients.reserve(workers);
    for (int worker = 0; worker < workers; ++worker)
        clients.emplace_back([&, worker] {
            test_client from(it.port);
            for (int at = 0; at < each; ++at) {
                const std::string key = std::to_string(worker * each + at);
                served += status_and_body(from.request(make_request(at % 2 == 0 ? "bill" : "read", key))) ==
                          "HTTP/1.1 200 [value]";
                ++asked;
            }
        });
    const auto count = [&](const std::string &line) {
        return static_cast<int>(test::count_occurrences(it.process.output(), line));
    };
    int switches = 0;
    while (asked < workers * each || switches % 2 != 0) {
        it.reload(switches % 2 == 0 ? moved : fixture.config);
        ++switches;
        while (count(" adopted ") < switches)
            std::this_thread::yield();
    }
    for (auto &client : clients)
        client.join();
    CHECK(served == workers * each);
    CHECK(fixture.attempt_count() == workers * each);
    it.stop();
}

// For settings that were edited by hand, the place and the fault are named.
TEST_CASE("settings out of bounds") {
    proxy_fixture fixture({.start_proxy = false});
    const auto fault = [&](const std::string &from, const std::string &to) -> std::string {
        std::string made = fixture.config;
        try {
            read_configuration(made.replace(made.find(from), from.size(), to));
        } catch (const parse_error &bad) {
            return bad.reason;
        }
        return "";
    };
    CHECK(fault("9000", "9000").empty());
    CHECK(fault(R"("windowMs":9000)", R"("windowMs":-1)") ==
          "settings.useCases.0.windowMs is -1, not from 0 to 8.64e+07");
    CHECK(fault(R"("windowMs":9000)", R"("windowMs":"soon")") == "settings.useCases.0.windowMs is no number");
    CHECK(fault(R"("at_most_once")", R"("once")") ==
          "settings.useCases.2.effect is 'once', which is not known");
    CHECK(fault(R"("quotaRps":1000)", R"("quotaRps":-5)") ==
          "settings.tenants.0.quotaRps is -5, not from 0 to 1e+09");
    CHECK(fault(R"("tickMs":5)", R"("tickMs":5,"locality":7)") ==
          "settings.locality is none of settings.zones");
    CHECK(fault(R"("familyInfo":{})", R"("familyInfo":{"mode":"aside","originKind":2})") ==
          "settings.familyInfo.originKind is none of settings.shapes");
    CHECK(fault(R"("familyInfo":{})", R"("familyInfo":{"mode":"beside"})") ==
          "settings.familyInfo.mode is 'beside', which is not known");
}

// A request that crosses a switch of settings must not keep indices into names that are no longer in force.
TEST_CASE("a query understood by the old names is not taken") {
    proxy_fixture fixture({.start_proxy = false});
    const auto old = std::make_shared<const configuration>(read_configuration(fixture.config));
    const auto next = std::make_shared<const configuration>(read_configuration(fixture.config));
    dispatcher decides(old);
    decides.on_check_health = [](endpoint_index) {};
    decides.on_watch_endpoints = [] {};
    request_info made;
    made.deadline = decides.now() + 100;
    request_handle late, held;
    CHECK(decides.submit(held, made, old));
    decides.apply(next, {});
    CHECK(decides.configuration_in_force() == next);
    CHECK_FALSE(decides.submit(late, made, old));
    CHECK(decides.is_released(late));
    CHECK_FALSE(decides.is_released(held)); // it was taken before, and is still in hand
    CHECK(decides.submit(late, made, next));
    for (auto *const each : {&late, &held}) {
        decides.client_disconnected(*each);
        CHECK(decides.is_released(*each));
    }
}

// Settings and endpoint list switch together: while discovery does not answer, both stay.
TEST_CASE("SIGHUP: other settings wait for their list") {
    proxy_fixture fixture({.start_proxy = false});
    test_server other([&](const std::string &) { return "hold"; });
    std::string moved = fixture.config;
    moved.replace(moved.find(fixture.discovery.address()), fixture.discovery.address().size(),
                  other.address());
    moved.replace(moved.find(R"("familyInfo":{})"), 15, R"("familyInfo":{"mode":"aside","originKind":1})");
    proxy_process it(fixture, "waits_test.json");
    auto &proxy = it.process;
    const int port = it.port;
    it.reload(moved);
    other.wait_for_requests(1);
    for (int key = 0; key < 12; ++key) // also to the one that would be the origin
        CHECK(status_and_body(test_client(port).request(make_request("read", std::to_string(key)))) ==
              "HTTP/1.1 200 [value]");
    CHECK(fixture.servers[1].request_count() > 0);
    CHECK(proxy.output().find("adopted") == std::string::npos);
    other.push_response(ok_response(fixture.endpoint_list_json("active", true)));
    proxy.wait_for_output("origin=aside");
    it.stop();
}

// No request is lost at a planned stop, and clients whom no other proxy serves yet go on: new connections are
// served, active requests get their responses, then the process ends.
TEST_CASE("a planned end") {
    proxy_fixture fixture({.responses = {"hold"}});
    test_client out(fixture.port), idle(fixture.port);
    CHECK(idle.request("GET /_health HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 200"));
    out.send(make_request("read", "1"));
    fixture.wait_for_attempt();
    std::thread ending([&] { fixture.proxy->end(0.3); });
    while (fixture.is_ready())
        std::this_thread::yield();
    test_client late(fixture.port);
    for (auto *const client : {&late, &idle, &late}) {
        const std::string answer = client->request(make_request("read", "2"));
        CHECK(status_and_body(answer) == "HTTP/1.1 200 [value]");
        CHECK(answer.find("\r\nConnection: close\r\n") == std::string::npos);
    }
    CHECK(late.wait_for_close());
    CHECK(idle.wait_for_close());
    for (auto &server : fixture.servers)
        server.push_response(ok_response("held"));
    const std::string last = out.read();
    CHECK(status_and_body(last) == "HTTP/1.1 200 [held]");
    CHECK(last.find("\r\nConnection: close\r\n") != std::string::npos);
    ending.join();
    CHECK_THROWS(test_client(fixture.port));
}

// The request's deadline is later than the time at which the platform kills the process: the stop must not
// wait for it.
TEST_CASE("a planned end waits no longer than the longest statement timeout") {
    proxy_fixture fixture({.responses = {"hold"}, .request_timeout_ms = 100});
    test_client client(fixture.port);
    client.send(make_request("bill", "1", "60000m"));
    fixture.wait_for_attempt();
    fixture.proxy->end(0);
    CHECK(client.read().starts_with("HTTP/1.1 50"));
    CHECK(fixture.proxy->counts().value(counter::aborted) == 1);
}

// With no connection open when the stop begins, clients are still sent here for a while and must be served.
TEST_CASE("a planned end serves on for its grace") {
    proxy_fixture fixture;
    const auto from = std::chrono::steady_clock::now();
    std::thread ending([&] { fixture.proxy->end(0.3); });
    while (fixture.is_ready())
        std::this_thread::yield();
    CHECK(status_and_body(test_client(fixture.port).request(make_request("read", "1"))) ==
          "HTTP/1.1 200 [value]");
    ending.join();
    CHECK(std::chrono::steady_clock::now() - from >= std::chrono::milliseconds(300));
}

// At the limit on sockets idle clients make room, nobody is rejected because of them, and a connection whose
// response did not say that it closes is there for the next request.
TEST_CASE("many idle clients") {
    proxy_fixture fixture({.socket_limit = 96}); // 96 less own use: some 20 clients
    std::list<test_client> idle;
    int closing = 0;
    for (int i = 0; i < 80; ++i) {
        auto &client = idle.emplace_back(fixture.port);
        bool closes = false;
        for (int query = 0; query < 2 && !closes; ++query) {
            const std::string answer = client.request(make_request("read", "1"));
            CHECK(status_and_body(answer) == "HTTP/1.1 200 [value]");
            closes = answer.find("\r\nConnection: close\r\n") != std::string::npos;
        }
        closing += closes;
    }
    CHECK(closing > 40);
    CHECK(closing < 70);
    CHECK(fixture.proxy->counts().value(counter::rejected_too_many_connections) == 0);
}

TEST_CASE("counters and configurations") {
    std::ostringstream text;
    counters().print(text);
    CHECK(text.str().starts_with("counter queries_taken 0\ncounter queries_malformed 0\n"));
    CHECK(text.str().ends_with("counter server_kept_stale 0\n"));
    for (const char *bad :
         {"{}", "[]", R"({"settings":{}})", R"({"listen":"x","discovery":"y","settings":{}})",
          R"({"listen":"x","discovery":"y","settings":{"useCases":[{"sloTimeMs":"a"}]}})"})
        CHECK_THROWS_AS(read_configuration(bad), parse_error);
}

} // namespace harrierpass::proxy
