// SPDX-License-Identifier: Apache-2.0
// Responses that endpoints write slowly, through a proxy that is a process of its own.
#include "support/raw_endpoint.hpp"
#include "support/stand.hpp"

#include "net/threads.hpp"

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

// Writes a part of a body, in chunks if the framing field says so.
void write_part(int fd, const std::string &framing_field, std::size_t size) {
    const bool is_chunked = framing_field.starts_with("Transfer-Encoding");
    for (std::size_t sent = 0; sent < size; sent += chunk_size) {
        const std::string part(std::min(chunk_size, size - sent), 'v');
        std::ostringstream text;
        if (is_chunked)
            text << std::hex << part.size() << "\r\n" << part << "\r\n";
        else
            text << part;
        test::send_all(fd, text.str());
    }
}

// Marks the end of a chunked body.
void write_end(int fd, const std::string &framing_field) {
    if (framing_field.starts_with("Transfer-Encoding"))
        test::send_all(fd, "0\r\n\r\n");
}

void write_slowly(int fd, const response_plan &plan) {
    test::send_all(fd, "HTTP/1.1 200 OK\r\n" + plan.framing_field + "\r\n");
    write_part(fd, plan.framing_field, plan.sent_with_head);
    std::this_thread::sleep_for(pause);
    write_part(fd, plan.framing_field, plan.size - plan.sent_with_head);
    write_end(fd, plan.framing_field);
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

// Several endpoints that write their responses in one way, discovery, and a proxy process in front of them.
struct slow_endpoints_fixture {
    explicit slow_endpoints_fixture(const response_plan &plan)
        : slow_endpoints_fixture([plan](int fd) { write_slowly(fd, plan); }) {}
    explicit slow_endpoints_fixture(std::function<void(int fd)> write_response)
        : write_slow_response(std::move(write_response)) {
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
        write_slow_response(fd);
    }
    // Sends a request and returns the response up to the end of its connection.
    std::string request(const std::string &class_name, const std::string &key,
                        const std::string &deadline = "2500m") const {
        const tcp_socket client = test::connect_with_time_limit(port, 4);
        std::string text = make_request(class_name, key, deadline);
        text.insert(text.find("X-Class"), "Connection: close\r\n");
        test::send_all(client.get(), text);
        return test::read_to_end(client.get());
    }

    std::function<void(int fd)> write_slow_response;
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
constexpr const char *counted = "Content-Length: 120000\r\n";
const std::string by_close;

// The time of the requests below and the limits that follow from it, in seconds.
constexpr const char *short_deadline = "800m";
constexpr double final_answer_limit = 0.8 + 0.5;

// How an endpoint writes a body in equal pieces.
struct piece_plan {
    std::string name;
    std::string framing_field;  // a header line; empty: the response ends with its connection
    std::size_t piece_size;     // bytes
    std::size_t piece_count;    // with is_endless, the pieces before the endpoint falls silent
    double before_first, pause; // s
    bool is_endless = false;    // the end of the body never comes
};

void wait_for(double seconds) {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// Whether the peer still has its connection open.
bool is_open(int fd) {
    char byte = 0;
    return ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

void write_pieces(int fd, const piece_plan &plan) {
    test::send_all(fd, "HTTP/1.1 200 OK\r\n" + plan.framing_field + "\r\n");
    wait_for(plan.before_first);
    for (std::size_t i = 0; i < plan.piece_count && is_open(fd); ++i) {
        write_part(fd, plan.framing_field, plan.piece_size);
        wait_for(plan.pause);
    }
    if (plan.is_endless)
        test::read_to_end(fd); // until the proxy closes
    else
        write_end(fd, plan.framing_field);
}

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

// Guards against a client that waits for seconds after its time because the response that it was promised
// never ends (review/10).
TEST_CASE("slow responses: a response that never ends is given up within half a second after its time") {
    const std::size_t many = 60;
    for (const piece_plan &plan : {piece_plan{"silent, chunked", chunked, 100, 2, 0, 0.15, true},
                                   piece_plan{"silent, by close", by_close, 100, 2, 0, 0.15, true},
                                   piece_plan{"begun late, chunked", chunked, 2000, 1, 0.6, 0, true},
                                   piece_plan{"trickling, chunked", chunked, 100, many, 0, 0.05, true},
                                   piece_plan{"trickling, by close", by_close, 100, many, 0, 0.05, true}}) {
        CAPTURE(plan.name);
        const slow_endpoints_fixture fixture([&](int fd) { write_pieces(fd, plan); });
        const double sent_at = steady_now();
        const std::string response = fixture.request("bill", "slow", short_deadline);
        CHECK(steady_now() - sent_at < final_answer_limit);
        CHECK(response.starts_with("HTTP/1.1 200"));
        CHECK_FALSE(body_of(response).is_whole);
    }
}

// Guards against the same limit being applied to a body over 64 KiB, of which only the beginning has to be in
// time.
TEST_CASE("slow responses: a long response that ends long after its time is forwarded whole") {
    for (const piece_plan &plan : {piece_plan{"chunked", chunked, 20000, 6, 0, 0.4},
                                   piece_plan{"by close", by_close, 20000, 6, 0, 0.4},
                                   piece_plan{"counted", counted, 20000, 6, 0, 0.4},
                                   piece_plan{"late, chunked", chunked, 30000, 4, 0.6, 0.7},
                                   piece_plan{"late, by close", by_close, 30000, 4, 0.6, 0.7},
                                   piece_plan{"late, counted", counted, 30000, 4, 1.4, 0.5},
                                   piece_plan{"in two pieces, counted", counted, 60000, 2, 0, 3}}) {
        CAPTURE(plan.name);
        const slow_endpoints_fixture fixture([&](int fd) { write_pieces(fd, plan); });
        const std::string response = fixture.request("bill", "slow", short_deadline);
        CHECK(response.starts_with("HTTP/1.1 200"));
        CHECK(body_of(response).size == long_size);
        CHECK(body_of(response).is_whole);
    }
}

// An endpoint that announces a chunk of more than 64 KiB may write it as slowly as a counted body.
TEST_CASE("slow responses: a chunk whose size line announces a long body is forwarded whole") {
    const slow_endpoints_fixture fixture([](int fd) {
        test::send_all(fd, std::string("HTTP/1.1 200 OK\r\n") + chunked + "\r\n1d4c0\r\nvvv");
        wait_for(2);
        test::send_all(fd, std::string(long_size - 3, 'v') + "\r\n0\r\n\r\n");
    });
    const std::string response = fixture.request("bill", "slow", short_deadline);
    CHECK(body_of(response).size == long_size);
    CHECK(body_of(response).is_whole);
}

} // namespace harrierpass::proxy
