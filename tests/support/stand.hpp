// SPDX-License-Identifier: Apache-2.0
// Discovery, two servers and a proxy before them on loopback, for the tests of the proxy.
#pragma once

#include "support/helpers.hpp"

#include "base/text.hpp"
#include "proxy/service.hpp"

#include <algorithm>
#include <atomic>
#include <doctest/doctest.h>
#include <filesystem>
#include <thread>

namespace harrierpass::proxy {
using test::ok;
using test::toy_client;
using test::toy_server;

struct stand_options {
    std::vector<std::string> replies = {}; // in order, whichever server is asked; then 200 "value"
    int sockets = 256;
    int port = 0;         // the proxy's; 0: any that is free
    bool control = false; // the operators' door, at a port of its own
    std::string family = "{}";
    bool silent = false; // discovery, while the proxy knows the list
    int statement_ms = 3000;
    int dial_ms = 250;
    int window_ms = 9000; // of deduplicated queries
    bool starts = true;   // the proxy
    int work_ms = 0;      // that a server takes for each answer
};

// A server whose queue of connections is full: the next one comes up only when there is room again.
struct full_server {
    full_server() {
        const address any = *parse_address("127.0.0.1:0");
        REQUIRE(::bind(listening.get(), reinterpret_cast<const sockaddr *>(&any.where), any.size) == 0);
        REQUIRE(::listen(listening.get(), 0) == 0);
        filler = dial(local_address(listening), 1);
        REQUIRE(filler);
    }
    std::string at() const { return to_text(local_address(listening)); }
    tcp_socket make_room() const { // the connection that waited
        address peer;
        const tcp_socket first = accept_on(listening, peer);
        return accept_on(listening, peer);
    }
    const tcp_socket listening{::socket(AF_INET, SOCK_STREAM, 0)};
    tcp_socket filler;
};

// Discovery, two servers that answer by one list of texts, and a proxy before them.
struct stand {
    explicit stand(const stand_options &given = {})
        : replies(given.replies), work(given.work_ms), silent(given.silent) {
        const auto use = [&](const char *name, const char *effect, int slo_ms) {
            return R"({"group":"all","windowMs":)" + std::to_string(given.window_ms) +
                   R"(,"importance":1,"name":")" + std::string(name) + R"(","effect":")" + effect +
                   R"(","sloTimeMs":)" + std::to_string(slo_ms) + R"(,"statementTimeoutMs":)" +
                   std::to_string(given.statement_ms) + "}";
        };
        config = R"({"name":"p0","listen":"127.0.0.1:)" + std::to_string(given.port) + R"(","discovery":")" +
                 discovery.at() + R"(","seed":"8c1f30d27a5be964","limits":{"sockets":)" +
                 std::to_string(given.sockets) + R"(},"known":)" +
                 (given.silent ? list("active", true) : "null") +
                 (given.control ? R"(,"control":"127.0.0.1:0")" : "") +
                 R"(,"settings":{"peersTotal":1,"tickMs":5,"rules":{"drainGraceMs":400},
            "limits":{"maxExecutions":4,"cancel":true,"probes":true,"retryAfter":true,"maxRetryAfterMs":1500,
                "connIdleMs":400,"dialTimeoutMs":)" +
                 std::to_string(given.dial_ms) + R"(},
            "tenants":[{"name":"acme","quotaRps":1000}],"zones":["a","b"],"shapes":["m","o"],"familyInfo":)" +
                 given.family + R"(,"useCases":[)" + use("read", "idempotent", 200) + "," +
                 use("book", "deduplicated", 200) + "," + use("bill", "at_most_once", 200) + "," +
                 use("audit", "at_most_once", 10000) + "]}}";
        if (!given.starts)
            return;
        proxy = std::make_unique<service>(read_configuration(config), lines, log_level::debug);
        port = ntohs(reinterpret_cast<const sockaddr_in &>(proxy->at().where).sin_port);
        door = ntohs(reinterpret_cast<const sockaddr_in &>(proxy->control_address().where).sin_port);
        while (!test_ready())
            std::this_thread::yield();
    }
    bool test_ready() {
        return toy_client(port).ask("GET /_health HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 200");
    }
    std::string reply() {
        std::this_thread::sleep_for(work);
        const std::lock_guard hold(lock);
        const std::size_t at = next++;
        return at < replies.size() ? replies[at] : ok("value");
    }
    std::string list(const std::string &first_phase, bool full_list) {
        const auto entry = [](const char *id, const std::string &at, const std::string &phase,
                              const char *kind = "m") {
            return std::string(R"({"id":")") + id + R"(","host_port":")" + at +
                   R"(","locality":"a","flavor":")" + kind + R"(","cell":0,"phase":")" + phase +
                   R"(","size":1.0,"up_since_ms":0})";
        };
        return std::string(R"({"revision":)") + (full_list ? "41" : "42") + R"(,"complete":)" +
               (full_list ? "true" : "false") + R"(,"members":[)" +
               entry("s0", servers[0].at(), first_phase) +
               (full_list ? "," + entry("s1", servers[1].at(), "active", "o") : "") + "]}";
    }
    std::size_t executions() { return servers[0].count() + servers[1].count(); }
    void wait_for_execution() {
        while (executions() == 0)
            std::this_thread::yield();
    }

    std::mutex lock;
    std::vector<std::string> replies;
    std::chrono::milliseconds work;
    std::size_t next = 0;
    std::atomic<bool> silent, leaving = false; // discovery; the first server, in whole lists
    std::ostringstream lines;
    std::array<toy_server, 2> servers{toy_server([this](const std::string &) { return reply(); }),
                                      toy_server([this](const std::string &) { return reply(); })};
    toy_server discovery{[this](const std::string &request) {
        return silent || request.find("since=") != std::string::npos
                   ? "hold"
                   : ok(list(leaving ? "leaving" : "active", true));
    }};
    std::string config;
    std::unique_ptr<service> proxy;
    int port = 0, door = 0;
};

inline std::string asks(const std::string &use, const std::string &key,
                        const std::string &deadline = "2500m") {
    const bool write = use != "read";
    return (write ? "PUT /" : "GET /") + use + "/" + key +
           " HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: 9b" + key + "\r\nX-Class: " + use +
           "\r\nX-Tenant: acme\r\nX-Deadline: " + deadline +
           (write ? "\r\nIdempotency-Key: k" + key + "\r\nContent-Length: 4\r\n\r\nbody" : "\r\n\r\n");
}

inline std::string told(const std::string &answer) {
    const auto head = answer.find("\r\n\r\n");
    return answer.substr(0, 12) + (head == std::string::npos ? " cut" : " [" + answer.substr(head + 4) + "]");
}

inline int free_port() {
    toy_server here([](const std::string &) { return "close"; });
    const std::string at = here.at();
    return std::stoi(at.substr(at.rfind(':') + 1));
}

// A private directory as the platform gives one, for as long as it lives.
struct own_directory {
    own_directory(const own_directory &) = delete;
    own_directory &operator=(const own_directory &) = delete;
    own_directory()
        : path(std::filesystem::temp_directory_path() / ("harrierpass-test-" + std::to_string(::getpid()))) {
        std::filesystem::create_directory(path);
        ::setenv("TMPDIR", path.c_str(), 1);
    }
    ~own_directory() {
        ::unsetenv("TMPDIR");
        std::filesystem::remove_all(path);
    }
    // Until a proxy in this directory can hand over: a thread of its own makes the socket for successors,
    // which may be after the proxy has logged `started`.
    void wait_for_successor_socket() const {
        const auto is_socket = [](const auto &entry) { return entry.path().extension() == ".sock"; };
        while (std::none_of(std::filesystem::directory_iterator(path), {}, is_socket))
            std::this_thread::yield();
    }
    std::filesystem::path path;
};

// The program itself, started with a stand's configuration in a file that it may be told to read again.
struct running {
    running(const running &) = delete;
    running &operator=(const running &) = delete;
    running(stand &with, const std::string &file)
        : path(std::filesystem::temp_directory_path() /
               ("harrierpass-" + std::to_string(::getpid()) + "-" + file)),
          proxy(HARRIERPASS_PROGRAM, write(with.config)) {
        proxy.wait_for("started ");
        port = std::stoi(proxy.after("listen=127.0.0.1:"));
        if (const std::string at = proxy.after("control=127.0.0.1:");
            !at.empty() && at[0] >= '0' && at[0] <= '9')
            door = std::stoi(at);
        with.discovery.wait_for(2); // the list is told and watched
    }
    ~running() { std::remove(path.c_str()); }
    const std::string &write(const std::string &text) const {
        std::ofstream(path) << text;
        return path;
    }
    void reload(const std::string &text) {
        write(text);
        proxy.signal(SIGHUP);
    }
    void ends() {
        proxy.signal(SIGTERM);
        CHECK(proxy.status() == 0);
    }
    std::string path;
    test::program proxy;
    int port = 0, door = 0;
};

} // namespace harrierpass::proxy
