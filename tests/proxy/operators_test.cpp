// SPDX-License-Identifier: Apache-2.0
// The control server, metrics, operator overrides, drain and hot restart.
#include "support/index_literals.hpp"
#include "support/stand.hpp"

namespace harrierpass::proxy {

namespace {

std::string control_request(int control_port, const std::string &request_line) {
    return test_client(control_port).request(request_line + " HTTP/1.1\r\nHost: door\r\n\r\n");
}
std::string status_line_of(const std::string &response) {
    return response.substr(0, std::min<std::size_t>(12, response.size()));
}
double metric_value(int control_port, const std::string &name) {
    const std::string page = control_request(control_port, "GET /metrics");
    const auto position = page.find("\n" + name + " ");
    return position == std::string::npos ? -1 : std::stod(page.substr(position + name.size() + 2));
}
std::string finished_requests(const std::string &class_name, const std::string &result) {
    return "app_transactions_total{group=\"" + class_name + "\",state=\"" + result + "\"}";
}

} // namespace

TEST_CASE("control server: each request gets the expected status") {
    proxy_fixture fixture({.with_control_server = true});
    const auto status = [&](const std::string &request_line) {
        return status_line_of(control_request(fixture.control_port, request_line));
    };
    CHECK(status("GET /ready") == "HTTP/1.1 200");
    CHECK(status("GET /metrics") == "HTTP/1.1 200");
    CHECK(status("POST /ready") == "HTTP/1.1 405");
    CHECK(status("GET /drain") == "HTTP/1.1 405");
    CHECK(status("GET /other") == "HTTP/1.1 404");
    CHECK(status("POST /cache-nodes/disable") == "HTTP/1.1 400");
    CHECK(status("POST /cache-nodes/disable?target=") == "HTTP/1.1 400");
    CHECK(status("POST /cache-nodes/disable?target=s0&target=s1") == "HTTP/1.1 400");
    CHECK(status("POST /cache-nodes/disable?target=%7") == "HTTP/1.1 400");
    CHECK(status("POST /cache-nodes/disable?target=s9") == "HTTP/1.1 404");
    CHECK(status("POST /cache-nodes/enable?target=s9") == "HTTP/1.1 404");
    CHECK(status("POST /cache-nodes/enable?target=%73%30") == "HTTP/1.1 200"); // s0, which is enabled
    CHECK(status("GET /" + std::string(5000, 'a')) == "HTTP/1.1 413");
    CHECK(status_line_of(test_client(fixture.control_port).request("nonsense\r\n\r\n")) == "HTTP/1.1 400");
    CHECK(control_request(fixture.control_port, "GET /metrics").find("Connection: close\r\n") !=
          std::string::npos);
}

// A failed start must not wait for the threads that it has started.
TEST_CASE("control server: startup fails if the control address is invalid or in use") {
    proxy_fixture fixture({.with_control_server = true, .start_proxy = false});
    const std::string any_port = R"("control":"127.0.0.1:0")";
    for (const std::string &control_address : {std::string("nonsense"), fixture.servers[0].address()}) {
        std::string config = fixture.config;
        config.replace(config.find(any_port), any_port.size(), R"("control":")" + control_address + "\"");
        CHECK_THROWS(service(read_configuration(config), fixture.log_output, log_level::warning));
    }
}

// There are far more connections without a complete request than the server keeps at a time.
TEST_CASE("control server: silent connections do not delay the requests of others") {
    proxy_fixture fixture({.with_control_server = true});
    std::list<test_client> silent;
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < 200; ++i) {
        silent.emplace_back(fixture.control_port);
        if (i % 2 == 0)
            silent.back().send("GET /met");
        if (i % 20 == 0)
            CHECK(status_line_of(control_request(fixture.control_port, "GET /metrics")) == "HTTP/1.1 200");
    }
    const auto open_connections = [&] {
        return std::count_if(silent.begin(), silent.end(), [](auto &each) { return !each.is_closed(); });
    };
    while (open_connections() >
           static_cast<std::ptrdiff_t>(control_server::max_connections)) // the last ones are being accepted
        std::this_thread::yield();
    CHECK(std::chrono::steady_clock::now() - start <
          std::chrono::seconds(4)); // none waited for the timeout of a silent connection
}

// The metrics must equal what the clients and the endpoints of the test have counted.
TEST_CASE("metrics: requests and attempts are counted by class and result") {
    proxy_fixture fixture(
        {.responses = {ok_response("value"), "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
                       ok_response("value"), "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n",
                       ok_response("value"), "hold"},
         .with_control_server = true});
    for (const char *class_name : {"read", "book", "bill", "audit"})
        for (const char *result : {"answered", "deferred", "errored"})
            CHECK(metric_value(fixture.control_port, finished_requests(class_name, result)) ==
                  0); // present before the first request
    CHECK(metric_value(fixture.control_port, "app_cluster_size") == 2);
    CHECK(metric_value(fixture.control_port, "app_cluster_unhealthy") == 0);
    test_client client(fixture.port);
    CHECK(status_and_body(client.request(make_request("read", "1"))) == "HTTP/1.1 200 [value]");
    CHECK(status_and_body(client.request(make_request("read", "2"))) ==
          "HTTP/1.1 200 [value]"); // its first attempt was rejected
    CHECK(status_and_body(client.request(make_request("bill", "3")))
              .starts_with("HTTP/1.1 50")); // must not be executed twice
    CHECK(client.request("GET /nothing/7 HTTP/1.1\r\nX-Request-Id: 8\r\n\r\n").starts_with("HTTP/1.1 400"));
    CHECK(status_and_body(client.request(make_request("read", "4"))) == "HTTP/1.1 200 [value]");
    client.send(make_request("read", "5"));
    fixture.servers[0].wait_for_total_requests(fixture.servers[1], 6);
    test_client duplicate(fixture.port);
    CHECK(duplicate.request(make_request("read", "5")).starts_with("HTTP/1.1 409"));
    CHECK(metric_value(fixture.control_port, "app_current") == 1);
    CHECK(metric_value(fixture.control_port, finished_requests("read", "answered")) == 3);
    CHECK(metric_value(fixture.control_port, finished_requests("read", "errored")) ==
          1); // the request with the same id
    CHECK(metric_value(fixture.control_port, finished_requests("bill", "errored")) == 1);
    CHECK(metric_value(fixture.control_port, "app_sends_total") ==
          static_cast<double>(fixture.attempt_count()));
    for (auto &server : fixture.servers)
        server.push_response(ok_response("late"));
    CHECK(status_and_body(client.read()) == "HTTP/1.1 200 [late]");
    while (metric_value(fixture.control_port, "app_current") != 0)
        std::this_thread::yield();
    CHECK(metric_value(fixture.control_port, finished_requests("read", "answered")) == 4);
}

// Once the control server has confirmed the command, no new attempt starts at the endpoint, whatever its
// state in the list.
TEST_CASE("control server: a disabled endpoint gets no new requests until it is enabled") {
    proxy_fixture fixture({.with_control_server = true});
    test_client client(fixture.port);
    const auto send_requests = [&](int first_key) {
        for (int key = first_key; key < first_key + 30; ++key)
            CHECK(status_and_body(client.request(make_request("read", std::to_string(key)))) ==
                  "HTTP/1.1 200 [value]");
    };
    send_requests(0);
    CHECK(fixture.servers[0].request_count() > 0);
    std::atomic<bool> stopped = false;
    std::thread concurrent_client([&] { // requests that race with the command
        test_client other(fixture.port);
        for (int key = 1000; !stopped; ++key)
            other.request(make_request("read", std::to_string(key)));
    });
    for (int repetition = 0; repetition < 2; ++repetition)
        CHECK(status_line_of(control_request(fixture.control_port, "POST /cache-nodes/disable?target=s0")) ==
              "HTTP/1.1 200");
    const auto before = fixture.servers[0].request_count();
    CHECK(metric_value(fixture.control_port, "app_cluster_unhealthy") == 1);
    CHECK(metric_value(fixture.control_port, "app_cluster_size") == 2);
    send_requests(100);
    fixture.discovery.push_response(
        ok_response(fixture.endpoint_list_json("active", true))); // a new snapshot
    send_requests(200);
    CHECK(fixture.servers[0].request_count() <= before + 1); // one was in flight at the time of the response
    CHECK(status_line_of(control_request(fixture.control_port, "POST /cache-nodes/enable?target=s0")) ==
          "HTTP/1.1 200");
    CHECK(metric_value(fixture.control_port, "app_cluster_unhealthy") == 0);
    const auto before_enabling = fixture.servers[0].request_count();
    for (int key = 300; fixture.servers[0].request_count() == before_enabling;
         ++key) // ends only if the endpoint gets requests again
        client.request(make_request("read", std::to_string(key)));
    stopped = true;
    concurrent_client.join();
}

TEST_CASE("health check: nothing is written to an endpoint that is disabled while the check connects") {
    proxy_fixture fixture({.start_proxy = false});
    dispatcher routing(std::make_shared<const configuration>(read_configuration(fixture.config)));
    routing.on_check_health = [](endpoint_index) {};
    routing.on_watch_endpoints = [] {};
    counters counts;
    std::ostringstream log_output;
    log logger(log_output, log_level::debug);
    buffer_pool buffers;
    upstream_pool upstreams(5, 1, 100, counts, logger);
    const full_backlog_server slow_endpoint;
    upstreams.set_endpoint(0_endpoint, "s0", slow_endpoint.host_port(), 0, routing.now());
    {
        health_checker checker(routing, upstreams, buffers, counts);
        routing.endpoints_updated(endpoint_update_kind::snapshot,
                                  {{endpoint_info{.endpoint = 0_endpoint, .id = "s0"}}});
        checker.start(0_endpoint);
        while (counts.value(counter::upstream_connects) == 0)
            std::this_thread::yield();
        upstreams.set_disabled(0_endpoint, true);
        const tcp_socket accepted = slow_endpoint.accept_waiting();
        char byte;
        CHECK(::recv(accepted.get(), &byte, 1, 0) == 0); // closed, and nothing was written
    }
    CHECK(counts.value(counter::health_checks) == 0);
}

// After a drain, idle connections close and every response closes its connection; undrain ends that.
TEST_CASE("control server: drain sends clients away, undrain accepts them again") {
    proxy_fixture fixture({.with_control_server = true});
    test_client idle_client(fixture.port), active_client(fixture.port);
    CHECK(status_and_body(idle_client.request(make_request("read", "1"))) == "HTTP/1.1 200 [value]");
    CHECK(status_and_body(active_client.request(make_request("read", "2"))) == "HTTP/1.1 200 [value]");
    CHECK(status_line_of(control_request(fixture.control_port, "POST /undrain")) ==
          "HTTP/1.1 200"); // no drain to end
    for (int repetition = 0; repetition < 2; ++repetition)
        CHECK(status_line_of(control_request(fixture.control_port, "POST /drain")) == "HTTP/1.1 200");
    CHECK_FALSE(fixture.is_ready());
    CHECK(status_line_of(control_request(fixture.control_port, "GET /ready")) ==
          "HTTP/1.1 200"); // clients are still accepted
    const std::string last = active_client.request(make_request("read", "3"));
    CHECK(status_and_body(last) == "HTTP/1.1 200 [value]");
    CHECK(last.find("\r\nConnection: close\r\n") != std::string::npos);
    CHECK(idle_client.wait_for_close());
    CHECK(status_and_body(test_client(fixture.port).request(make_request("read", "4"))) ==
          "HTTP/1.1 200 [value]");
    CHECK(status_line_of(control_request(fixture.control_port, "POST /undrain")) == "HTTP/1.1 200");
    CHECK(fixture.is_ready());
    test_client new_client(fixture.port);
    for (int key = 5; key < 7; ++key)
        CHECK(new_client.request(make_request("read", std::to_string(key))).find("Connection: close") ==
              std::string::npos);
}

// ---- Hot restart

namespace {

void wait_until_ready(int control_port) {
    while (status_line_of(control_request(control_port, "GET /ready")) != "HTTP/1.1 200")
        std::this_thread::yield();
}

// Clients that send requests all the time: half of them on a new connection each, the others on a connection
// that is kept while the responses allow it.
struct background_clients {
    explicit background_clients(int port) {
        for (int i = 0; i < 4; ++i)
            threads.emplace_back([this, port, i] {
                std::unique_ptr<test_client> client;
                for (int key = 0; !stopped; ++key) {
                    if (!client)
                        client = std::make_unique<test_client>(port);
                    const std::string id = std::to_string(i) + "x" + std::to_string(key);
                    const std::string response = client->request(make_request("read", id));
                    const bool complete = status_and_body(response) == "HTTP/1.1 200 [value]";
                    (complete ? succeeded : failed) += 1;
                    ++responses[static_cast<std::size_t>(i)];
                    if (!complete || i % 2 == 0 || response.find("Connection: close") != std::string::npos)
                        client.reset();
                }
            });
    }
    void finish() {
        stopped = true;
        for (auto &thread : threads)
            thread.join();
    }
    // Waits for `count` more successful responses.
    void wait_for_responses(int count) const {
        for (const int target = succeeded + count; succeeded < target;)
            std::this_thread::yield();
    }
    // Waits until each client has got the response to its current request and to the next one.
    void wait_for_each_client() const {
        for (const auto &count : responses)
            for (const int target = count + 2; count < target;)
                std::this_thread::yield();
    }
    std::atomic<int> succeeded = 0, failed = 0;
    std::array<std::atomic<int>, 4> responses{};
    std::atomic<bool> stopped = false;
    std::list<std::thread> threads;
};

} // namespace

// During a hot restart no request is refused, reset or left without a response, and the successor takes over
// the operator overrides.
TEST_CASE("hot restart: two successive takeovers under load lose no request") {
    const temporary_directory directory;
    proxy_fixture fixture({.port = free_port(), .with_control_server = true, .start_proxy = false});
    auto first = std::make_unique<proxy_process>(fixture, "first.json");
    CHECK(status_line_of(control_request(first->control_port, "POST /cache-nodes/disable?target=s0")) ==
          "HTTP/1.1 200");
    background_clients clients(first->port);
    clients.wait_for_responses(50);
    std::size_t disabled_endpoint_requests = 0;
    for (int version = 0; version < 2; ++version) { // a second hot restart right after the first
        auto successor = std::make_unique<proxy_process>(fixture, "next" + std::to_string(version) + ".json");
        wait_until_ready(successor->control_port);
        first->process.wait_for_output("succeeded");
        // A command to one process applies to both.
        CHECK(fixture.servers[0].request_count() ==
              disabled_endpoint_requests); // disabled since before the restart
        CHECK(status_line_of(control_request(successor->control_port,
                                             "POST /cache-nodes/enable?target=s0")) == "HTTP/1.1 200");
        CHECK(metric_value(first->control_port, "app_cluster_unhealthy") == 0);
        CHECK(status_line_of(control_request(first->control_port, "POST /cache-nodes/disable?target=s0")) ==
              "HTTP/1.1 200");
        CHECK(metric_value(successor->control_port, "app_cluster_unhealthy") == 1);
        clients.wait_for_each_client(); // requests in flight to the endpoint have arrived
        disabled_endpoint_requests = fixture.servers[0].request_count();
        first->stop();
        clients.wait_for_responses(50);
        first = std::move(successor);
    }
    clients.finish();
    CHECK(clients.failed == 0);
    CHECK(fixture.servers[0].request_count() == disabled_endpoint_requests);
    first->stop();
}

// A successor is killed before it has replaced the process that serves; the files of killed processes remain.
TEST_CASE("hot restart: the process continues to serve if its successor is killed") {
    const temporary_directory directory;
    proxy_fixture fixture({.port = free_port(), .with_control_server = true, .start_proxy = false});
    proxy_process first(fixture, "stays.json");
    directory.wait_for_hot_restart_socket();
    background_clients clients(first.port);
    {
        proxy_process successor(fixture, "dies.json");
        first.process.wait_for_output("succeeded");
        clients.wait_for_responses(20);
        successor.process.signal(SIGKILL);
        CHECK(successor.process.wait_for_exit() == -1);
    }
    clients.wait_for_responses(50); // the first process serves again
    clients.finish();
    CHECK(clients.failed <= 4); // in flight at the killed process
    first.process.signal(SIGKILL);
    CHECK(first.process.wait_for_exit() == -1);
    proxy_process restarted(fixture, "anew.json"); // replaces the files of the killed processes
    CHECK(status_and_body(test_client(restarted.port).request(make_request("read", "1"))) ==
          "HTTP/1.1 200 [value]");
    restarted.stop();
}

TEST_CASE("hot restart: a drain applies to the successor and ends at both processes") {
    const temporary_directory directory;
    proxy_fixture fixture({.port = free_port(), .with_control_server = true, .start_proxy = false});
    proxy_process first(fixture, "drained.json");
    directory.wait_for_hot_restart_socket();
    CHECK(status_line_of(control_request(first.control_port, "POST /drain")) == "HTTP/1.1 200");
    proxy_process successor(fixture, "after.json");
    first.process.wait_for_output("succeeded");
    CHECK(successor.process.output().find("taken-over out=0 away=1") != std::string::npos);
    wait_until_ready(successor.control_port); // it accepts clients, if any connect
    CHECK(test_client(successor.port).request("GET /_health HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 503"));
    CHECK(status_line_of(control_request(first.control_port, "POST /undrain")) == "HTTP/1.1 200");
    successor.process.wait_for_output("back-to-work");
    first.process.signal(SIGHUP); // it still reloads its own file
    first.process.wait_for_output("reloaded ");
    first.stop();
    CHECK(test_client(successor.port).request("GET /_health HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 200"));
    successor.stop();
}

// If the old process does not respond, the new one listens at the same address after a second.
TEST_CASE("hot restart: a process starts without a handover if its predecessor hangs") {
    const temporary_directory directory;
    proxy_fixture fixture({.port = free_port(), .with_control_server = true, .start_proxy = false});
    proxy_process first(fixture, "hangs.json");
    first.process.signal(SIGSTOP);
    proxy_process successor(fixture, "beside.json");
    CHECK(successor.process.output().find("taken-over") == std::string::npos);
    wait_until_ready(successor.control_port);
    first.process.signal(SIGCONT);
    successor.stop();
    first.stop();
}

TEST_CASE("hot restart: peer messages are decoded as they were encoded, malformed ones are rejected") {
    const std::vector<peer_message> messages = {{peer_message::kind::endpoint_disabled, "s 1:2\n"},
                                                {peer_message::kind::draining, "1"},
                                                {peer_message::kind::ready, ""}};
    const auto decoded = read_message(to_message(messages));
    REQUIRE(decoded.size() == 3);
    CHECK(decoded[0].text == "s 1:2\n");
    CHECK(decoded[2].type == peer_message::kind::ready);
    for (const char *malformed : {"x1:a", "o2:a", "o", "o-1:", "o9999999999999999999:", "1:a"})
        CHECK_THROWS_AS((void)read_message(malformed), parse_error);
}

} // namespace harrierpass::proxy
