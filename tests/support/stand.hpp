// SPDX-License-Identifier: Apache-2.0
// Fixtures for the tests of the proxy: discovery, two servers and a proxy in front of them on loopback.
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
using test::ok_response;
using test::test_client;
using test::test_server;

struct proxy_fixture_options {
    // Responses of both servers in the order of their requests; then 200 with the body "value".
    std::vector<std::string> responses = {};
    int socket_limit = 256;
    int port = 0;                     // the proxy's; 0: any free one
    bool with_control_server = false; // on a free port
    std::string origin_settings = "{}";
    bool discovery_silent = false; // the proxy has the endpoint list from its configuration
    int request_timeout_ms = 3000;
    int connect_timeout_ms = 250;
    int deduplication_window_ms = 9000;
    bool start_proxy = true;
    int response_delay_ms = 0; // of the servers
};

// A server whose backlog is full: a further connection is established only after accept_waiting().
struct full_backlog_server {
    full_backlog_server() {
        const address any = *parse_address("127.0.0.1:0");
        REQUIRE(::bind(listener.get(), reinterpret_cast<const sockaddr *>(&any.storage), any.size) == 0);
        REQUIRE(::listen(listener.get(), 0) == 0);
        backlog_filler = dial(local_address(listener), 1);
        REQUIRE(backlog_filler);
    }
    std::string host_port() const { return to_text(local_address(listener)); }
    // Removes the connection that fills the backlog and returns the one that waited behind it.
    tcp_socket accept_waiting() const {
        address peer;
        const tcp_socket filler = accept_on(listener, peer);
        return accept_on(listener, peer);
    }
    const tcp_socket listener{::socket(AF_INET, SOCK_STREAM, 0)};
    tcp_socket backlog_filler;
};

// Discovery, two servers that share one sequence of responses, and a proxy in front of them.
struct proxy_fixture {
    explicit proxy_fixture(const proxy_fixture_options &options = {})
        : responses(options.responses), response_delay(options.response_delay_ms),
          discovery_silent(options.discovery_silent) {
        const auto request_class_json = [&](const char *name, const char *effect, int latency_objective_ms) {
            return R"({"group":"all","windowMs":)" + std::to_string(options.deduplication_window_ms) +
                   R"(,"importance":1,"name":")" + std::string(name) + R"(","effect":")" + effect +
                   R"(","sloTimeMs":)" + std::to_string(latency_objective_ms) + R"(,"statementTimeoutMs":)" +
                   std::to_string(options.request_timeout_ms) + "}";
        };
        config =
            R"({"name":"p0","listen":"127.0.0.1:)" + std::to_string(options.port) + R"(","discovery":")" +
            discovery.address() + R"(","seed":"8c1f30d27a5be964","limits":{"sockets":)" +
            std::to_string(options.socket_limit) + R"(},"known":)" +
            (options.discovery_silent ? endpoint_list_json("active", true) : "null") +
            (options.with_control_server ? R"(,"control":"127.0.0.1:0")" : "") +
            R"(,"settings":{"peersTotal":1,"tickMs":5,"rules":{"drainGraceMs":400},
            "limits":{"maxExecutions":4,"cancel":true,"probes":true,"retryAfter":true,"maxRetryAfterMs":1500,
                "connIdleMs":400,"dialTimeoutMs":)" +
            std::to_string(options.connect_timeout_ms) + R"(},
            "tenants":[{"name":"acme","quotaRps":1000}],"zones":["a","b"],"shapes":["m","o"],"familyInfo":)" +
            options.origin_settings + R"(,"useCases":[)" + request_class_json("read", "idempotent", 200) +
            "," + request_class_json("book", "deduplicated", 200) + "," +
            request_class_json("bill", "at_most_once", 200) + "," +
            request_class_json("audit", "at_most_once", 10000) + "]}}";
        if (!options.start_proxy)
            return;
        proxy = std::make_unique<service>(read_configuration(config), log_output, log_level::debug);
        port = ntohs(reinterpret_cast<const sockaddr_in &>(proxy->listen_address().storage).sin_port);
        control_port =
            ntohs(reinterpret_cast<const sockaddr_in &>(proxy->control_address().storage).sin_port);
        while (!is_ready())
            std::this_thread::yield();
    }
    // Whether the proxy answers its health check with 200.
    bool is_ready() {
        return test_client(port).request("GET /_health HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 200");
    }
    std::string next_response() {
        std::this_thread::sleep_for(response_delay);
        const std::lock_guard guard(mutex);
        const std::size_t position = next_response_index++;
        return position < responses.size() ? responses[position] : ok_response("value");
    }
    // The body of a response from discovery: a snapshot of both servers, or a delta with the first server
    // alone.
    std::string endpoint_list_json(const std::string &first_phase, bool is_snapshot) {
        const auto member_json = [](const char *id, const std::string &host_port, const std::string &phase,
                                    const char *kind = "m") {
            return std::string(R"({"id":")") + id + R"(","host_port":")" + host_port +
                   R"(","locality":"a","flavor":")" + kind + R"(","cell":0,"phase":")" + phase +
                   R"(","size":1.0,"up_since_ms":0})";
        };
        return std::string(R"({"revision":)") + (is_snapshot ? "41" : "42") + R"(,"complete":)" +
               (is_snapshot ? "true" : "false") + R"(,"members":[)" +
               member_json("s0", servers[0].address(), first_phase) +
               (is_snapshot ? "," + member_json("s1", servers[1].address(), "active", "o") : "") + "]}";
    }
    // Requests that the servers have received.
    std::size_t attempt_count() { return servers[0].request_count() + servers[1].request_count(); }
    void wait_for_attempt() {
        while (attempt_count() == 0)
            std::this_thread::yield();
    }

    std::mutex mutex; // protects next_response_index
    std::vector<std::string> responses;
    std::chrono::milliseconds response_delay;
    std::size_t next_response_index = 0;
    std::atomic<bool> discovery_silent;
    std::atomic<bool> first_server_draining = false; // in snapshots from discovery
    std::ostringstream log_output;
    std::array<test_server, 2> servers{test_server([this](const std::string &) { return next_response(); }),
                                       test_server([this](const std::string &) { return next_response(); })};
    test_server discovery{[this](const std::string &request) {
        return discovery_silent || request.find("since=") != std::string::npos
                   ? "hold"
                   : ok_response(endpoint_list_json(first_server_draining ? "leaving" : "active", true));
    }};
    std::string config;
    std::unique_ptr<service> proxy;
    int port = 0, control_port = 0;
};

// A request of this class as a client sends it: a GET for "read", a PUT with a body for the others.
inline std::string make_request(const std::string &class_name, const std::string &key,
                                const std::string &deadline = "2500m") {
    const bool is_write = class_name != "read";
    return (is_write ? "PUT /" : "GET /") + class_name + "/" + key +
           " HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: 9b" + key + "\r\nX-Class: " + class_name +
           "\r\nX-Tenant: acme\r\nX-Deadline: " + deadline +
           (is_write ? "\r\nIdempotency-Key: k" + key + "\r\nContent-Length: 4\r\n\r\nbody" : "\r\n\r\n");
}

// "HTTP/1.1 200 [body]", or "HTTP/1.1 200 cut" if the response ends within its head.
inline std::string status_and_body(const std::string &response) {
    const auto head = response.find("\r\n\r\n");
    return response.substr(0, 12) +
           (head == std::string::npos ? " cut" : " [" + response.substr(head + 4) + "]");
}

inline int free_port() {
    const test_server server([](const std::string &) { return "close"; });
    const std::string host_port = server.address();
    return std::stoi(host_port.substr(host_port.rfind(':') + 1));
}

// Sets TMPDIR to a directory that exists until the destructor runs.
struct temporary_directory {
    temporary_directory(const temporary_directory &) = delete;
    temporary_directory &operator=(const temporary_directory &) = delete;
    temporary_directory()
        : path(std::filesystem::temp_directory_path() / ("harrierpass-test-" + std::to_string(::getpid()))) {
        std::filesystem::create_directory(path);
        ::setenv("TMPDIR", path.c_str(), 1);
    }
    ~temporary_directory() {
        ::unsetenv("TMPDIR");
        std::filesystem::remove_all(path);
    }
    // Waits until a proxy in this directory can be succeeded in a hot restart: its hot restart thread may
    // create the socket after the proxy has logged `started`.
    void wait_for_hot_restart_socket() const {
        const auto is_socket = [](const auto &entry) { return entry.path().extension() == ".sock"; };
        while (std::none_of(std::filesystem::directory_iterator(path), {}, is_socket))
            std::this_thread::yield();
    }
    std::filesystem::path path;
};

// The proxy as a process of its own, with a fixture's configuration in a file that it can reload.
struct proxy_process {
    proxy_process(const proxy_process &) = delete;
    proxy_process &operator=(const proxy_process &) = delete;
    proxy_process(proxy_fixture &fixture, const std::string &file_name)
        : path(std::filesystem::temp_directory_path() /
               ("harrierpass-" + std::to_string(::getpid()) + "-" + file_name)),
          process(HARRIERPASS_PROGRAM, write_configuration(fixture.config)) {
        process.wait_for_output("started ");
        port = std::stoi(process.output_after("listen=127.0.0.1:"));
        if (const std::string control = process.output_after("control=127.0.0.1:");
            !control.empty() && control[0] >= '0' && control[0] <= '9')
            control_port = std::stoi(control);
        fixture.discovery.wait_for_requests(2); // the snapshot and the watch after it
    }
    ~proxy_process() { std::remove(path.c_str()); }
    const std::string &write_configuration(const std::string &text) const {
        std::ofstream(path) << text;
        return path;
    }
    void reload(const std::string &text) {
        write_configuration(text);
        process.signal(SIGHUP);
    }
    // Stops the process with SIGTERM and checks its exit status.
    void stop() {
        process.signal(SIGTERM);
        CHECK(process.wait_for_exit() == 0);
    }
    std::string path;
    test::child_process process;
    int port = 0, control_port = 0;
};

} // namespace harrierpass::proxy
