// SPDX-License-Identifier: Apache-2.0
// Responses that endpoints write slowly, through a proxy that is a process of its own.
#include "support/raw_endpoint.hpp"
#include "support/stand.hpp"

#include "net/threads.hpp"

#include <sys/time.h>

namespace harrierpass::proxy {
namespace {

constexpr std::size_t endpoint_count = 6;
constexpr std::size_t long_size = 120000;              // bytes; more than the proxy holds of a message
constexpr std::size_t short_size = 3000;               // bytes
constexpr std::size_t chunk_size = 20000;              // bytes
constexpr auto pause = std::chrono::milliseconds(600); // three times the latency objective of the classes

// How an endpoint writes its response.
struct response_plan {
    std::string name;
    std::string framing_field;  // a header line; empty: the response ends with its connection
    std::size_t size;           // bytes of the body
    std::size_t sent_with_head; // bytes of the body that come before the pause
};

// Writes a part of a body, in chunks if the plan says so.
void write_body(int fd, const response_plan &plan, std::size_t size) {
    const bool is_chunked = plan.framing_field.starts_with("Transfer-Encoding");
    for (std::size_t sent = 0; sent < size; sent += chunk_size) {
        const std::string part(std::min(chunk_size, size - sent), 'v');
        std::ostringstream text;
        if (is_chunked)
            text << std::hex << part.size() << "\r\n" << part << "\r\n";
        else
            text << part;
        test::send_all(fd, text.str());
    }
    if (is_chunked && size == plan.size - plan.sent_with_head)
        test::send_all(fd, "0\r\n\r\n");
}

void write_slowly(int fd, const response_plan &plan) {
    test::send_all(fd, "HTTP/1.1 200 OK\r\n" + plan.framing_field + "\r\n");
    write_body(fd, plan, plan.sent_with_head);
    std::this_thread::sleep_for(pause);
    write_body(fd, plan, plan.size - plan.sent_with_head);
}

// The number of body bytes in a response to a client, and whether it is whole.
struct received_body {
    std::size_t size = 0;
    bool is_whole = false;
};
received_body body_of(const std::string &response) {
    const auto head_end = response.find("\r\n\r\n");
    if (head_end == std::string::npos)
        return {};
    const std::string head = response.substr(0, head_end);
    const std::string body = response.substr(head_end + 4);
    if (head.find("\r\nTransfer-Encoding: chunked") != std::string::npos)
        return {static_cast<std::size_t>(std::count(body.begin(), body.end(), 'v')),
                body.ends_with("\r\n0\r\n\r\n")};
    const auto length = head.find("\r\nContent-Length: ");
    return {body.size(), length != std::string::npos && std::stoul(head.substr(length + 18)) == body.size()};
}

// Several endpoints that follow one plan, discovery, and a proxy process in front of them.
struct slow_endpoints_fixture {
    explicit slow_endpoints_fixture(response_plan followed_plan) : plan(std::move(followed_plan)) {
        for (std::size_t i = 0; i < endpoint_count; ++i)
            endpoints.emplace_back([this](int fd) { handle(fd); });
        std::string members;
        for (const auto &endpoint : endpoints)
            members +=
                (members.empty() ? "" : ",") +
                (R"({"id":"s)" + std::to_string(endpoint.port) + R"(","host_port":"127.0.0.1:)" +
                 std::to_string(endpoint.port)) +
                R"(","locality":"a","flavor":"m","cell":0,"phase":"active","size":1.0,"up_since_ms":0})";
        list = R"({"revision":41,"complete":true,"members":[)" + members + "]}";
        const auto known = fixture.config.find(R"("known":)"),
                   settings = fixture.config.find(R"(,"settings")");
        fixture.config.replace(known, settings - known, R"("known":)" + list);
        proxy = std::make_unique<test::child_process>(HARRIERPASS_PROGRAM, write_configuration());
        proxy->wait_for_output("started ");
        port = std::stoi(proxy->output_after("listen=127.0.0.1:"));
        while (!test_client(port).request("GET /_health HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 200"))
            std::this_thread::yield();
    }
    ~slow_endpoints_fixture() {
        proxy.reset();
        std::remove(path.c_str());
    }
    slow_endpoints_fixture(const slow_endpoints_fixture &) = delete;
    slow_endpoints_fixture &operator=(const slow_endpoints_fixture &) = delete;

    const std::string &write_configuration() const {
        std::ofstream(path) << fixture.config;
        return path;
    }
    // Requests with the key "quick" and health checks are answered at once.
    void handle(int fd) {
        const std::string head = test::read_head(fd);
        if (head.starts_with("PUT"))
            test::read_bytes(fd, 4);
        if (head.find("/slow") == std::string::npos) {
            test::send_all(fd, ok_response("value", "Connection: close\r\n"));
            return;
        }
        ++slow_attempts;
        write_slowly(fd, plan);
    }
    // Sends a request and returns the response up to the end of its connection.
    std::string request(const std::string &class_name, const std::string &key) const {
        tcp_socket client(test::connect_to_port(port));
        const timeval limit{4, 0};
        ::setsockopt(client.get(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        std::string text = make_request(class_name, key);
        text.insert(text.find("X-Class"), "Connection: close\r\n");
        test::send_all(client.get(), text);
        return test::read_to_end(client.get());
    }

    response_plan plan;
    std::atomic<int> slow_attempts = 0;
    proxy_fixture fixture{{.discovery_silent = true, .start_proxy = false}};
    std::list<test::raw_endpoint> endpoints;
    std::string list;
    const std::string path = std::filesystem::temp_directory_path() /
                             ("harrierpass-" + std::to_string(::getpid()) + "-slow-response.json");
    std::unique_ptr<test::child_process> proxy;
    int port = 0;
};

constexpr const char *chunked = "Transfer-Encoding: chunked\r\n";

} // namespace

// Guards against a sound response being cut off because its body comes long after its head (report 33b532).
TEST_CASE("slow responses: a response whose body comes long after its head is forwarded whole") {
    for (const response_plan &plan :
         {response_plan{"long, chunked", chunked, long_size, 0},
          response_plan{"long, by close", "", long_size, 0},
          response_plan{"long, counted", "Content-Length: 120000\r\n", long_size, 0},
          response_plan{"short, chunked", chunked, short_size, 0},
          response_plan{"short, by close", "", short_size, 0},
          response_plan{"short, counted", "Content-Length: 3000\r\n", short_size, 0}}) {
        CAPTURE(plan.name);
        slow_endpoints_fixture fixture(plan);
        for (int i = 0; i < 30; ++i) // the router knows short response times
            CHECK(fixture.request("read", "quick" + std::to_string(i)).starts_with("HTTP/1.1 200"));
        int attempts = 0;
        for (const std::string class_name : {"read", "book", "bill"}) {
            CAPTURE(class_name);
            const std::string response = fixture.request(class_name, "slow" + class_name);
            CHECK(response.substr(0, 12) == "HTTP/1.1 200");
            CHECK(body_of(response).size == plan.size);
            CHECK(body_of(response).is_whole);
            CHECK(fixture.slow_attempts.load() == ++attempts);
        }
    }
}

// Guards against a sound response being cut off at each endpoint in turn because it pauses after its first
// bytes. One attempt may be given up for a retry where that is safe.
TEST_CASE("slow responses: a response that pauses after its first bytes reaches its client in time") {
    for (const response_plan &plan :
         {response_plan{"long, chunked", chunked, long_size, 1000},
          response_plan{"long, by close", "", long_size, 1000},
          response_plan{"short, chunked", chunked, short_size, 1000},
          response_plan{"short, counted", "Content-Length: 3000\r\n", short_size, 1000}}) {
        CAPTURE(plan.name);
        slow_endpoints_fixture fixture(plan);
        for (const std::string class_name : {"read", "book", "bill"}) {
            CAPTURE(class_name);
            fixture.slow_attempts = 0;
            const std::string response = fixture.request(class_name, "slow" + class_name);
            CHECK(response.substr(0, 12) == "HTTP/1.1 200");
            CHECK(body_of(response).size == plan.size);
            CHECK(body_of(response).is_whole);
            CHECK(fixture.slow_attempts.load() <= (class_name == "bill" ? 1 : 2));
        }
    }
}

} // namespace harrierpass::proxy
