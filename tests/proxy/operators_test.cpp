// SPDX-License-Identifier: Apache-2.0
// The operators' parts: their door, its figures, servers out by hand, clients sent away.
#include "support/index_literals.hpp"
#include "support/stand.hpp"

#include <random>

namespace harrierpass::proxy {

namespace {

std::string call_door(int door, const std::string &what) {
    return test_client(door).request(what + " HTTP/1.1\r\nHost: door\r\n\r\n");
}
std::string status_of(const std::string &answer) {
    return answer.substr(0, std::min<std::size_t>(12, answer.size()));
}
double figure(int door, const std::string &name) {
    const std::string page = call_door(door, "GET /metrics");
    const auto at = page.find("\n" + name + " ");
    return at == std::string::npos ? -1 : std::stod(page.substr(at + name.size() + 2));
}
std::string ended(const std::string &use_case, const std::string &how) {
    return "app_transactions_total{group=\"" + use_case + "\",state=\"" + how + "\"}";
}

} // namespace

TEST_CASE("the operators' door: what it answers") {
    proxy_fixture fixture({.with_control_server = true});
    const auto is = [&](const std::string &what) { return status_of(call_door(fixture.control_port, what)); };
    CHECK(is("GET /ready") == "HTTP/1.1 200");
    CHECK(is("GET /metrics") == "HTTP/1.1 200");
    CHECK(is("POST /ready") == "HTTP/1.1 405");
    CHECK(is("GET /drain") == "HTTP/1.1 405");
    CHECK(is("GET /other") == "HTTP/1.1 404");
    CHECK(is("POST /cache-nodes/disable") == "HTTP/1.1 400");
    CHECK(is("POST /cache-nodes/disable?target=") == "HTTP/1.1 400");
    CHECK(is("POST /cache-nodes/disable?target=s0&target=s1") == "HTTP/1.1 400");
    CHECK(is("POST /cache-nodes/disable?target=%7") == "HTTP/1.1 400");
    CHECK(is("POST /cache-nodes/disable?target=s9") == "HTTP/1.1 404");
    CHECK(is("POST /cache-nodes/enable?target=s9") == "HTTP/1.1 404");
    CHECK(is("POST /cache-nodes/enable?target=%73%30") == "HTTP/1.1 200"); // s0, in use as it was
    CHECK(is("GET /" + std::string(5000, 'a')) == "HTTP/1.1 413");
    CHECK(status_of(test_client(fixture.control_port).request("nonsense\r\n\r\n")) == "HTTP/1.1 400");
    CHECK(call_door(fixture.control_port, "GET /metrics").find("Connection: close\r\n") != std::string::npos);
}

// Guards a start that fails against waiting for its own threads.
TEST_CASE("an operators' address that cannot be had") {
    proxy_fixture fixture({.with_control_server = true, .start_proxy = false});
    const std::string any = R"("control":"127.0.0.1:0")";
    for (const std::string &at : {std::string("nonsense"), fixture.servers[0].address()}) {
        std::string config = fixture.config;
        config.replace(config.find(any), any.size(), R"("control":")" + at + "\"");
        CHECK_THROWS(service(read_configuration(config), fixture.log_output, log_level::warning));
    }
}

// Guards the time of an answer against callers that say nothing: there are far more of them than places.
TEST_CASE("silent callers delay nobody") {
    proxy_fixture fixture({.with_control_server = true});
    std::list<test_client> silent;
    const auto from = std::chrono::steady_clock::now();
    for (int i = 0; i < 200; ++i) {
        silent.emplace_back(fixture.control_port);
        if (i % 2 == 0)
            silent.back().send("GET /met");
        if (i % 20 == 0)
            CHECK(status_of(call_door(fixture.control_port, "GET /metrics")) == "HTTP/1.1 200");
    }
    const auto still = [&] {
        return std::count_if(silent.begin(), silent.end(), [](auto &each) { return !each.is_closed(); });
    };
    while (still() >
           static_cast<std::ptrdiff_t>(control_server::max_connections)) // the last ones are being taken
        std::this_thread::yield();
    CHECK(std::chrono::steady_clock::now() - from < std::chrono::seconds(4)); // none waited a silent one out
}

// Guards the figures: what a stand-in and the clients counted is what the page says.
TEST_CASE("figures are what was counted") {
    proxy_fixture fixture(
        {.responses = {ok_response("value"), "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
                       ok_response("value"), "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n",
                       ok_response("value"), "hold"},
         .with_control_server = true});
    for (const char *use : {"read", "book", "bill", "audit"})
        for (const char *how : {"answered", "deferred", "errored"})
            CHECK(figure(fixture.control_port, ended(use, how)) == 0); // there from the start
    CHECK(figure(fixture.control_port, "app_cluster_size") == 2);
    CHECK(figure(fixture.control_port, "app_cluster_unhealthy") == 0);
    test_client client(fixture.port);
    CHECK(status_and_body(client.request(make_request("read", "1"))) == "HTTP/1.1 200 [value]");
    CHECK(status_and_body(client.request(make_request("read", "2"))) ==
          "HTTP/1.1 200 [value]"); // turned away once
    CHECK(status_and_body(client.request(make_request("bill", "3")))
              .starts_with("HTTP/1.1 50")); // must not run twice
    CHECK(client.request("GET /nothing/7 HTTP/1.1\r\nX-Request-Id: 8\r\n\r\n").starts_with("HTTP/1.1 400"));
    CHECK(status_and_body(client.request(make_request("read", "4"))) == "HTTP/1.1 200 [value]");
    client.send(make_request("read", "5"));
    fixture.servers[0].wait_for_total_requests(fixture.servers[1], 6);
    test_client twin(fixture.port);
    CHECK(twin.request(make_request("read", "5")).starts_with("HTTP/1.1 409"));
    CHECK(figure(fixture.control_port, "app_current") == 1);
    CHECK(figure(fixture.control_port, ended("read", "answered")) == 3);
    CHECK(figure(fixture.control_port, ended("read", "errored")) == 1); // the twin
    CHECK(figure(fixture.control_port, ended("bill", "errored")) == 1);
    CHECK(figure(fixture.control_port, "app_sends_total") == static_cast<double>(fixture.attempt_count()));
    for (auto &server : fixture.servers)
        server.push_response(ok_response("late"));
    CHECK(status_and_body(client.read()) == "HTTP/1.1 200 [late]");
    while (figure(fixture.control_port, "app_current") != 0)
        std::this_thread::yield();
    CHECK(figure(fixture.control_port, ended("read", "answered")) == 4);
}

// Guards a server that operators work on: nothing new starts there from the yes on, whatever the list says.
TEST_CASE("a server out by hand") {
    proxy_fixture fixture({.with_control_server = true});
    test_client client(fixture.port);
    const auto ask_some = [&](int from) {
        for (int key = from; key < from + 30; ++key)
            CHECK(status_and_body(client.request(make_request("read", std::to_string(key)))) ==
                  "HTTP/1.1 200 [value]");
    };
    ask_some(0);
    CHECK(fixture.servers[0].request_count() > 0);
    std::atomic<bool> over = false;
    std::thread busy([&] { // queries that race with the call
        test_client other(fixture.port);
        for (int key = 1000; !over; ++key)
            other.request(make_request("read", std::to_string(key)));
    });
    for (int twice = 0; twice < 2; ++twice)
        CHECK(status_of(call_door(fixture.control_port, "POST /cache-nodes/disable?target=s0")) ==
              "HTTP/1.1 200");
    const auto before = fixture.servers[0].request_count();
    CHECK(figure(fixture.control_port, "app_cluster_unhealthy") == 1);
    CHECK(figure(fixture.control_port, "app_cluster_size") == 2);
    ask_some(100);
    fixture.discovery.push_response(
        ok_response(fixture.endpoint_list_json("active", true))); // a whole new list
    ask_some(200);
    CHECK(fixture.servers[0].request_count() <= before + 1); // the one that was on its way when the yes came
    CHECK(status_of(call_door(fixture.control_port, "POST /cache-nodes/enable?target=s0")) == "HTTP/1.1 200");
    CHECK(figure(fixture.control_port, "app_cluster_unhealthy") == 0);
    const auto back = fixture.servers[0].request_count();
    for (int key = 300; fixture.servers[0].request_count() == back;
         ++key) // would never end without its return
        client.request(make_request("read", std::to_string(key)));
    over = true;
    busy.join();
}

// Guards clients of a proxy that is sent away, and its return.
// Guards a server that operators take out while a probe's connection comes up: nothing is written to it.
TEST_CASE("a probe that meets a ban") {
    proxy_fixture fixture({.start_proxy = false});
    dispatcher decides(std::make_shared<const configuration>(read_configuration(fixture.config)));
    decides.on_check_health = [](endpoint_index) {};
    decides.on_watch_endpoints = [] {};
    counters count;
    std::ostringstream lines;
    log log_to(lines, log_level::debug);
    buffer_pool buffers;
    upstream_pool servers(5, 1, 100, count, log_to);
    const full_backlog_server late;
    servers.set_endpoint(0_endpoint, "s0", late.host_port(), 0, decides.now());
    {
        health_checker probes(decides, servers, buffers, count);
        decides.endpoints_updated(endpoint_update_kind::snapshot,
                                  {{endpoint_info{.endpoint = 0_endpoint, .id = "s0"}}});
        probes.start(0_endpoint);
        while (count.value(counter::upstream_connects) == 0)
            std::this_thread::yield();
        servers.set_disabled(0_endpoint, true);
        const tcp_socket probe = late.accept_waiting();
        char byte;
        CHECK(::recv(probe.get(), &byte, 1, 0) == 0); // ended, and nothing was written
    }
    CHECK(count.value(counter::health_checks) == 0);
}

TEST_CASE("clients are sent away, and come back") {
    proxy_fixture fixture({.with_control_server = true});
    test_client rests(fixture.port), asks_on(fixture.port);
    CHECK(status_and_body(rests.request(make_request("read", "1"))) == "HTTP/1.1 200 [value]");
    CHECK(status_and_body(asks_on.request(make_request("read", "2"))) == "HTTP/1.1 200 [value]");
    CHECK(status_of(call_door(fixture.control_port, "POST /undrain")) == "HTTP/1.1 200"); // nothing to end
    for (int twice = 0; twice < 2; ++twice)
        CHECK(status_of(call_door(fixture.control_port, "POST /drain")) == "HTTP/1.1 200");
    CHECK_FALSE(fixture.is_ready());
    CHECK(status_of(call_door(fixture.control_port, "GET /ready")) ==
          "HTTP/1.1 200"); // it takes clients still
    const std::string last = asks_on.request(make_request("read", "3"));
    CHECK(status_and_body(last) == "HTTP/1.1 200 [value]");
    CHECK(last.find("\r\nConnection: close\r\n") != std::string::npos);
    CHECK(rests.wait_for_close());
    CHECK(status_and_body(test_client(fixture.port).request(make_request("read", "4"))) ==
          "HTTP/1.1 200 [value]");
    CHECK(status_of(call_door(fixture.control_port, "POST /undrain")) == "HTTP/1.1 200");
    CHECK(fixture.is_ready());
    test_client again(fixture.port);
    for (int key = 5; key < 7; ++key)
        CHECK(again.request(make_request("read", std::to_string(key))).find("Connection: close") ==
              std::string::npos);
}

// ---- A new version under load

namespace {

void wait_until_ready(int door) {
    while (status_of(call_door(door, "GET /ready")) != "HTTP/1.1 200")
        std::this_thread::yield();
}

// Clients that ask all the time, each query on a new connection or on one that is kept while it may be.
struct load {
    explicit load(int port) {
        for (int i = 0; i < 4; ++i)
            threads.emplace_back([this, port, i] {
                std::unique_ptr<test_client> kept;
                for (int key = 0; !over; ++key) {
                    if (!kept)
                        kept = std::make_unique<test_client>(port);
                    const std::string id = std::to_string(i) + "x" + std::to_string(key);
                    const std::string answer = kept->request(make_request("read", id));
                    const bool whole = status_and_body(answer) == "HTTP/1.1 200 [value]";
                    (whole ? good : bad) += 1;
                    ++asked[static_cast<std::size_t>(i)];
                    if (!whole || i % 2 == 0 || answer.find("Connection: close") != std::string::npos)
                        kept.reset();
                }
            });
    }
    void finish() {
        over = true;
        for (auto &each : threads)
            each.join();
    }
    void wait_for(int more) const {
        for (const int until = good + more; good < until;)
            std::this_thread::yield();
    }
    // Until what each of them had out is answered, and what it asked next.
    void wait_for_each() const {
        for (const auto &each : asked)
            for (const int until = each + 2; each < until;)
                std::this_thread::yield();
    }
    std::atomic<int> good = 0, bad = 0;
    std::array<std::atomic<int>, 4> asked{};
    std::atomic<bool> over = false;
    std::list<std::thread> threads;
};

} // namespace

// Guards clients at an upgrade: none is refused, reset or unanswered; what operators asked for is handed on.
TEST_CASE("a new version takes over under load") {
    const temporary_directory directory;
    proxy_fixture fixture({.port = free_port(), .with_control_server = true, .start_proxy = false});
    auto first = std::make_unique<proxy_process>(fixture, "first.json");
    CHECK(status_of(call_door(first->control_port, "POST /cache-nodes/disable?target=s0")) == "HTTP/1.1 200");
    load clients(first->port);
    clients.wait_for(50);
    std::size_t seen = 0;                           // by the server that is out
    for (int version = 0; version < 2; ++version) { // a second upgrade right after the first
        auto next = std::make_unique<proxy_process>(fixture, "next" + std::to_string(version) + ".json");
        wait_until_ready(next->control_port);
        first->process.wait_for_output("succeeded");
        // A call to one process binds both.
        CHECK(fixture.servers[0].request_count() == seen); // out since before the upgrade
        CHECK(status_of(call_door(next->control_port, "POST /cache-nodes/enable?target=s0")) ==
              "HTTP/1.1 200");
        CHECK(figure(first->control_port, "app_cluster_unhealthy") == 0);
        CHECK(status_of(call_door(first->control_port, "POST /cache-nodes/disable?target=s0")) ==
              "HTTP/1.1 200");
        CHECK(figure(next->control_port, "app_cluster_unhealthy") == 1);
        clients.wait_for_each(); // what was on its way there has come by now
        seen = fixture.servers[0].request_count();
        first->stop();
        clients.wait_for(50);
        first = std::move(next);
    }
    clients.finish();
    CHECK(clients.bad == 0);
    CHECK(fixture.servers[0].request_count() == seen);
    first->stop();
}

// Guards the proxy that serves against a successor that does not get so far, and against a file left behind.
TEST_CASE("a successor that dies") {
    const temporary_directory directory;
    proxy_fixture fixture({.port = free_port(), .with_control_server = true, .start_proxy = false});
    proxy_process first(fixture, "stays.json");
    directory.wait_for_hot_restart_socket();
    load clients(first.port);
    {
        proxy_process next(fixture, "dies.json");
        first.process.wait_for_output("succeeded");
        clients.wait_for(20);
        next.process.signal(SIGKILL);
        CHECK(next.process.wait_for_exit() == -1);
    }
    clients.wait_for(50); // the first serves again
    clients.finish();
    CHECK(clients.bad <= 4); // what the killed one had in hand
    first.process.signal(SIGKILL);
    CHECK(first.process.wait_for_exit() == -1);
    proxy_process anew(fixture, "anew.json"); // over the killed ones' files
    CHECK(status_and_body(test_client(anew.port).request(make_request("read", "1"))) ==
          "HTTP/1.1 200 [value]");
    anew.stop();
}

// Guards operators who work on a proxy while it is upgraded: a drain goes over, and ends at both.
TEST_CASE("a drain is handed on") {
    const temporary_directory directory;
    proxy_fixture fixture({.port = free_port(), .with_control_server = true, .start_proxy = false});
    proxy_process first(fixture, "drained.json");
    directory.wait_for_hot_restart_socket();
    CHECK(status_of(call_door(first.control_port, "POST /drain")) == "HTTP/1.1 200");
    proxy_process next(fixture, "after.json");
    first.process.wait_for_output("succeeded");
    CHECK(next.process.output().find("taken-over out=0 away=1") != std::string::npos);
    wait_until_ready(next.control_port); // it takes clients, if any come
    CHECK(test_client(next.port).request("GET /_health HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 503"));
    CHECK(status_of(call_door(first.control_port, "POST /undrain")) == "HTTP/1.1 200");
    next.process.wait_for_output("back-to-work");
    first.process.signal(SIGHUP); // it goes on following its own file
    first.process.wait_for_output("reloaded ");
    first.stop();
    CHECK(test_client(next.port).request("GET /_health HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 200"));
    next.stop();
}

// Guards an upgrade against an old process that hangs: the new one listens beside it after a second.
TEST_CASE("a successor of a process that hangs") {
    const temporary_directory directory;
    proxy_fixture fixture({.port = free_port(), .with_control_server = true, .start_proxy = false});
    proxy_process first(fixture, "hangs.json");
    first.process.signal(SIGSTOP);
    proxy_process next(fixture, "beside.json");
    CHECK(next.process.output().find("taken-over") == std::string::npos);
    wait_until_ready(next.control_port);
    first.process.signal(SIGCONT);
    next.stop();
    first.stop();
}

TEST_CASE("messages between two processes") {
    const std::vector<peer_message> all = {{peer_message::kind::endpoint_disabled, "s 1:2\n"},
                                           {peer_message::kind::draining, "1"},
                                           {peer_message::kind::ready, ""}};
    const auto back = read_message(to_message(all));
    REQUIRE(back.size() == 3);
    CHECK(back[0].text == "s 1:2\n");
    CHECK(back[2].type == peer_message::kind::ready);
    for (const char *bad : {"x1:a", "o2:a", "o", "o-1:", "o9999999999999999999:", "1:a"})
        CHECK_THROWS_AS((void)read_message(bad), parse_error);
}

// ---- Size

namespace {

constexpr std::size_t long_size = 32UL * 1024 * 1024; // bytes; the largest that occur

// Resident memory that the process has had at most since its start, kB.
long peak_memory() {
    std::ifstream in("/proc/self/status");
    for (std::string word; in >> word;)
        if (word == "VmHWM:") {
            long size = 0;
            in >> size;
            return size;
        }
    return 0;
}

// One more server, which writes and reads by hand: its listening socket and what it does with a connection.
class hand_server {
public:
    hand_server(const hand_server &) = delete;
    hand_server &operator=(const hand_server &) = delete;
    explicit hand_server(std::function<void(int fd)> what)
        : what_(std::move(what)), listening_(::socket(AF_INET, SOCK_STREAM, 0)) {
        auto at = test::loopback_address(0);
        socklen_t size = sizeof at;
        if (::bind(listening_, reinterpret_cast<sockaddr *>(&at), size) != 0 || ::listen(listening_, 8) != 0)
            throw std::runtime_error("no port");
        ::getsockname(listening_, reinterpret_cast<sockaddr *>(&at), &size);
        port = ntohs(at.sin_port);
        thread_ = std::thread([this] {
            for (int fd; (fd = ::accept(listening_, nullptr, nullptr)) >= 0;) {
                what_(fd);
                ::close(fd);
            }
        });
    }
    ~hand_server() {
        ::shutdown(listening_, SHUT_RDWR);
        thread_.join();
        ::close(listening_);
    }
    int port = 0;

private:
    std::function<void(int)> what_;
    int listening_;
    std::thread thread_;
};

// A stand whose list has one server, the one that is given.
std::string only(const proxy_fixture &fixture, int port) {
    std::string config = fixture.config;
    const std::string known =
        R"({"revision":41,"complete":true,"members":[{"id":"s0","host_port":"127.0.0.1:)" +
        std::to_string(port) +
        R"(","locality":"a","flavor":"m","cell":0,"phase":"active","size":1.0,"up_since_ms":0}]})";
    return config.replace(config.find(R"("known":null)"), 12, R"("known":)" + known);
}

// A proxy before one server that is played by hand; discovery says nothing.
struct hand_stand {
    explicit hand_stand(std::function<void(int fd)> what)
        : fixture({.discovery_silent = true, .start_proxy = false}), server(std::move(what)) {
        std::string config = fixture.config;
        const auto at = config.find(R"("known":{)"), end = config.find(R"(,"settings")");
        config.replace(at, end - at, R"("known":null)");
        fixture.config = config;
        proxy = std::make_unique<service>(read_configuration(only(fixture, server.port)), lines,
                                          log_level::debug);
        port = ntohs(reinterpret_cast<const sockaddr_in &>(proxy->listen_address().storage).sin_port);
    }
    proxy_fixture fixture;
    std::ostringstream lines;
    hand_server server;
    std::unique_ptr<service> proxy;
    int port = 0;
};

std::string read_head(int fd) {
    std::string head;
    for (char one; head.find("\r\n\r\n") == std::string::npos && ::recv(fd, &one, 1, 0) == 1;)
        head += one;
    return head;
}
void write_size(int fd, std::size_t size) {
    const std::string part(65536, 'v');
    for (; size > 0; size -= std::min(size, part.size()))
        test::send_all(fd, part.substr(0, std::min(size, part.size())));
}
std::size_t read_size(int fd, std::size_t size) {
    std::vector<char> part(65536);
    std::size_t got = 0;
    for (long here; got < size; got += static_cast<std::size_t>(here))
        if ((here = ::recv(fd, part.data(), std::min(part.size(), size - got), 0)) <= 0)
            break;
    return got;
}
int dial_port(int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const auto at = test::loopback_address(port);
    REQUIRE(::connect(fd, reinterpret_cast<const sockaddr *>(&at), sizeof at) == 0);
    return fd;
}

} // namespace

// Guards the limit on memory: the client does not read while the server gives 32 MB, and the other way round.
TEST_CASE("32 MB each way past a side that waits, in bounded memory") {
    std::atomic<bool> go = false;
    std::atomic<std::size_t> body = 0;
    hand_stand fixture([&](int fd) {
        const std::string head = read_head(fd);
        if (head.starts_with("PUT")) {
            while (!go)
                std::this_thread::yield();
            body = read_size(fd, long_size);
            test::send_all(fd, ok_response("stored"));
        } else {
            test::send_all(fd,
                           "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(long_size) + "\r\n\r\n");
            write_size(fd, long_size);
        }
    });
    const long before = peak_memory();
    const int reader = dial_port(fixture.port);
    test::send_all(reader, make_request("read", "1"));
    const std::string head = read_head(reader); // it is there long before the body's end
    CHECK(head.starts_with("HTTP/1.1 200"));
    CHECK(head.find("Content-Length: " + std::to_string(long_size)) != std::string::npos);
    CHECK(read_size(reader, long_size) == long_size);
    ::close(reader);

    const int writer = dial_port(fixture.port);
    test::send_all(writer,
                   "PUT /book/2 HTTP/1.1\r\nX-Request-Id: 2\r\nIdempotency-Key: k\r\nContent-Length: " +
                       std::to_string(long_size) + "\r\n\r\n");
    std::thread writes([&] { write_size(writer, long_size); });
    go = true;
    CHECK(status_and_body(test::read_http_message(writer)) == "HTTP/1.1 200 [stored]");
    writes.join();
    CHECK(body == long_size);
    ::close(writer);
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
    CHECK(peak_memory() - before < 4096); // kB; held whole it were 32,768 and more
#else
    static_cast<void>(before); // the sanitizers' own memory is counted, too
#endif
}

// Guards both sides' framing: how each form of a long answer reaches the client.
TEST_CASE("long answers in every framing") {
    std::string form;
    const std::size_t size = 200000;
    hand_stand fixture([&](int fd) {
        read_head(fd);
        const std::string ok_line = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n";
        if (form == "closed" || form == "cut")
            test::send_all(fd, ok_line + (form == "cut" ? "Content-Length: 300000\r\n\r\n" : "\r\n"));
        else
            test::send_all(fd, ok_line + "Transfer-Encoding: chunked\r\n\r\n");
        if (form.starts_with("c") && form != "chunked") {
            write_size(fd, size);
            return;
        }
        const std::size_t each = 40; // many small chunks: their lines are more than a body's worth of bytes
        for (std::size_t at = 0; at < size; at += each)
            test::send_all(fd, "28;name=value\r\n" + std::string(each, 'v') + "\r\n");
        if (form == "chunked")
            test::send_all(fd, "0\r\nTrailer: x\r\n\r\n");
    });
    const auto ask = [&](const std::string &how, const std::string &version) {
        form = how;
        const int fd = dial_port(fixture.port);
        test::send_all(fd,
                       "GET /read/1 HTTP/" + version + "\r\nX-Request-Id: 1\r\nConnection: close\r\n\r\n");
        const std::string head = read_head(fd);
        std::string body;
        std::vector<char> part(65536);
        for (long got; (got = ::recv(fd, part.data(), part.size(), 0)) > 0;)
            body.append(part.data(), static_cast<std::size_t>(got));
        ::close(fd);
        if (head.find("Transfer-Encoding: chunked") == std::string::npos)
            return std::to_string(body.size());
        const bool ends = body.ends_with("\r\n0\r\n\r\n");
        return std::to_string(std::count(body.begin(), body.end(), 'v')) +
               (ends ? " chunked" : " chunked, cut");
    };
    CHECK(ask("chunked", "1.1") == "200000 chunked");
    CHECK(ask("chunked", "1.0") == "200000");
    CHECK(ask("closed", "1.1") == "200000 chunked");
    CHECK(ask("cut", "1.1") == "200000"); // of 300000, as its head says
    CHECK(ask("broken off", "1.1") == "200000 chunked, cut");
}

// Guards a long body whose server breaks off: it never ran, so the client may come back; and one to HEAD.
TEST_CASE("a long body that does not come through, and HEAD") {
    hand_stand fixture([](int fd) {
        const std::string head = read_head(fd);
        if (head.starts_with("HEAD"))
            test::send_all(fd, "HTTP/1.1 200 OK\r\nContent-Length: 5000000\r\n\r\n");
        else
            read_size(fd, 100000);
    });
    const int writer = dial_port(fixture.port);
    test::send_all(writer, "PUT /bill/1 HTTP/1.1\r\nX-Request-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
    std::thread writes([&] {
        for (int i = 0; i < 160; ++i)
            test::send_all(writer, "10000\r\n" + std::string(65536, 'v') + "\r\n");
        test::send_all(writer, "0\r\n\r\n");
    });
    CHECK(read_head(writer).starts_with("HTTP/1.1 503"));
    writes.join();
    ::close(writer);
    const int asker = dial_port(fixture.port);
    test::send_all(asker, "HEAD /read/1 HTTP/1.1\r\nX-Request-Id: 3\r\n\r\nGET /_health HTTP/1.1\r\n\r\n");
    CHECK(read_head(asker).find("Content-Length: 5000000\r\n") != std::string::npos);
    CHECK(read_head(asker).starts_with("HTTP/1.1 ")); // the next one: no body came between
    ::close(asker);
}

// Guards clients that write slowly: 2 s for a head are allowed, and a body in pieces.
TEST_CASE("a body in pieces that are cut anywhere") {
    std::string seen;
    hand_stand fixture([&](int fd) {
        seen = read_head(fd);
        read_size(fd, 150000);
        test::send_all(fd, ok_response("stored"));
    });
    const std::string all =
        "\r\nPUT http://origin.svc/book/1 HTTP/1.1\r\nX-Request-Id: 1\r\nIdempotency-Key: k\r\n"
        "Content-Length: 150000\r\n\r\n" +
        std::string(150000, 'v');
    const int writer = dial_port(fixture.port);
    std::minstd_rand chance(3);
    for (std::size_t at = 0; at < all.size();) {
        const std::size_t part = at < 200 ? 1 : 1 + chance() % 9000;
        test::send_all(writer, all.substr(at, part));
        at += part;
        std::this_thread::yield();
    }
    CHECK(status_and_body(test::read_http_message(writer)) == "HTTP/1.1 200 [stored]");
    CHECK(seen.starts_with("PUT /book/1 HTTP/1.1\r\n"));
    CHECK(seen.find("Content-Length: 150000\r\n") != std::string::npos);
    ::close(writer);
}

} // namespace harrierpass::proxy
