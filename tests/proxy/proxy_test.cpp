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
        {"completed", ok("value", "X-Cache: miss\r\n")},
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
        {"more behind", ok("value") + ok("value")},
        {"interim", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok("value")}};
    std::ostringstream trace;
    for (const auto &[name, first] : outcomes) {
        for (const std::string use : {"read", "book", "bill"}) {
            stand with({.replies = {first}});
            toy_client client(with.port);
            const std::string answer = told(client.ask(asks(use, "1")));
            trace << use << ", " << name << ": " << answer << " after " << with.executions() << '\n';
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
        replies.insert(replies.end(), 10, ok("value"));
    }
    stand with({.replies = replies});
    toy_client client(with.port);
    for (int i = 0; i < 60; ++i)
        CHECK(told(client.ask(asks("read", std::to_string(i)))) == "HTTP/1.1 200 [value]");
    const auto &counted = with.proxy->counts();
    CHECK(counted.of(counter::attempts_malformed) > 4);
    CHECK(counted.of(counter::attempts_malformed) == counted.of(counter::attempts_error));
    CHECK(counted.of(counter::health_checks) == 0);
    with.proxy->end(0);
    CHECK(with.lines.str().find("reason=suspect") == std::string::npos);
    CHECK(with.lines.str().find("reason=spoilt") != std::string::npos);
}

// In deployments whose endpoints do not fetch what they lack; here the second server is the origin.
TEST_CASE("a miss goes to the origin") {
    stand with({.replies = {"HTTP/1.1 404 None\r\nX-Cache: miss\r\nContent-Length: 0\r\n\r\n"},
                .family = R"({"mode":"aside","originKind":1})"});
    toy_client client(with.port);
    CHECK(told(client.ask(asks("read", "1"))) == "HTTP/1.1 200 [value]");
    CHECK(with.servers[0].count() == 1);
    CHECK(with.servers[1].count() == 1);
    CHECK(told(client.ask(asks("bill", "1"))) == "HTTP/1.1 200 [value]"); // a write
    CHECK(with.servers[1].count() == 2);
    CHECK(with.proxy->counts().of(counter::attempts_cache_miss) == 1);
}

TEST_CASE("what a server is sent") {
    stand with;
    toy_client client(with.port);
    CHECK(told(client.ask(asks("book", "7"))) == "HTTP/1.1 200 [value]");
    const std::string sent = with.servers[0].count() > 0 ? with.servers[0].last() : with.servers[1].last();
    CHECK(sent.starts_with("PUT /book/7 HTTP/1.1\r\n"));
    CHECK(sent.find("\r\nX-Request-Id: 9b7\r\n") != std::string::npos);
    CHECK(sent.find("\r\nIdempotency-Key: k7\r\n") != std::string::npos);
    CHECK(sent.ends_with("\r\n\r\nbody"));
    const auto deadline = sent.find("\r\nX-Deadline: 2");
    CHECK(deadline != std::string::npos);
    CHECK(sent.find("\r\nX-Deadline: ", deadline + 1) == std::string::npos);
    for (int i = 0; i < 5; ++i) // on kept connections
        CHECK(told(client.ask(asks("read", "7"))) == "HTTP/1.1 200 [value]");
    CHECK(with.servers[0].connections() + with.servers[1].connections() <= 2);
}

TEST_CASE("requests that are no queries") {
    stand with;
    const auto status = [&](const std::string &text) { return toy_client(with.port).ask(text).substr(9, 3); };
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
    CHECK(with.executions() == 0);
    // Hundreds at once: each is told, until the connection ends.
    toy_client many(with.port);
    std::string all;
    for (int i = 0; i < 300; ++i)
        all += "GET /read/1 HTTP/1.1\r\n\r\n";
    many.send(all);
    std::string told_all;
    for (std::string part; !(part = many.read()).empty();)
        told_all += part;
    CHECK(test::count_of(told_all, "HTTP/1.1 400") == 16);
    CHECK(told_all.find("Connection: close") != std::string::npos);
    // Two at once from a client that does not wait: answered in order.
    toy_client client(with.port);
    client.send(asks("read", "1") + "GET /_health HTTP/1.1\r\n\r\n");
    const std::string both = client.read();
    CHECK(both.starts_with("HTTP/1.1 200 OK\r\nContent-Length: 5"));
    CHECK((both.size() > 60 || client.read().starts_with("HTTP/1.1 200")));
    with.proxy->end(0);
    CHECK(with.lines.str().find(" queries=1 open=") != std::string::npos);
    CHECK(with.lines.str().find(" reason=bad_request") != std::string::npos);
}

// A request with the id of an open one has no effect and does not disturb the first one.
TEST_CASE("an id that is open") {
    stand with({.replies = {"hold"}});
    toy_client first(with.port), second(with.port);
    first.send(asks("bill", "1"));
    with.wait_for_execution();
    CHECK(second.ask(asks("bill", "1")).starts_with("HTTP/1.1 409"));
    for (auto &server : with.servers)
        server.push(ok("value"));
    CHECK(told(first.read()) == "HTTP/1.1 200 [value]");
    CHECK(with.executions() == 1);
    CHECK(told(second.ask(asks("bill", "1"))) == "HTTP/1.1 200 [value]"); // it is free again
}

// Clients that send nothing, stop half way, or never close get an error or a closed connection within 3 s. No
// connection closes over a request that has come.
TEST_CASE("clients that are silent or slow") {
    stand with({.sockets = 85}); // 16 clients; half of them and more leave little room
    stand roomy;
    toy_client silent(with.port), half(with.port), busy(with.port), stays(roomy.port);
    CHECK(told(stays.ask(asks("read", "1"))) == "HTTP/1.1 200 [value]");
    std::list<toy_client> once;
    const auto from = std::chrono::steady_clock::now();
    half.send("PUT /book/1 HTTP/1.1\r\nContent-Length: 4\r\n\r\nbo");
    for (int i = 0; i < 10; ++i)
        CHECK(told(once.emplace_back(with.port).ask(asks("read", "1"))) == "HTTP/1.1 200 [value]");
    for (int i = 0; i < 2; ++i)
        CHECK(told(busy.ask(asks("read", "2"))) == "HTTP/1.1 200 [value]");
    toy_client huge(with.port);
    CHECK(huge.ask("PUT /book/1 HTTP/1.1\r\nContent-Length: 600000000\r\n\r\n").starts_with("HTTP/1.1 413"));
    CHECK(silent.ended());
    CHECK(half.read().starts_with("HTTP/1.1 408"));
    // Any of them: they end until there is room, and which goes first is a matter of threads.
    while (std::none_of(once.begin(), once.end(), [](auto &each) { return each.ended_now(); }))
        std::this_thread::yield();
    CHECK(!stays.ended_now()); // where there is room
    CHECK(std::chrono::steady_clock::now() - from < std::chrono::milliseconds(2900));
    CHECK(told(busy.ask(asks("read", "2"))) == "HTTP/1.1 200 [value]");
    with.proxy->end(0);
    for (const char *reason : {"silent", "idle", "client_slow"})
        CHECK(with.lines.str().find(std::string(" reason=") + reason) != std::string::npos);
}

// Memory stays bounded where endpoints come under ever new ids, also at the address of a removed one.
TEST_CASE("servers that are replaced") {
    stand with;
    toy_client client(with.port);
    const auto entry = [&](const std::string &id, std::size_t at, const char *phase) {
        auto list = with.list(phase, false);
        list.replace(list.find("\"s0\""), 4, "\"" + id + "\"");
        list.replace(list.find(with.servers[0].at()), with.servers[0].at().size(), with.servers[at].at());
        return list.substr(list.find("[{") + 1, list.rfind("}]") - list.find("[{"));
    };
    std::string before = "s0";
    for (int i = 0; i < 20; ++i) {
        const std::string next = "n" + std::to_string(i);
        const std::size_t told_before = with.discovery.count();
        with.discovery.push(ok(R"({"revision":50,"complete":false,"members":[)" + entry(before, 0, "left") +
                               "," + entry(next, 0, "active") + "]}"));
        with.discovery.wait_for(told_before + 1);
        for (int key = 0; key < 4; ++key)
            CHECK(told(client.ask(asks("read", std::to_string(key)))) == "HTTP/1.1 200 [value]");
        before = next;
    }
    CHECK(with.proxy->endpoint_slots() <= 4);
    CHECK(with.servers[0].count() > 20);
    with.proxy->end(0);
    CHECK(with.lines.str().find("server=n5 executions=") != std::string::npos);
    CHECK(with.lines.str().find(" reason=gone") != std::string::npos);
}

// A blocked thread is woken by a decision: the endpoint falls silent, the router cancels the attempt, and the
// other endpoint gets the request well before the client's deadline.
TEST_CASE("a silent server's query is called off and sent elsewhere") {
    stand with({.replies = {"hold"}});
    toy_client client(with.port);
    const auto from = std::chrono::steady_clock::now();
    CHECK(told(client.ask(asks("read", "1"))) == "HTTP/1.1 200 [value]");
    CHECK(std::chrono::steady_clock::now() - from < std::chrono::milliseconds(2000));
    CHECK(with.proxy->counts().of(counter::attempts_canceled) == 1);
    // Then it is probed, answers, and has its key back.
    while (with.proxy->counts().of(counter::health_checks_answered) == 0)
        std::this_thread::yield();
    auto &silent = with.servers[with.servers[0].last().starts_with("GET /ping") ? 0 : 1];
    while (!silent.last().starts_with("GET /read/1"))
        CHECK(told(client.ask(asks("read", "1"))) == "HTTP/1.1 200 [value]");
}

TEST_CASE("the final answer comes before the client's end, and says whether to come back") {
    stand with({.replies = {"hold", "hold"}});
    toy_client one(with.port), two(with.port);
    one.send(asks("read", "1", "300m"));
    two.send(asks("bill", "2", "300m"));
    const std::string rejected = one.read(), aborted = two.read();
    CHECK(rejected.starts_with("HTTP/1.1 503"));
    CHECK(rejected.find("\r\nRetry-After: 1.500\r\n") != std::string::npos);
    CHECK(aborted.starts_with("HTTP/1.1 504"));
    CHECK(aborted.find("Retry-After") == std::string::npos);
}

// Sixteen attempts are in flight, as many as the router allows at two endpoints it does not know. What comes
// then is queued: it keeps its place, and its client may leave.
TEST_CASE("held queries") {
    stand with({.replies = std::vector<std::string>(40, "hold")});
    const auto &counted = with.proxy->counts();
    std::list<toy_client> clients;
    for (std::size_t total = 1; total <= 17; ++total) {
        clients.emplace_back(with.port).send(asks("audit", std::to_string(total)));
        while (counted.of(counter::requests) < total)
            std::this_thread::yield();
    }
    while (with.executions() < 16)
        std::this_thread::yield();
    CHECK(with.executions() == 16);
    with.servers[0].push(ok("first")); // makes a place for the one that is held
    while (with.executions() < 17)
        std::this_thread::yield();
    clients.emplace_back(with.port).send(asks("audit", "18"));
    while (counted.of(counter::requests) < 18)
        std::this_thread::yield();
    clients.pop_back();
    while (counted.of(counter::client_disconnects) == 0)
        std::this_thread::yield();
    CHECK(with.executions() == 17);
    for (int i = 0; i < 20; ++i)
        for (auto &server : with.servers)
            server.push(ok("late"));
    for (auto &client : clients)
        CHECK(client.read().starts_with("HTTP/1.1 200"));
}

// On a platform where no signal ends a wait, a queued request still sees its decision, and an idle connection
// the planned stop.
TEST_CASE("calls among threads that are lost") {
    stand with({.replies = std::vector<std::string>(40, "hold")});
    struct sigaction none {
    }, before{};
    none.sa_handler = SIG_IGN;
    sigaction(SIGUSR2, &none, &before);
    std::list<toy_client> clients;
    for (std::size_t total = 1; total <= 17; ++total) {
        clients.emplace_back(with.port).send(asks("audit", std::to_string(total)));
        while (with.proxy->counts().of(counter::requests) < total)
            std::this_thread::yield();
    }
    while (with.executions() < 16)
        std::this_thread::yield();
    for (int i = 0; i < 20; ++i)
        for (auto &server : with.servers)
            server.push(ok("late"));
    for (auto &client : clients)
        CHECK(client.read().starts_with("HTTP/1.1 200"));
    const double ends = steady_now();
    with.proxy->end(0);
    CHECK(steady_now() - ends < 1.5); // they rest for 2.2 s else
    sigaction(SIGUSR2, &before, nullptr);
}

// Idle connections to endpoints have the descriptors that clients leave, and no more.
TEST_CASE("servers' connections have what clients leave") {
    toy_server server([](const std::string &) { return ok("value"); });
    std::ostringstream lines;
    counters counted;
    log to(lines, log_level::info);
    upstream_pool servers(0.25, 5, 6, counted, to);
    servers.set_endpoint(0_endpoint, "s0", server.at(), 0, 0);
    servers.set_endpoint(1_endpoint, "s1", server.at(), 0, 0);
    std::list<upstream_connection> in_use;
    for (index i = 0; i < 4; ++i)
        in_use.push_back(servers.acquire(0_endpoint, 1));
    for (auto &each : in_use)
        servers.release(std::move(each), 1);
    servers.reserve_for_clients(1, 1);
    auto other = servers.acquire(1_endpoint, 1); // the sixth descriptor
    CHECK(other.socket);
    CHECK(lines.str().empty());
    servers.reserve_for_clients(2, 1);
    CHECK(lines.str().find("server=s0 executions=0 open=0 rested=0 reason=reclaimed") != std::string::npos);
    CHECK(servers.acquire(0_endpoint, 1).socket); // a kept one
    CHECK(counted.of(counter::upstream_connects) == 5);
}

// An endpoint may close its connections right after a response: those that have been idle longer are used
// first.
TEST_CASE("a server's connection rests before its next use") {
    toy_server server([](const std::string &) { return ok("value"); });
    std::ostringstream lines;
    counters counted;
    log to(lines, log_level::info);
    upstream_pool servers(0.25, 5, 6, counted, to);
    servers.set_endpoint(0_endpoint, "s0", server.at(), 0, 0);
    auto first = servers.acquire(0_endpoint, 1), second = servers.acquire(0_endpoint, 1);
    const int older = first.socket.get(), latest = second.socket.get();
    servers.release(std::move(first), 1);
    servers.release(std::move(second), 1.1);
    auto used = servers.acquire(0_endpoint, 1.101);
    CHECK(used.socket.get() == older);
    servers.release(std::move(used), 1.102);
    CHECK(servers.acquire(0_endpoint, 1.2).socket.get() == older); // both have rested: the latest
    CHECK(servers.acquire(0_endpoint, 1.2).socket.get() == latest);
    CHECK(counted.of(counter::upstream_connects) == 2);
}

// Other requests' connections stay open: where a process died they show it themselves.
TEST_CASE("a reset ends its own connection only") {
    stand with({.replies = {"hold"}});
    toy_client out(with.port), other(with.port);
    out.send(asks("read", "1"));
    with.wait_for_execution();
    std::string next = asks("read", "1");
    next.replace(next.find("9b1"), 3, "9b2");
    CHECK(told(other.ask(next)) == "HTTP/1.1 200 [value]"); // on a second connection, to the same server
    for (auto &server : with.servers)
        server.push("reset");
    CHECK(told(out.read()) == "HTTP/1.1 200 [value]");
    with.proxy->end(0);
    CHECK(with.lines.str().find("side=server server=s") != std::string::npos);
    CHECK(with.lines.str().find(" reason=reset") != std::string::npos);
    CHECK(with.lines.str().find(" reason=suspect") == std::string::npos);
}

// Beyond the limits on sockets and memory a client is rejected at once, before anything was executed.
TEST_CASE("more clients than there is room for") {
    stand with({.replies = std::vector<std::string>(40, "hold"), .sockets = 85}); // 16 clients
    std::list<toy_client> clients;
    for (std::size_t total = 1; total <= 16; ++total) {
        clients.emplace_back(with.port).send(asks("audit", std::to_string(total)));
        while (with.executions() < total)
            std::this_thread::yield();
    }
    const std::string refused = toy_client(with.port).ask(asks("bill", "99"));
    CHECK(refused.starts_with("HTTP/1.1 503"));
    CHECK(refused.find("\r\nRetry-After: 1.500\r\n") != std::string::npos);
    CHECK(with.proxy->counts().of(counter::rejected_too_many_connections) == 1);
    CHECK(with.executions() == 16);
    for (int i = 0; i < 20; ++i)
        for (auto &server : with.servers)
            server.push(ok("late"));
    for (auto &client : clients)
        CHECK(told(client.read()) == "HTTP/1.1 200 [late]");
}

// At the limit on sockets an idle connection makes room.
TEST_CASE("resting clients are ended at the limit") {
    stand with({.sockets = 256}); // 118 clients; from 76 on, well below a third of the sockets, room is made
    std::list<toy_client> resting;
    for (int i = 0; i < 80; ++i)
        resting.emplace_back(with.port);
    while (!resting.front().ended_now())
        toy_client(with.port).ask("GET /_health HTTP/1.1\r\n\r\n");
    with.proxy->end(0);
    CHECK(with.lines.str().find(" queries=0 open=") != std::string::npos);
    CHECK(with.lines.str().find(" reason=reclaimed") != std::string::npos);
}

TEST_CASE("a query in many parts, and one that never comes whole") {
    stand with;
    toy_client slow(with.port);
    for (const char one : asks("read", "1")) {
        slow.send(std::string(1, one));
        std::this_thread::yield();
    }
    CHECK(told(slow.read()) == "HTTP/1.1 200 [value]");
    slow.send("PUT /book/1 HTTP/1.1\r\nX-Request-Id: 1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
    CHECK(slow.read() == "HTTP/1.1 100 Continue\r\n\r\n");
    CHECK(told(slow.ask("body")) == "HTTP/1.1 200 [value]");
    toy_client(with.port).send("GET /read/1 HT");
    while (with.proxy->counts().of(counter::client_connections_closed) <
           with.proxy->counts().of(counter::client_connections_accepted) - 1)
        std::this_thread::yield();
    with.proxy->end(0);
    CHECK(with.lines.str().find(" reason=client_cut") != std::string::npos);
}

// The router's count of what is in flight at an endpoint stays right: the attempt goes on without its client.
TEST_CASE("a client that leaves") {
    stand with({.replies = {"hold"}});
    {
        toy_client client(with.port);
        client.send(asks("read", "1"));
        with.wait_for_execution();
    }
    while (with.proxy->counts().of(counter::client_disconnects) == 0)
        std::this_thread::yield();
    CHECK(with.proxy->counts().of(counter::attempts_completed) == 0);
    for (auto &server : with.servers)
        server.push(ok("late"));
    while (with.proxy->counts().of(counter::attempts_completed) == 0)
        std::this_thread::yield();
    CHECK(with.proxy->counts().of(counter::completed) == 0);
    CHECK(told(toy_client(with.port).ask(asks("read", "1"))) == "HTTP/1.1 200 [value]");
}

// Endpoints get no requests that nobody waits for: a connect may take longer than the client stays.
TEST_CASE("a client that leaves while a connection to its server comes up") {
    stand with({.dial_ms = 5000});
    const full_server late;
    std::string list = with.list("active", true);
    for (const auto &each : with.servers)
        list.replace(list.find(each.at()), each.at().size(), late.at());
    with.discovery.push(ok(list));
    with.discovery.wait_for(3);
    auto &count = with.proxy->counts();
    {
        toy_client client(with.port);
        client.send(asks("bill", "1"));
        while (count.of(counter::upstream_connects) == 0)
            std::this_thread::yield();
    }
    const tcp_socket came = late.make_room();
    while (count.of(counter::client_disconnects) == 0)
        std::this_thread::yield();
    CHECK(count.of(counter::attempts_sent) == 0);
    std::array<char, 64> bytes{};
    with.proxy.reset(); // its connections end; a probe may have been written meanwhile, the query never
    CHECK(::recv(came.get(), bytes.data(), bytes.size(), 0) >= 0);
    CHECK(std::string_view(bytes.data(), bytes.size()).find("/bill/") == std::string_view::npos);
}

// A request must not be written on an idle connection that its endpoint has closed: nobody could tell whether
// it was executed.
TEST_CASE("a kept connection that may have ended is not used") {
    stand with({.replies = {"cut:" + ok("value"), ok("value"), ok("value")}});
    toy_client client(with.port);
    for (std::size_t ended = 0; ended < 3; ++ended) {
        CHECK(told(client.ask(asks("bill", "1"))) == "HTTP/1.1 200 [value]");
        // The first is ended by its server, the others as they are idle near the limit.
        while (ended == 0 && with.servers[0].open() + with.servers[1].open() > 0)
            std::this_thread::yield();
        while (ended > 0 && with.proxy->counts().of(counter::upstream_connections_stale) <= ended)
            std::this_thread::yield();
    }
    CHECK(with.servers[0].connections() + with.servers[1].connections() == 3);
    CHECK(with.proxy->counts().of(counter::attempts_reset) == 0);
    CHECK(with.executions() == 3);
}

TEST_CASE("a server that refuses connections") {
    stand with;
    auto gone = std::make_unique<toy_server>([](const std::string &) { return ok("never"); });
    const std::string at = gone->at();
    gone.reset();
    auto list = with.list("active", false);
    list.replace(list.find(with.servers[0].at()), with.servers[0].at().size(), at);
    with.discovery.push(ok(list));
    with.discovery.wait_for(3); // the next watch: the list has been told
    for (int key = 0; key < 8; ++key)
        CHECK(told(toy_client(with.port).ask(asks("bill", std::to_string(key)))) == "HTTP/1.1 200 [value]");
    CHECK(with.proxy->counts().of(counter::attempts_connect_error) > 0);
    CHECK(with.servers[0].count() == 0);
    CHECK(with.servers[1].count() == 8);
    while (with.proxy->counts().of(counter::health_checks) == 0)
        std::this_thread::yield();
    CHECK(with.proxy->counts().of(counter::health_checks_answered) == 0);
}

// Draining endpoints in the list get no requests; the old list stands while discovery is lost.
TEST_CASE("the list is followed") {
    stand with;
    with.discovery.push(ok(with.list("leaving", false)));
    with.discovery.wait_for(3);
    CHECK(with.discovery.last().starts_with("GET /catalog/members?since=42&"));
    const auto ask_all = [&] {
        for (int key = 0; key < 8; ++key)
            CHECK(told(toy_client(with.port).ask(asks("read", std::to_string(key)))) ==
                  "HTTP/1.1 200 [value]");
    };
    ask_all();
    CHECK(with.servers[0].count() == 0);
    with.discovery.push("cut:HTTP/1.1 500 Down\r\nContent-Length: 0\r\n\r\n");
    while (with.proxy->counts().of(counter::polls_failed) == 0)
        std::this_thread::yield();
    ask_all();
    CHECK(with.servers[0].count() == 0);
    with.discovery.wait_for(4); // asked again, for the whole list, in which the server is back
    while (with.proxy->counts().of(counter::endpoint_updates) < 3)
        std::this_thread::yield();
    ask_all();
    CHECK(with.servers[0].count() > 0);
}

// A restart while discovery is down works with the known endpoints; discovery is polled again soon, so that
// draining endpoints are known on its return.
TEST_CASE("discovery is silent from the start") {
    stand with({.silent = true});
    CHECK(told(toy_client(with.port).ask(asks("read", "1"))) == "HTTP/1.1 200 [value]");
    with.discovery.wait_for(3);
    CHECK(with.proxy->counts().of(counter::polls_failed) >= 2);
    const std::size_t before = with.servers[0].count();
    with.leaving = true;
    with.silent = false;
    while (with.discovery.last().find("since=41") == std::string::npos) // the list has been told
        std::this_thread::yield();
    for (int key = 0; key < 8; ++key)
        CHECK(told(toy_client(with.port).ask(asks("bill", std::to_string(key)))) == "HTTP/1.1 200 [value]");
    CHECK(with.servers[0].count() == before);
}

// A proxy in service keeps its active requests and follows the discovery that the new file names; an unsound
// file changes nothing.
TEST_CASE("SIGHUP: discovery is at another address") {
    stand with({.replies = {"hold"}, .starts = false});
    toy_server other([&](const std::string &request) {
        return request.find("since=") != std::string::npos ? "hold" : ok(with.list("leaving", true));
    });
    running it(with, "reload_test.json");
    auto &proxy = it.proxy;
    const int port = it.port;
    toy_client out(port);
    out.send(asks("read", "1"));
    with.wait_for_execution();
    it.reload(R"({"settings":)");
    proxy.wait_for("reload-failed ");
    CHECK(proxy.text().find("reloaded") == std::string::npos);
    it.reload(std::string(with.config)
                  .replace(with.config.find(with.discovery.at()), with.discovery.at().size(), other.at()));
    other.wait_for(2);
    CHECK(proxy.text().find("side=discovery reason=moved") != std::string::npos);
    CHECK(with.discovery.connections() == 1);
    for (auto &server : with.servers)
        server.push(ok("held"));
    CHECK(told(out.read()) == "HTTP/1.1 200 [held]");
    const std::size_t before = with.servers[0].count();
    for (int key = 0; key < 8; ++key)
        CHECK(told(toy_client(port).ask(asks("read", std::to_string(key)))).starts_with("HTTP/1.1 200"));
    CHECK(with.servers[0].count() == before);
    it.ends();
}

// With requests active over a switch of settings: those accepted before get one response each, later ones go
// by the new settings, an unsound file changes nothing, and the way back is alike.
TEST_CASE("SIGHUP: other settings, and back") {
    stand with({.replies = {"hold"}, .starts = false});
    const auto changed = [&](const std::string &from, const std::string &to) {
        std::string made = with.config;
        return made.replace(made.find(from), from.size(), to);
    };
    const std::string moved =
        changed(R"("familyInfo":{})", R"("familyInfo":{"mode":"aside","originKind":1})");
    running it(with, "switch_test.json");
    auto &proxy = it.proxy;
    const int port = it.port;
    toy_client out(port);
    out.send(asks("read", "1"));
    with.wait_for_execution();

    it.reload(changed(R"("drainGraceMs":400)", R"("drainGraceMs":400,"startCapacity":14)"));
    proxy.wait_for("reload-failed reason=settings.rules.startCapacity is 14, not from 0 to 1");
    it.reload(changed(R"("name":"p0")", R"("name":"p1")"));
    proxy.wait_for("reload-failed reason=name cannot change while the program runs");
    it.reload(moved);
    proxy.wait_for("origin=aside");
    // In hand since before the switch: sent once, and its answer is the client's.
    CHECK(with.executions() == 1);
    for (auto &server : with.servers)
        server.push(ok("held"));
    CHECK(told(out.read()) == "HTTP/1.1 200 [held]");
    // Writes go to the origin now, reads to the one cache that is left.
    const std::size_t reads = with.servers[0].count(), writes = with.servers[1].count();
    for (int key = 0; key < 6; ++key) {
        CHECK(told(toy_client(port).ask(asks("bill", std::to_string(key)))) == "HTTP/1.1 200 [value]");
        CHECK(told(toy_client(port).ask(asks("read", std::to_string(key)))) == "HTTP/1.1 200 [value]");
    }
    CHECK(with.servers[0].count() == reads + 6);
    CHECK(with.servers[1].count() == writes + 6);

    it.reload(with.config);
    proxy.wait_for("origin=through");
    const std::size_t before = with.servers[1].count(), all = with.executions();
    for (int key = 0; key < 12; ++key)
        CHECK(told(toy_client(port).ask(asks("read", std::to_string(key)))) == "HTTP/1.1 200 [value]");
    CHECK(with.servers[1].count() > before); // a cache server again
    CHECK(with.executions() == all + 12);
    it.ends();
}

// No request is lost or executed twice while settings switch to and fro under load: names in another order,
// another mode.
TEST_CASE("SIGHUP: other settings under load") {
    stand with({.starts = false});
    running it(with, "load_test.json");
    std::string moved = with.config;
    moved.replace(moved.find(R"("familyInfo":{})"), 15, R"("familyInfo":{"mode":"aside","originKind":1})");
    const auto list = moved.find(R"("useCases":[)") + 12;
    moved.insert(list, R"({"name":"first","effect":"idempotent","group":"all","sloTimeMs":90},)");
    constexpr int workers = 4, each = 150;
    std::atomic<int> served = 0, asked = 0;
    std::vector<std::thread> clients;
    clients.reserve(workers);
    for (int worker = 0; worker < workers; ++worker)
        clients.emplace_back([&, worker] {
            toy_client from(it.port);
            for (int at = 0; at < each; ++at) {
                const std::string key = std::to_string(worker * each + at);
                served += told(from.ask(asks(at % 2 == 0 ? "bill" : "read", key))) == "HTTP/1.1 200 [value]";
                ++asked;
            }
        });
    const auto count = [&](const std::string &line) {
        return static_cast<int>(test::count_of(it.proxy.text(), line));
    };
    int switches = 0;
    while (asked < workers * each || switches % 2 != 0) {
        it.reload(switches % 2 == 0 ? moved : with.config);
        ++switches;
        while (count(" adopted ") < switches)
            std::this_thread::yield();
    }
    for (auto &client : clients)
        client.join();
    CHECK(served == workers * each);
    CHECK(with.executions() == workers * each);
    it.ends();
}

// For settings that were edited by hand, the place and the fault are named.
TEST_CASE("settings out of bounds") {
    stand with({.starts = false});
    const auto fault = [&](const std::string &from, const std::string &to) -> std::string {
        std::string made = with.config;
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
    stand with({.starts = false});
    const auto old = std::make_shared<const configuration>(read_configuration(with.config));
    const auto next = std::make_shared<const configuration>(read_configuration(with.config));
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
    stand with({.starts = false});
    toy_server other([&](const std::string &) { return "hold"; });
    std::string moved = with.config;
    moved.replace(moved.find(with.discovery.at()), with.discovery.at().size(), other.at());
    moved.replace(moved.find(R"("familyInfo":{})"), 15, R"("familyInfo":{"mode":"aside","originKind":1})");
    running it(with, "waits_test.json");
    auto &proxy = it.proxy;
    const int port = it.port;
    it.reload(moved);
    other.wait_for(1);
    for (int key = 0; key < 12; ++key) // also to the one that would be the origin
        CHECK(told(toy_client(port).ask(asks("read", std::to_string(key)))) == "HTTP/1.1 200 [value]");
    CHECK(with.servers[1].count() > 0);
    CHECK(proxy.text().find("adopted") == std::string::npos);
    other.push(ok(with.list("active", true)));
    proxy.wait_for("origin=aside");
    it.ends();
}

// No request is lost at a planned stop, and clients whom no other proxy serves yet go on: new connections are
// served, active requests get their responses, then the process ends.
TEST_CASE("a planned end") {
    stand with({.replies = {"hold"}});
    toy_client out(with.port), idle(with.port);
    CHECK(idle.ask("GET /_health HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 200"));
    out.send(asks("read", "1"));
    with.wait_for_execution();
    std::thread ending([&] { with.proxy->end(0.3); });
    while (with.test_ready())
        std::this_thread::yield();
    toy_client late(with.port);
    for (auto *const client : {&late, &idle, &late}) {
        const std::string answer = client->ask(asks("read", "2"));
        CHECK(told(answer) == "HTTP/1.1 200 [value]");
        CHECK(answer.find("\r\nConnection: close\r\n") == std::string::npos);
    }
    CHECK(late.ended());
    CHECK(idle.ended());
    for (auto &server : with.servers)
        server.push(ok("held"));
    const std::string last = out.read();
    CHECK(told(last) == "HTTP/1.1 200 [held]");
    CHECK(last.find("\r\nConnection: close\r\n") != std::string::npos);
    ending.join();
    CHECK_THROWS(toy_client(with.port));
}

// The request's deadline is later than the time at which the platform kills the process: the stop must not
// wait for it.
TEST_CASE("a planned end waits no longer than the longest statement timeout") {
    stand with({.replies = {"hold"}, .statement_ms = 100});
    toy_client client(with.port);
    client.send(asks("bill", "1", "60000m"));
    with.wait_for_execution();
    with.proxy->end(0);
    CHECK(client.read().starts_with("HTTP/1.1 50"));
    CHECK(with.proxy->counts().of(counter::aborted) == 1);
}

// With no connection open when the stop begins, clients are still sent here for a while and must be served.
TEST_CASE("a planned end serves on for its grace") {
    stand with;
    const auto from = std::chrono::steady_clock::now();
    std::thread ending([&] { with.proxy->end(0.3); });
    while (with.test_ready())
        std::this_thread::yield();
    CHECK(told(toy_client(with.port).ask(asks("read", "1"))) == "HTTP/1.1 200 [value]");
    ending.join();
    CHECK(std::chrono::steady_clock::now() - from >= std::chrono::milliseconds(300));
}

// At the limit on sockets idle clients make room, nobody is rejected because of them, and a connection whose
// response did not say that it closes is there for the next request.
TEST_CASE("many idle clients") {
    stand with({.sockets = 96}); // 96 less own use: some 20 clients
    std::list<toy_client> idle;
    int closing = 0;
    for (int i = 0; i < 80; ++i) {
        auto &client = idle.emplace_back(with.port);
        bool closes = false;
        for (int query = 0; query < 2 && !closes; ++query) {
            const std::string answer = client.ask(asks("read", "1"));
            CHECK(told(answer) == "HTTP/1.1 200 [value]");
            closes = answer.find("\r\nConnection: close\r\n") != std::string::npos;
        }
        closing += closes;
    }
    CHECK(closing > 40);
    CHECK(closing < 70);
    CHECK(with.proxy->counts().of(counter::rejected_too_many_connections) == 0);
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
