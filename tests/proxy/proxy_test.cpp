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

// Parsers

std::string parse_json_text(const std::string &text) {
    try {
        const json value = read_json(text);
        return value.type == json::kind::object ? std::string(value.string_at("a")) : value.text;
    } catch (const parse_error &error) {
        return error.reason;
    }
}

TEST_CASE("JSON parser: accepts valid texts and rejects malformed ones") {
    CHECK(parse_json_text(R"( {"a" : "x\n\u00e9\ud83d\ude00/"} )") == "x\n\u00e9\U0001F600/");
    CHECK(parse_json_text("-12.5e+3") == "-12.5e+3");
    CHECK(parse_json_text("[1,[],{}]").empty());
    for (const char *malformed :
         {"",    "{",   "[1,]",    "{\"a\":1,}",       "{\"a\" 1}",   "{a:1}",       "01",  "1.",
          "-",   "1e",  "\"\\x\"", "\"\\u12\"",        "\"\\ud800\"", "\"\\udc00\"", "\"a", "\"\n\"",
          "tru", "1 2", "nan",     "{\"a\":1,\"a\":2}"}) {
        CAPTURE(malformed);
        CHECK(parse_json_text(malformed).starts_with("JSON: "));
    }
    CHECK(parse_json_text(std::string(1000, '[')) == "JSON: nested too deep");
}

// Parses a message that arrives in parts of `step` bytes.
std::string parse_http_text(const std::string &text, http_reader::message_kind kind,
                            std::size_t step = 100000) {
    static constexpr std::array<const char *, 4> states = {"more", "whole", "malformed", "too large"};
    std::vector<char> buffer(buffer_size);
    http_reader reader(buffer, kind);
    auto state = http_reader::state::incomplete;
    for (std::size_t position = 0; position < text.size() && state == http_reader::state::incomplete;) {
        const std::size_t size = std::min({step, text.size() - position, reader.free_space().size()});
        std::copy_n(text.data() + position, size, reader.free_space().data());
        position += size;
        state = reader.received(size);
    }
    std::string result = states[static_cast<std::size_t>(state)];
    if (state == http_reader::state::complete)
        result.append(" [").append(reader.body()).append("] [").append(reader.pipelined_bytes()).append("]");
    return result;
}

TEST_CASE("HTTP reader: parses complete messages that arrive in parts of any size") {
    const auto request = http_reader::message_kind::request, response = http_reader::message_kind::response;
    for (const std::size_t step : {1, 2, 3, 7, 100000}) {
        CAPTURE(step);
        const auto parse = [&](const std::string &text, http_reader::message_kind kind) {
            return parse_http_text(text, kind, step);
        };
        CHECK(parse("GET /a/b HTTP/1.1\r\nHost: x\r\n\r\n", request) == "whole [] []");
        CHECK(parse("PUT /a HTTP/1.1\r\ncontent-length: 3\r\n\r\nabc", request) == "whole [abc] []");
        CHECK(parse("PUT /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", request) == "more");
        CHECK(
            parse("PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\nabcd\r\n2\r\nef\r\n0\r\nT: "
                  "1\r\n\r\n",
                  request) == "whole [abcdef] []");
        CHECK(parse("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200\r\nContent-Length: 1\r\n\r\nz", response) ==
              "whole [z] []");
        CHECK(parse("HTTP/1.1 204 No Content\r\n\r\n", response) == "whole [] []");
        CHECK(parse("HTTP/1.1 200 OK\r\n\r\nuntil the end", response) == "more");
    }
    CHECK(parse_http_text("GET /a HTTP/1.1\r\n\r\nGET /b", request) == "whole [] [GET /b]");
    std::string interim;
    for (int i = 0; i < 5000; ++i)
        interim += "HTTP/1.1 100 \r\n\r\n";
    CHECK(parse_http_text(interim + "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nz", response, 60000) ==
          "whole [z] []");
    const std::string body(max_body_size, 'v');
    CHECK(parse_http_text("PUT /a HTTP/1.1\r\nContent-Length: 65536\r\n\r\n" + body, request)
              .starts_with("whole"));
    CHECK(parse_http_text("PUT /a HTTP/1.1\r\nContent-Length: 99999\r\n\r\n", request) == "too large");
    CHECK(parse_http_text("GET /" + std::string(max_head_size, 'a'), request) == "too large");
    CHECK(parse_http_text("PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n", request) ==
          "too large");
}

// Two recipients must never parse the same bytes as different messages.
TEST_CASE("HTTP reader: rejects malformed messages") {
    for (const char *malformed :
         {"GET  /a HTTP/1.1\r\n\r\n",
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
        CAPTURE(malformed);
        CHECK(parse_http_text(malformed, http_reader::message_kind::request) == "malformed");
    }
    for (const char *malformed :
         {"HTTP/1.1 20 OK\r\n\r\n", "HTTP/1.1 2000 OK\r\n\r\n", "HTTP/1.1  200\r\n\r\n", "200 OK\r\n\r\n"}) {
        CAPTURE(malformed);
        CHECK(parse_http_text(malformed, http_reader::message_kind::response) == "malformed");
    }
}

// A corrupted message may be parsed as any other, but the parsers must not read beyond the buffer, which the
// sanitizers detect, and must terminate.
TEST_CASE("parsers: corrupted bytes cause no invalid read and no endless loop") {
    std::minstd_rand random_source(7);
    const std::string http = "PUT /a/b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n";
    const std::string list = R"({"revision":4,"members":[{"id":"s","size":1.5,"phase":"\u0041"},null,true]})";
    std::size_t parsed_messages = 0;
    for (int round = 0; round < 20000; ++round) {
        std::string corrupted_http = http, corrupted_list = list;
        for (int corruptions = round % 4; corruptions >= 0; --corruptions) {
            corrupted_http[random_source() % corrupted_http.size()] = static_cast<char>(random_source());
            corrupted_list[random_source() % corrupted_list.size()] = static_cast<char>(random_source());
        }
        parsed_messages +=
            parse_http_text(corrupted_http, http_reader::message_kind::request, 1 + random_source() % 20)
                .starts_with("whole");
        parse_json_text(corrupted_list);
    }
    CHECK(parsed_messages > 100); // most corrupted bytes are at positions where any byte is valid
    CHECK(parsed_messages < 19000);
}

TEST_CASE("X-Deadline: accepts milliseconds and microseconds, rejects anything else") {
    CHECK(parse_timeout("480m") == doctest::Approx(0.48));
    CHECK(parse_timeout("1500u") == doctest::Approx(0.0015));
    for (const char *malformed : {"", "m", "5", "5s", "-1m", "1e400m", "nanm", "5 m"})
        CHECK(parse_timeout(malformed) < 0);
}

// The proxy with two endpoints on loopback

// A request may take effect only once, so an outcome that does not rule out execution forbids a retry of a
// request that is not idempotent. Responses are forwarded unchanged.
TEST_CASE("each outcome of a first attempt leads to the expected response and number of attempts") {
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
        // After these responses the endpoint keeps the connection open.
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
    for (const auto &[name, reply] : outcomes) {
        for (const std::string class_name : {"read", "book", "bill"}) {
            proxy_fixture fixture({.responses = {reply}});
            test_client client(fixture.port);
            const std::string response = status_and_body(client.request(make_request(class_name, "1")));
            trace << class_name << ", " << name << ": " << response << " after " << fixture.attempt_count()
                  << '\n';
        }
    }
    CHECK(trace.str() == test::read_file(std::string(HARRIERPASS_TRACES) + "/proxy_outcomes.txt"));
}

// Malformed or stalled responses, here one in eleven, must neither eject a healthy endpoint nor close its
// other connections.
TEST_CASE("malformed responses do not eject an endpoint") {
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
    const auto &counts = fixture.proxy->counts();
    CHECK(counts.value(counter::attempts_malformed) > 4);
    CHECK(counts.value(counter::attempts_malformed) == counts.value(counter::attempts_error));
    CHECK(counts.value(counter::health_checks) == 0);
    fixture.proxy->end(0);
    CHECK(fixture.log_output.str().find("reason=suspect") == std::string::npos);
    CHECK(fixture.log_output.str().find("reason=spoilt") != std::string::npos);
}

// For deployments whose endpoints do not fetch missing values themselves; the second endpoint is the origin.
TEST_CASE("a cache miss and a write go to the origin") {
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

TEST_CASE("forwarded requests keep the protocol's fields and reuse connections") {
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
    for (int i = 0; i < 5; ++i) // on idle connections
        CHECK(status_and_body(client.request(make_request("read", "7"))) == "HTTP/1.1 200 [value]");
    CHECK(fixture.servers[0].connection_count() + fixture.servers[1].connection_count() <= 2);
}

TEST_CASE("malformed requests get an error and reach no endpoint") {
    proxy_fixture fixture;
    const auto status = [&](const std::string &text) {
        return test_client(fixture.port).request(text).substr(9, 3);
    };
    CHECK(status("hello\r\n\r\n") == "400");
    CHECK(status("GET /unknown/1 HTTP/1.1\r\n\r\n") == "400");
    const std::string id = "X-Request-Id: 1\r\n";
    CHECK(status("GET /unknown/1 HTTP/1.1\r\n" + id + "\r\n") == "400");
    CHECK(status("GET /read/1 HTTP/1.1\r\n\r\n") == "400"); // missing id, empty id, two ids
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
    // Hundreds of pipelined requests: each gets an error until the connection closes.
    test_client pipelining(fixture.port);
    std::string requests;
    for (int i = 0; i < 300; ++i)
        requests += "GET /read/1 HTTP/1.1\r\n\r\n";
    pipelining.send(requests);
    std::string responses;
    for (std::string part; !(part = pipelining.read()).empty();)
        responses += part;
    CHECK(test::count_occurrences(responses, "HTTP/1.1 400") == 16);
    CHECK(responses.find("Connection: close") != std::string::npos);
    // Two pipelined requests: the responses come in order.
    test_client client(fixture.port);
    client.send(make_request("read", "1") + "GET /_health HTTP/1.1\r\n\r\n");
    const std::string pipelined_responses = client.read();
    CHECK(pipelined_responses.starts_with("HTTP/1.1 200 OK\r\nContent-Length: 5"));
    CHECK((pipelined_responses.size() > 60 || client.read().starts_with("HTTP/1.1 200")));
    fixture.proxy->end(0);
    CHECK(fixture.log_output.str().find(" queries=1 open=") != std::string::npos);
    CHECK(fixture.log_output.str().find(" reason=bad_request") != std::string::npos);
}

// A request with the id of an active request must have no effect and must not disturb that request.
TEST_CASE("a request with the id of an active request gets a 409") {
    proxy_fixture fixture({.responses = {"hold"}});
    test_client first(fixture.port), second(fixture.port);
    first.send(make_request("bill", "1"));
    fixture.wait_for_attempt();
    CHECK(second.request(make_request("bill", "1")).starts_with("HTTP/1.1 409"));
    for (auto &server : fixture.servers)
        server.push_response(ok_response("value"));
    CHECK(status_and_body(first.read()) == "HTTP/1.1 200 [value]");
    CHECK(fixture.attempt_count() == 1);
    // The id is unused again.
    CHECK(status_and_body(second.request(make_request("bill", "1"))) == "HTTP/1.1 200 [value]");
}

// Clients that send nothing, stop in the middle of a request, or never close get an error or a closed
// connection within 3 s. No connection closes while it has a request.
TEST_CASE("connections of silent, slow and idle clients close within 3 s") {
    // Capacity for 16 clients; idle connections close from half of that on.
    proxy_fixture fixture({.socket_limit = 85});
    proxy_fixture roomy;
    test_client silent(fixture.port), incomplete(fixture.port), busy(fixture.port), undisturbed(roomy.port);
    CHECK(status_and_body(undisturbed.request(make_request("read", "1"))) == "HTTP/1.1 200 [value]");
    std::list<test_client> idle;
    const auto start = std::chrono::steady_clock::now();
    incomplete.send("PUT /book/1 HTTP/1.1\r\nContent-Length: 4\r\n\r\nbo");
    for (int i = 0; i < 10; ++i)
        CHECK(status_and_body(idle.emplace_back(fixture.port).request(make_request("read", "1"))) ==
              "HTTP/1.1 200 [value]");
    for (int i = 0; i < 2; ++i)
        CHECK(status_and_body(busy.request(make_request("read", "2"))) == "HTTP/1.1 200 [value]");
    test_client huge(fixture.port);
    CHECK(huge.request("PUT /book/1 HTTP/1.1\r\nContent-Length: 600000000\r\n\r\n")
              .starts_with("HTTP/1.1 413"));
    CHECK(silent.wait_for_close());
    CHECK(incomplete.read().starts_with("HTTP/1.1 408"));
    // Idle connections close until there is spare capacity; their order depends on the scheduling of threads.
    while (std::none_of(idle.begin(), idle.end(), [](auto &each) { return each.is_closed(); }))
        std::this_thread::yield();
    CHECK(!undisturbed.is_closed()); // this proxy has spare capacity
    CHECK(std::chrono::steady_clock::now() - start < std::chrono::milliseconds(2900));
    CHECK(status_and_body(busy.request(make_request("read", "2"))) == "HTTP/1.1 200 [value]");
    fixture.proxy->end(0);
    for (const char *reason : {"silent", "idle", "client_slow"})
        CHECK(fixture.log_output.str().find(std::string(" reason=") + reason) != std::string::npos);
}

// Memory must stay bounded while endpoints with new ids replace others, also at the address of a removed one.
TEST_CASE("replaced endpoints free their slots") {
    proxy_fixture fixture;
    test_client client(fixture.port);
    const auto entry = [&](const std::string &id, std::size_t server_index, const char *phase) {
        auto list = fixture.endpoint_list_json(phase, false);
        list.replace(list.find("\"s0\""), 4, "\"" + id + "\"");
        list.replace(list.find(fixture.servers[0].address()), fixture.servers[0].address().size(),
                     fixture.servers[server_index].address());
        return list.substr(list.find("[{") + 1, list.rfind("}]") - list.find("[{"));
    };
    std::string previous_id = "s0";
    for (int i = 0; i < 20; ++i) {
        const std::string next_id = "n" + std::to_string(i);
        const std::size_t polls_before = fixture.discovery.request_count();
        fixture.discovery.push_response(ok_response(R"({"revision":50,"complete":false,"members":[)" +
                                                    entry(previous_id, 0, "left") + "," +
                                                    entry(next_id, 0, "active") + "]}"));
        fixture.discovery.wait_for_requests(polls_before + 1);
        for (int key = 0; key < 4; ++key)
            CHECK(status_and_body(client.request(make_request("read", std::to_string(key)))) ==
                  "HTTP/1.1 200 [value]");
        previous_id = next_id;
    }
    CHECK(fixture.proxy->endpoint_slots() <= 4);
    CHECK(fixture.servers[0].request_count() > 20);
    fixture.proxy->end(0);
    CHECK(fixture.log_output.str().find("server=n5 executions=") != std::string::npos);
    CHECK(fixture.log_output.str().find(" reason=gone") != std::string::npos);
}

// A decision of the router wakes a blocked thread: the endpoint does not respond, the router cancels the
// attempt, and the other endpoint gets the request well before the client's deadline.
TEST_CASE("an attempt at an unresponsive endpoint is canceled and retried at another one") {
    proxy_fixture fixture({.responses = {"hold"}});
    test_client client(fixture.port);
    const auto start = std::chrono::steady_clock::now();
    CHECK(status_and_body(client.request(make_request("read", "1"))) == "HTTP/1.1 200 [value]");
    CHECK(std::chrono::steady_clock::now() - start < std::chrono::milliseconds(2000));
    CHECK(fixture.proxy->counts().value(counter::attempts_canceled) == 1);
    // A successful health check reinstates the endpoint, which gets the requests of its key again.
    while (fixture.proxy->counts().value(counter::health_checks_answered) == 0)
        std::this_thread::yield();
    auto &unresponsive = fixture.servers[fixture.servers[0].last_request().starts_with("GET /ping") ? 0 : 1];
    while (!unresponsive.last_request().starts_with("GET /read/1"))
        CHECK(status_and_body(client.request(make_request("read", "1"))) == "HTTP/1.1 200 [value]");
}

TEST_CASE("an unresponsive endpoint: clients get a 503 with Retry-After or a 504 in time") {
    proxy_fixture fixture({.responses = {"hold", "hold"}});
    test_client read_client(fixture.port), bill_client(fixture.port);
    read_client.send(make_request("read", "1", "300m"));
    bill_client.send(make_request("bill", "2", "300m"));
    const std::string rejected = read_client.read(), aborted = bill_client.read();
    CHECK(rejected.starts_with("HTTP/1.1 503"));
    CHECK(rejected.find("\r\nRetry-After: 1.500\r\n") != std::string::npos);
    CHECK(aborted.starts_with("HTTP/1.1 504"));
    CHECK(aborted.find("Retry-After") == std::string::npos);
}

// The router allows sixteen attempts in flight at two endpoints whose capacity it does not know. Further
// requests are queued in order, and a client may disconnect while its request is queued.
TEST_CASE("requests beyond the concurrency limit are queued until an attempt ends") {
    proxy_fixture fixture({.responses = std::vector<std::string>(40, "hold")});
    const auto &counts = fixture.proxy->counts();
    std::list<test_client> clients;
    for (std::size_t total = 1; total <= 17; ++total) {
        clients.emplace_back(fixture.port).send(make_request("audit", std::to_string(total)));
        while (counts.value(counter::requests) < total)
            std::this_thread::yield();
    }
    while (fixture.attempt_count() < 16)
        std::this_thread::yield();
    CHECK(fixture.attempt_count() == 16);
    fixture.servers[0].push_response(ok_response("first")); // lets the queued request start
    while (fixture.attempt_count() < 17)
        std::this_thread::yield();
    clients.emplace_back(fixture.port).send(make_request("audit", "18"));
    while (counts.value(counter::requests) < 18)
        std::this_thread::yield();
    clients.pop_back();
    while (counts.value(counter::client_disconnects) == 0)
        std::this_thread::yield();
    CHECK(fixture.attempt_count() == 17);
    for (int i = 0; i < 20; ++i)
        for (auto &server : fixture.servers)
            server.push_response(ok_response("late"));
    for (auto &client : clients)
        CHECK(client.read().starts_with("HTTP/1.1 200"));
}

// If wake-up signals are lost, a queued request must still see its decision, and an idle connection the
// planned stop.
TEST_CASE("lost wake-up signals delay neither queued requests nor a planned stop") {
    proxy_fixture fixture({.responses = std::vector<std::string>(40, "hold")});
    struct sigaction ignore {
    }, previous{};
    ignore.sa_handler = SIG_IGN;
    sigaction(SIGUSR2, &ignore, &previous);
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
    const double stop_began_at = steady_now();
    fixture.proxy->end(0);
    CHECK(steady_now() - stop_began_at < 1.5); // they would wait for 2.2 s otherwise
    sigaction(SIGUSR2, &previous, nullptr);
}

// A connection pool with one endpoint, which has index 0.
struct pool_fixture {
    pool_fixture() { pool.set_endpoint(0_endpoint, "s0", server.address(), 0, 0); }

    test_server server{[](const std::string &) { return ok_response("value"); }};
    std::ostringstream log_output;
    counters counts;
    log logger{log_output, log_level::info};
    upstream_pool pool{0.25, 5, 6, counts, logger};
};

// Idle upstream connections may use only the file descriptors that clients leave.
TEST_CASE("upstream pool: closes the oldest idle connection when clients need its descriptor") {
    pool_fixture fixture;
    upstream_pool &pool = fixture.pool;
    pool.set_endpoint(1_endpoint, "s1", fixture.server.address(), 0, 0);
    std::list<upstream_connection> in_use;
    for (index i = 0; i < 4; ++i)
        in_use.push_back(pool.acquire(0_endpoint, 1));
    for (auto &connection : in_use)
        pool.release(std::move(connection), 1);
    pool.reserve_for_clients(1, 1);
    auto connection_to_s1 = pool.acquire(1_endpoint, 1); // uses the sixth descriptor
    CHECK(connection_to_s1.socket);
    CHECK(fixture.log_output.str().empty());
    pool.reserve_for_clients(2, 1);
    CHECK(fixture.log_output.str().find("server=s0 executions=0 open=0 rested=0 reason=reclaimed") !=
          std::string::npos);
    CHECK(pool.acquire(0_endpoint, 1).socket); // an idle connection
    CHECK(fixture.counts.value(counter::upstream_connects) == 5);
}

// An endpoint may close its connections right after a response, so connections that have been idle longer are
// preferred.
TEST_CASE("upstream pool: reuses a connection that has been idle long enough to detect a close") {
    pool_fixture fixture;
    upstream_pool &pool = fixture.pool;
    auto first = pool.acquire(0_endpoint, 1), second = pool.acquire(0_endpoint, 1);
    const int older_socket = first.socket.get(), latest_socket = second.socket.get();
    pool.release(std::move(first), 1);
    pool.release(std::move(second), 1.1);
    auto used = pool.acquire(0_endpoint, 1.101);
    CHECK(used.socket.get() == older_socket);
    pool.release(std::move(used), 1.102);
    // Both have been idle long enough, so the most recently used one is reused.
    CHECK(pool.acquire(0_endpoint, 1.2).socket.get() == older_socket);
    CHECK(pool.acquire(0_endpoint, 1.2).socket.get() == latest_socket);
    CHECK(fixture.counts.value(counter::upstream_connects) == 2);
}

// A process that died closes its connections itself, so a reset is no reason to close those of other
// requests.
TEST_CASE("a reset closes only the connection of its attempt") {
    proxy_fixture fixture({.responses = {"hold"}});
    test_client client(fixture.port), other_client(fixture.port);
    client.send(make_request("read", "1"));
    fixture.wait_for_attempt();
    std::string second_request = make_request("read", "1");
    second_request.replace(second_request.find("9b1"), 3, "9b2");
    // Uses a second connection to the same endpoint.
    CHECK(status_and_body(other_client.request(second_request)) == "HTTP/1.1 200 [value]");
    for (auto &server : fixture.servers)
        server.push_response("reset");
    CHECK(status_and_body(client.read()) == "HTTP/1.1 200 [value]");
    fixture.proxy->end(0);
    CHECK(fixture.log_output.str().find("side=server server=s") != std::string::npos);
    CHECK(fixture.log_output.str().find(" reason=reset") != std::string::npos);
    CHECK(fixture.log_output.str().find(" reason=suspect") == std::string::npos);
}

// Beyond the limits on sockets and memory a request must be rejected at once, before any attempt.
TEST_CASE("a request beyond the connection capacity gets a 503 without any attempt") {
    // Capacity for 16 clients.
    proxy_fixture fixture({.responses = std::vector<std::string>(40, "hold"), .socket_limit = 85});
    std::list<test_client> clients;
    for (std::size_t total = 1; total <= 16; ++total) {
        clients.emplace_back(fixture.port).send(make_request("audit", std::to_string(total)));
        while (fixture.attempt_count() < total)
            std::this_thread::yield();
    }
    const std::string rejection = test_client(fixture.port).request(make_request("bill", "99"));
    CHECK(rejection.starts_with("HTTP/1.1 503"));
    CHECK(rejection.find("\r\nRetry-After: 1.500\r\n") != std::string::npos);
    CHECK(fixture.proxy->counts().value(counter::rejected_too_many_connections) == 1);
    CHECK(fixture.attempt_count() == 16);
    for (int i = 0; i < 20; ++i)
        for (auto &server : fixture.servers)
            server.push_response(ok_response("late"));
    for (auto &client : clients)
        CHECK(status_and_body(client.read()) == "HTTP/1.1 200 [late]");
}

TEST_CASE("idle client connections close at the limit on sockets") {
    // Capacity for 118 clients; idle connections close from 76 on, well below a third of the sockets.
    proxy_fixture fixture({.socket_limit = 256});
    std::list<test_client> idle;
    for (int i = 0; i < 80; ++i)
        idle.emplace_back(fixture.port);
    while (!idle.front().is_closed())
        test_client(fixture.port).request("GET /_health HTTP/1.1\r\n\r\n");
    fixture.proxy->end(0);
    CHECK(fixture.log_output.str().find(" queries=0 open=") != std::string::npos);
    CHECK(fixture.log_output.str().find(" reason=reclaimed") != std::string::npos);
}

TEST_CASE("a request may arrive in many parts; a truncated one closes the connection") {
    proxy_fixture fixture;
    test_client slow(fixture.port);
    for (const char byte : make_request("read", "1")) {
        slow.send(std::string(1, byte));
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

// Ending the attempt early would make the router's count of the attempts in flight at the endpoint wrong.
TEST_CASE("an attempt continues after its client disconnected") {
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

// An endpoint must not get a request whose client disconnected during a slow connect.
TEST_CASE("a request whose client disconnects during the connect is not sent") {
    proxy_fixture fixture({.connect_timeout_ms = 5000});
    const full_backlog_server slow_server;
    std::string list = fixture.endpoint_list_json("active", true);
    for (const auto &server : fixture.servers)
        list.replace(list.find(server.address()), server.address().size(), slow_server.host_port());
    fixture.discovery.push_response(ok_response(list));
    fixture.discovery.wait_for_requests(3);
    auto &counts = fixture.proxy->counts();
    {
        test_client client(fixture.port);
        client.send(make_request("bill", "1"));
        while (counts.value(counter::upstream_connects) == 0)
            std::this_thread::yield();
    }
    const tcp_socket connection = slow_server.accept_waiting();
    while (counts.value(counter::client_disconnects) == 0)
        std::this_thread::yield();
    CHECK(counts.value(counter::attempts_sent) == 0);
    std::array<char, 64> bytes{};
    // Closes the proxy's connections. A health check may have been written, but never the request.
    fixture.proxy.reset();
    CHECK(::recv(connection.get(), bytes.data(), bytes.size(), 0) >= 0);
    CHECK(std::string_view(bytes.data(), bytes.size()).find("/bill/") == std::string_view::npos);
}

// If a request were written on an idle connection that its endpoint has closed, it would be unknown whether
// it was executed.
TEST_CASE("an idle upstream connection that may be closed is not reused") {
    proxy_fixture fixture(
        {.responses = {"cut:" + ok_response("value"), ok_response("value"), ok_response("value")}});
    test_client client(fixture.port);
    for (std::size_t closed_connections = 0; closed_connections < 3; ++closed_connections) {
        CHECK(status_and_body(client.request(make_request("bill", "1"))) == "HTTP/1.1 200 [value]");
        // The endpoint closes the first connection; the others are idle for almost the idle timeout.
        while (closed_connections == 0 &&
               fixture.servers[0].open_connection_count() + fixture.servers[1].open_connection_count() > 0)
            std::this_thread::yield();
        while (closed_connections > 0 &&
               fixture.proxy->counts().value(counter::upstream_connections_stale) <= closed_connections)
            std::this_thread::yield();
    }
    CHECK(fixture.servers[0].connection_count() + fixture.servers[1].connection_count() == 3);
    CHECK(fixture.proxy->counts().value(counter::attempts_reset) == 0);
    CHECK(fixture.attempt_count() == 3);
}

TEST_CASE("requests for an endpoint that refuses connections go to the other one") {
    proxy_fixture fixture;
    auto stopped_server =
        std::make_unique<test_server>([](const std::string &) { return ok_response("never"); });
    const std::string refusing_address = stopped_server->address();
    stopped_server.reset();
    auto list = fixture.endpoint_list_json("active", false);
    list.replace(list.find(fixture.servers[0].address()), fixture.servers[0].address().size(),
                 refusing_address);
    fixture.discovery.push_response(ok_response(list));
    fixture.discovery.wait_for_requests(3); // the next watch: the proxy has the list
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

// Endpoints that drain get no requests. The last list stays in force while discovery fails.
TEST_CASE("changes of the endpoint list apply to the next requests") {
    proxy_fixture fixture;
    fixture.discovery.push_response(ok_response(fixture.endpoint_list_json("leaving", false)));
    fixture.discovery.wait_for_requests(3);
    CHECK(fixture.discovery.last_request().starts_with("GET /catalog/members?since=42&"));
    const auto send_requests = [&] {
        for (int key = 0; key < 8; ++key)
            CHECK(status_and_body(
                      test_client(fixture.port).request(make_request("read", std::to_string(key)))) ==
                  "HTTP/1.1 200 [value]");
    };
    send_requests();
    CHECK(fixture.servers[0].request_count() == 0);
    fixture.discovery.push_response("cut:HTTP/1.1 500 Down\r\nContent-Length: 0\r\n\r\n");
    while (fixture.proxy->counts().value(counter::polls_failed) == 0)
        std::this_thread::yield();
    send_requests();
    CHECK(fixture.servers[0].request_count() == 0);
    // The next poll is for a snapshot, in which the endpoint is active again.
    fixture.discovery.wait_for_requests(4);
    while (fixture.proxy->counts().value(counter::endpoint_updates) < 3)
        std::this_thread::yield();
    send_requests();
    CHECK(fixture.servers[0].request_count() > 0);
}

// A restart while discovery is down uses the stored endpoints. Discovery is polled again soon, so that
// endpoints that drain are known as soon as it responds.
TEST_CASE("a proxy that starts without discovery uses the stored endpoint list") {
    proxy_fixture fixture({.discovery_silent = true});
    CHECK(status_and_body(test_client(fixture.port).request(make_request("read", "1"))) ==
          "HTTP/1.1 200 [value]");
    fixture.discovery.wait_for_requests(3);
    CHECK(fixture.proxy->counts().value(counter::polls_failed) >= 2);
    const std::size_t count_before = fixture.servers[0].request_count();
    fixture.first_server_draining = true;
    fixture.discovery_silent = false;
    while (fixture.discovery.last_request().find("since=41") == std::string::npos) // the proxy has the list
        std::this_thread::yield();
    for (int key = 0; key < 8; ++key)
        CHECK(status_and_body(test_client(fixture.port).request(make_request("bill", std::to_string(key)))) ==
              "HTTP/1.1 200 [value]");
    CHECK(fixture.servers[0].request_count() == count_before);
}

// A reload keeps the active requests and switches to the discovery service of the new file. An invalid file
// changes nothing.
TEST_CASE("SIGHUP: a new discovery address takes effect and keeps active requests") {
    proxy_fixture fixture({.responses = {"hold"}, .start_proxy = false});
    test_server other_discovery([&](const std::string &request) {
        return request.find("since=") != std::string::npos
                   ? "hold"
                   : ok_response(fixture.endpoint_list_json("leaving", true));
    });
    proxy_process running_proxy(fixture, "reload_test.json");
    auto &proxy = running_proxy.process;
    const int port = running_proxy.port;
    test_client client(port);
    client.send(make_request("read", "1"));
    fixture.wait_for_attempt();
    running_proxy.reload(R"({"settings":)");
    proxy.wait_for_output("reload-failed ");
    CHECK(proxy.output().find("reloaded") == std::string::npos);
    running_proxy.reload(std::string(fixture.config)
                             .replace(fixture.config.find(fixture.discovery.address()),
                                      fixture.discovery.address().size(), other_discovery.address()));
    other_discovery.wait_for_requests(2);
    CHECK(proxy.output().find("side=discovery reason=moved") != std::string::npos);
    CHECK(fixture.discovery.connection_count() == 1);
    for (auto &server : fixture.servers)
        server.push_response(ok_response("held"));
    CHECK(status_and_body(client.read()) == "HTTP/1.1 200 [held]");
    const std::size_t count_before = fixture.servers[0].request_count();
    for (int key = 0; key < 8; ++key)
        CHECK(status_and_body(test_client(port).request(make_request("read", std::to_string(key))))
                  .starts_with("HTTP/1.1 200"));
    CHECK(fixture.servers[0].request_count() == count_before);
    running_proxy.stop();
}

// Requests that are active during a change of settings get one response each, later requests use the new
// settings, an invalid file changes nothing, and the settings can be changed back.
TEST_CASE("SIGHUP: new settings apply to later requests, and can be reverted") {
    proxy_fixture fixture({.responses = {"hold"}, .start_proxy = false});
    const auto replace_in_config = [&](const std::string &old_text, const std::string &new_text) {
        std::string text = fixture.config;
        return text.replace(text.find(old_text), old_text.size(), new_text);
    };
    const std::string new_config =
        replace_in_config(R"("familyInfo":{})", R"("familyInfo":{"mode":"aside","originKind":1})");
    proxy_process running_proxy(fixture, "switch_test.json");
    auto &proxy = running_proxy.process;
    const int port = running_proxy.port;
    test_client client(port);
    client.send(make_request("read", "1"));
    fixture.wait_for_attempt();

    running_proxy.reload(
        replace_in_config(R"("drainGraceMs":400)", R"("drainGraceMs":400,"startCapacity":14)"));
    proxy.wait_for_output("reload-failed reason=settings.rules.startCapacity is 14, not from 0 to 1");
    running_proxy.reload(replace_in_config(R"("name":"p0")", R"("name":"p1")"));
    proxy.wait_for_output("reload-failed reason=name cannot change while the program runs");
    running_proxy.reload(new_config);
    proxy.wait_for_output("origin=aside");
    // The request that was in flight before the change was sent once, and its client gets the response.
    CHECK(fixture.attempt_count() == 1);
    for (auto &server : fixture.servers)
        server.push_response(ok_response("held"));
    CHECK(status_and_body(client.read()) == "HTTP/1.1 200 [held]");
    // Now writes go to the origin, and reads to the one remaining cache server.
    const std::size_t reads_before = fixture.servers[0].request_count(),
                      writes_before = fixture.servers[1].request_count();
    for (int key = 0; key < 6; ++key) {
        CHECK(status_and_body(test_client(port).request(make_request("bill", std::to_string(key)))) ==
              "HTTP/1.1 200 [value]");
        CHECK(status_and_body(test_client(port).request(make_request("read", std::to_string(key)))) ==
              "HTTP/1.1 200 [value]");
    }
    CHECK(fixture.servers[0].request_count() == reads_before + 6);
    CHECK(fixture.servers[1].request_count() == writes_before + 6);

    running_proxy.reload(fixture.config);
    proxy.wait_for_output("origin=through");
    const std::size_t count_before = fixture.servers[1].request_count(),
                      total_before = fixture.attempt_count();
    for (int key = 0; key < 12; ++key)
        CHECK(status_and_body(test_client(port).request(make_request("read", std::to_string(key)))) ==
              "HTTP/1.1 200 [value]");
    CHECK(fixture.servers[1].request_count() > count_before); // it is a cache server again
    CHECK(fixture.attempt_count() == total_before + 12);
    running_proxy.stop();
}

// While settings alternate under load, with names in another order and another mode, no request may be lost
// or executed twice.
TEST_CASE("SIGHUP: no request is lost or executed twice while settings alternate under load") {
    proxy_fixture fixture({.start_proxy = false});
    proxy_process running_proxy(fixture, "load_test.json");
    std::string new_config = fixture.config;
    new_config.replace(new_config.find(R"("familyInfo":{})"), 15,
                       R"("familyInfo":{"mode":"aside","originKind":1})");
    const auto classes = new_config.find(R"("useCases":[)") + 12;
    new_config.insert(classes, R"({"name":"first","effect":"idempotent","group":"all","sloTimeMs":90},)");
    constexpr int workers = 4, requests_per_worker = 150;
    std::atomic<int> succeeded = 0, sent = 0;
    std::vector<std::thread> clients;
    clients.reserve(workers);
    for (int worker = 0; worker < workers; ++worker)
        clients.emplace_back([&, worker] {
            test_client client(running_proxy.port);
            for (int number = 0; number < requests_per_worker; ++number) {
                const std::string key = std::to_string(worker * requests_per_worker + number);
                succeeded +=
                    status_and_body(client.request(make_request(number % 2 == 0 ? "bill" : "read", key))) ==
                    "HTTP/1.1 200 [value]";
                ++sent;
            }
        });
    const auto count = [&](const std::string &line) {
        return static_cast<int>(test::count_occurrences(running_proxy.process.output(), line));
    };
    int switches = 0;
    while (sent < workers * requests_per_worker || switches % 2 != 0) {
        running_proxy.reload(switches % 2 == 0 ? new_config : fixture.config);
        ++switches;
        while (count(" adopted ") < switches)
            std::this_thread::yield();
    }
    for (auto &client : clients)
        client.join();
    CHECK(succeeded == workers * requests_per_worker);
    CHECK(fixture.attempt_count() == workers * requests_per_worker);
    running_proxy.stop();
}

// Settings may be edited by hand, so that the error has to contain the place and the fault.
TEST_CASE("invalid settings are reported with their path and fault") {
    proxy_fixture fixture({.start_proxy = false});
    const auto fault = [&](const std::string &old_text, const std::string &new_text) -> std::string {
        std::string text = fixture.config;
        try {
            read_configuration(text.replace(text.find(old_text), old_text.size(), new_text));
        } catch (const parse_error &error) {
            return error.reason;
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

// A request that was parsed before a change of settings has class and tenant indices that are no longer
// valid.
TEST_CASE("dispatcher: a request parsed with an old configuration is not submitted") {
    proxy_fixture fixture({.start_proxy = false});
    const auto old_settings = std::make_shared<const configuration>(read_configuration(fixture.config));
    const auto new_settings = std::make_shared<const configuration>(read_configuration(fixture.config));
    dispatcher routing(old_settings);
    routing.on_check_health = [](endpoint_index) {};
    routing.on_watch_endpoints = [] {};
    request_info request;
    request.deadline = routing.now() + 100;
    request_handle late_request, active_request_handle;
    CHECK(routing.submit(active_request_handle, request, old_settings));
    routing.apply(new_settings, {});
    CHECK(routing.configuration_in_force() == new_settings);
    CHECK_FALSE(routing.submit(late_request, request, old_settings));
    CHECK(routing.is_released(late_request));
    // It was submitted before the change and is still active.
    CHECK_FALSE(routing.is_released(active_request_handle));
    CHECK(routing.submit(late_request, request, new_settings));
    for (auto *const handle : {&late_request, &active_request_handle}) {
        routing.client_disconnected(*handle);
        CHECK(routing.is_released(*handle));
    }
}

// Settings and endpoint list change together, so both stay in force while discovery does not respond.
TEST_CASE("SIGHUP: new settings take effect only with their endpoint list") {
    proxy_fixture fixture({.start_proxy = false});
    test_server other_discovery([&](const std::string &) { return "hold"; });
    std::string new_config = fixture.config;
    new_config.replace(new_config.find(fixture.discovery.address()), fixture.discovery.address().size(),
                       other_discovery.address());
    new_config.replace(new_config.find(R"("familyInfo":{})"), 15,
                       R"("familyInfo":{"mode":"aside","originKind":1})");
    proxy_process running_proxy(fixture, "waits_test.json");
    auto &proxy = running_proxy.process;
    const int port = running_proxy.port;
    running_proxy.reload(new_config);
    other_discovery.wait_for_requests(1);
    for (int key = 0; key < 12; ++key) // also at the endpoint that is the origin in the new settings
        CHECK(status_and_body(test_client(port).request(make_request("read", std::to_string(key)))) ==
              "HTTP/1.1 200 [value]");
    CHECK(fixture.servers[1].request_count() > 0);
    CHECK(proxy.output().find("adopted") == std::string::npos);
    other_discovery.push_response(ok_response(fixture.endpoint_list_json("active", true)));
    proxy.wait_for_output("origin=aside");
    running_proxy.stop();
}

// A planned stop must lose no request while clients are not yet served by another proxy: new connections are
// served, active requests get their responses, then the process ends.
TEST_CASE("planned stop: new connections are served and active requests get their responses") {
    proxy_fixture fixture({.responses = {"hold"}});
    test_client active(fixture.port), idle(fixture.port);
    CHECK(idle.request("GET /_health HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 200"));
    active.send(make_request("read", "1"));
    fixture.wait_for_attempt();
    std::thread stopping([&] { fixture.proxy->end(0.3); });
    while (fixture.is_ready())
        std::this_thread::yield();
    test_client late_client(fixture.port);
    for (auto *const client : {&late_client, &idle, &late_client}) {
        const std::string response = client->request(make_request("read", "2"));
        CHECK(status_and_body(response) == "HTTP/1.1 200 [value]");
        CHECK(response.find("\r\nConnection: close\r\n") == std::string::npos);
    }
    CHECK(late_client.wait_for_close());
    CHECK(idle.wait_for_close());
    for (auto &server : fixture.servers)
        server.push_response(ok_response("held"));
    const std::string last_response = active.read();
    CHECK(status_and_body(last_response) == "HTTP/1.1 200 [held]");
    CHECK(last_response.find("\r\nConnection: close\r\n") != std::string::npos);
    stopping.join();
    CHECK_THROWS(test_client(fixture.port));
}

// The request's deadline is later than the time at which the platform kills the process, so the stop must not
// wait for it.
TEST_CASE("planned stop: waits no longer than the longest statement timeout") {
    proxy_fixture fixture({.responses = {"hold"}, .request_timeout_ms = 100});
    test_client client(fixture.port);
    client.send(make_request("bill", "1", "60000m"));
    fixture.wait_for_attempt();
    fixture.proxy->end(0);
    CHECK(client.read().starts_with("HTTP/1.1 50"));
    CHECK(fixture.proxy->counts().value(counter::aborted) == 1);
}

// Even if no connection is open when the stop begins, clients are directed to this proxy for a while.
TEST_CASE("planned stop: accepts new connections during its grace period") {
    proxy_fixture fixture;
    const auto start = std::chrono::steady_clock::now();
    std::thread stopping([&] { fixture.proxy->end(0.3); });
    while (fixture.is_ready())
        std::this_thread::yield();
    CHECK(status_and_body(test_client(fixture.port).request(make_request("read", "1"))) ==
          "HTTP/1.1 200 [value]");
    stopping.join();
    CHECK(std::chrono::steady_clock::now() - start >= std::chrono::milliseconds(300));
}

// At the limit on sockets idle connections close, so that no request is rejected because of them. A
// connection whose response did not announce its close must accept the next request.
TEST_CASE("many idle clients cause no rejection and no unannounced close") {
    proxy_fixture fixture({.socket_limit = 96}); // less the proxy's own use: capacity for about 20 clients
    std::list<test_client> idle;
    int announced_closes = 0;
    for (int i = 0; i < 80; ++i) {
        auto &client = idle.emplace_back(fixture.port);
        bool announces_close = false;
        for (int request = 0; request < 2 && !announces_close; ++request) {
            const std::string response = client.request(make_request("read", "1"));
            CHECK(status_and_body(response) == "HTTP/1.1 200 [value]");
            announces_close = response.find("\r\nConnection: close\r\n") != std::string::npos;
        }
        announced_closes += announces_close;
    }
    CHECK(announced_closes > 40);
    CHECK(announced_closes < 70);
    CHECK(fixture.proxy->counts().value(counter::rejected_too_many_connections) == 0);
}

TEST_CASE("counters are printed in order, and incomplete configurations are rejected") {
    std::ostringstream text;
    counters().print(text);
    CHECK(text.str().starts_with("counter queries_taken 0\ncounter queries_malformed 0\n"));
    CHECK(text.str().ends_with("counter server_kept_stale 0\n"));
    for (const char *invalid :
         {"{}", "[]", R"({"settings":{}})", R"({"listen":"x","discovery":"y","settings":{}})",
          R"({"listen":"x","discovery":"y","settings":{"useCases":[{"sloTimeMs":"a"}]}})"})
        CHECK_THROWS_AS(read_configuration(invalid), parse_error);
}

} // namespace harrierpass::proxy
