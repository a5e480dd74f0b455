// SPDX-License-Identifier: Apache-2.0
// Long bodies: requests and responses that are relayed while they arrive, because they do not fit into a
// buffer.
#include "support/raw_endpoint_fixture.hpp"

#include "net/threads.hpp"

#include <random>

namespace harrierpass::proxy {
namespace {

using test::connect_to_port;
using test::connect_with_time_limit;
using test::raw_endpoint;
using test::read_bytes;
using test::read_head;
using test::upload_head;
using test::write_filler;

constexpr std::size_t long_body_size = 32UL * 1024 * 1024; // bytes; the largest body that occurs

// The peak resident memory of the process since its start, kB.
long peak_memory_kb() {
    std::ifstream status("/proc/self/status");
    for (std::string word; status >> word;)
        if (word == "VmHWM:") {
            long size = 0;
            status >> size;
            return size;
        }
    return 0;
}

} // namespace

// The client does not read while the endpoint sends 32 MiB, and the endpoint does not read while the client
// sends 32 MiB.
TEST_CASE("long bodies: 32 MiB in each direction use bounded memory while the receiver waits") {
    std::atomic<bool> read_body = false;
    std::atomic<std::size_t> received_size = 0;
    raw_endpoint_fixture fixture([&](int fd) {
        const std::string head = read_head(fd);
        if (head.starts_with("PUT")) {
            while (!read_body)
                std::this_thread::yield();
            received_size = read_bytes(fd, long_body_size);
            test::send_all(fd, ok_response("stored"));
        } else {
            test::send_all(fd, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(long_body_size) +
                                   "\r\n\r\n");
            write_filler(fd, long_body_size);
        }
    });
    const long initial_peak = peak_memory_kb();
    const int reader = connect_to_port(fixture.port);
    test::send_all(reader, make_request("read", "1"));
    const std::string head = read_head(reader); // arrives long before the end of the body
    CHECK(head.starts_with("HTTP/1.1 200"));
    CHECK(head.find("Content-Length: " + std::to_string(long_body_size)) != std::string::npos);
    CHECK(read_bytes(reader, long_body_size) == long_body_size);
    ::close(reader);

    const int writer = connect_to_port(fixture.port);
    test::send_all(writer,
                   "PUT /book/2 HTTP/1.1\r\nX-Request-Id: 2\r\nIdempotency-Key: k\r\nContent-Length: " +
                       std::to_string(long_body_size) + "\r\n\r\n");
    std::thread upload([&] { write_filler(writer, long_body_size); });
    read_body = true;
    CHECK(status_and_body(test::read_http_message(writer)) == "HTTP/1.1 200 [stored]");
    upload.join();
    CHECK(received_size == long_body_size);
    ::close(writer);
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
    CHECK(peak_memory_kb() - initial_peak < 4096); // kB; a fully buffered body would need at least 32,768
#else
    static_cast<void>(initial_peak); // includes the memory of the sanitizers
#endif
}

TEST_CASE("long bodies: a response in each framing reaches HTTP/1.0 and HTTP/1.1 clients") {
    std::string response_framing;
    const std::size_t size = 200000;
    raw_endpoint_fixture fixture([&](int fd) {
        read_head(fd);
        const std::string ok_line = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n";
        if (response_framing == "closed" || response_framing == "cut")
            test::send_all(fd,
                           ok_line + (response_framing == "cut" ? "Content-Length: 300000\r\n\r\n" : "\r\n"));
        else
            test::send_all(fd, ok_line + "Transfer-Encoding: chunked\r\n\r\n");
        if (response_framing.starts_with("c") && response_framing != "chunked") {
            write_filler(fd, size);
            return;
        }
        const std::size_t chunk_size = 40; // many small chunks, whose size lines alone exceed the body buffer
        for (std::size_t sent = 0; sent < size; sent += chunk_size)
            test::send_all(fd, "28;name=value\r\n" + std::string(chunk_size, 'v') + "\r\n");
        if (response_framing == "chunked")
            test::send_all(fd, "0\r\nTrailer: x\r\n\r\n");
    });
    const auto request_body = [&](const std::string &framing_name, const std::string &version) {
        response_framing = framing_name;
        const int fd = connect_to_port(fixture.port);
        test::send_all(fd,
                       "GET /read/1 HTTP/" + version + "\r\nX-Request-Id: 1\r\nConnection: close\r\n\r\n");
        const std::string head = read_head(fd);
        const std::string body = test::read_to_end(fd);
        ::close(fd);
        if (head.find("Transfer-Encoding: chunked") == std::string::npos)
            return std::to_string(body.size());
        const bool complete = body.ends_with("\r\n0\r\n\r\n");
        return std::to_string(std::count(body.begin(), body.end(), 'v')) +
               (complete ? " chunked" : " chunked, cut");
    };
    CHECK(request_body("chunked", "1.1") == "200000 chunked");
    CHECK(request_body("chunked", "1.0") == "200000");
    CHECK(request_body("closed", "1.1") == "200000 chunked");
    CHECK(request_body("cut", "1.1") == "200000"); // of the 300000 in its head
    CHECK(request_body("broken off", "1.1") == "200000 chunked, cut");
}

// The request was not executed if the endpoint closes during the body, so the client may retry it. A response
// to HEAD has no body, even with a large Content-Length.
TEST_CASE("long bodies: 503 if the endpoint closes during an upload, no body for HEAD") {
    raw_endpoint_fixture fixture([](int fd) {
        const std::string head = read_head(fd);
        if (head.starts_with("HEAD"))
            test::send_all(fd, "HTTP/1.1 200 OK\r\nContent-Length: 5000000\r\n\r\n");
        else
            read_bytes(fd, 100000);
    });
    const int writer = connect_to_port(fixture.port);
    test::send_all(writer, "PUT /bill/1 HTTP/1.1\r\nX-Request-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
    std::thread upload([&] {
        for (int i = 0; i < 160; ++i)
            test::send_all(writer, "10000\r\n" + std::string(65536, 'v') + "\r\n");
        test::send_all(writer, "0\r\n\r\n");
    });
    CHECK(read_head(writer).starts_with("HTTP/1.1 503"));
    upload.join();
    ::close(writer);
    const int reader = connect_to_port(fixture.port);
    test::send_all(reader, "HEAD /read/1 HTTP/1.1\r\nX-Request-Id: 3\r\n\r\nGET /_health HTTP/1.1\r\n\r\n");
    CHECK(read_head(reader).find("Content-Length: 5000000\r\n") != std::string::npos);
    CHECK(read_head(reader).starts_with("HTTP/1.1 ")); // the next response follows without a body
    ::close(reader);
}

// Clients may take 2 s for a head and may send a request in pieces of any size.
TEST_CASE("long bodies: an upload in pieces of any size is forwarded completely") {
    std::string forwarded_head;
    raw_endpoint_fixture fixture([&](int fd) {
        forwarded_head = read_head(fd);
        read_bytes(fd, 150000);
        test::send_all(fd, ok_response("stored"));
    });
    const std::string request =
        "\r\nPUT http://origin.svc/book/1 HTTP/1.1\r\nX-Request-Id: 1\r\nIdempotency-Key: k\r\n"
        "Content-Length: 150000\r\n\r\n" +
        std::string(150000, 'v');
    const int writer = connect_to_port(fixture.port);
    std::minstd_rand random(3);
    for (std::size_t sent = 0; sent < request.size();) {
        const std::size_t size = sent < 200 ? 1 : 1 + random() % 9000;
        test::send_all(writer, request.substr(sent, size));
        sent += size;
        std::this_thread::yield();
    }
    CHECK(status_and_body(test::read_http_message(writer)) == "HTTP/1.1 200 [stored]");
    CHECK(forwarded_head.starts_with("PUT /book/1 HTTP/1.1\r\n"));
    CHECK(forwarded_head.find("Content-Length: 150000\r\n") != std::string::npos);
    ::close(writer);
}

// ---- Uploads to an endpoint that hangs

namespace {

// More than the buffers between proxy and endpoint take, less than those between client and proxy take.
constexpr std::size_t upload_size = 2000000;     // bytes
constexpr std::size_t read_before_hang = 100000; // bytes; more than the proxy holds itself
constexpr double lateness_limit = 0.5; // s after its deadline within which a client needs its response

// An endpoint that reads the beginning of a request's body and then hangs until go_on().
struct hung_endpoint {
    void handle(int fd) {
        if (!read_head(fd).starts_with("PUT")) // a health check after the hang
            return;
        received_size = read_bytes(fd, read_before_hang);
        hangs = true;
        while (!goes_on)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        received_size += read_bytes(fd, long_body_size);
        ended = true;
    }
    void wait_until_hung() const { wait_for(hangs); }
    // Lets the endpoint read what was sent; returns the number of body bytes, including the framing of
    // chunks.
    std::size_t go_on() {
        goes_on = true;
        wait_for(ended);
        return received_size;
    }
    static void wait_for(const std::atomic<bool> &flag) {
        while (!flag)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }

    std::atomic<std::size_t> received_size = 0;
    std::atomic<bool> hangs = false, goes_on = false, ended = false;
};

// A proxy in front of a hung endpoint.
struct hung_endpoint_fixture {
    explicit hung_endpoint_fixture(int request_timeout_ms = 3000)
        : proxy([this](int fd) { endpoint.handle(fd); }, true, request_timeout_ms) {}
    hung_endpoint_fixture(const hung_endpoint_fixture &) = delete;
    hung_endpoint_fixture &operator=(const hung_endpoint_fixture &) = delete;
    ~hung_endpoint_fixture() { endpoint.goes_on = true; }
    hung_endpoint endpoint;
    raw_endpoint_fixture proxy;
};

std::string counted_upload(const std::string &deadline, std::size_t size = upload_size) {
    return upload_head(deadline, "Content-Length: " + std::to_string(size)) + std::string(size, 'v');
}
std::string chunked_upload(const std::string &deadline) {
    std::ostringstream size;
    size << std::hex << upload_size;
    return upload_head(deadline, "Transfer-Encoding: chunked") + size.str() + "\r\n" +
           std::string(upload_size, 'v') + "\r\n0\r\n\r\n";
}

} // namespace

// A client that has sent its whole request must have its response in time: the endpoint hangs inside the
// body, most of which waits in socket buffers.
TEST_CASE("long bodies: an upload to an endpoint that hangs is rejected at its client's deadline") {
    constexpr double client_timeout = 0.4; // s
    for (const std::string &request : {counted_upload("400m"), chunked_upload("400m")}) {
        CAPTURE(request.substr(0, request.find("\r\n\r\n")));
        hung_endpoint_fixture fixture;
        const tcp_socket client = connect_with_time_limit(fixture.proxy.port);
        const double started = steady_now();
        test::send_all(client.get(), request);
        const double sent = steady_now();
        REQUIRE(sent < started + client_timeout); // it waits in socket buffers
        const std::string response = test::read_http_message(client.get());
        const double response_time = steady_now() - sent;
        CHECK(response.starts_with("HTTP/1.1 503"));
        CHECK(response.find("\r\nRetry-After: ") != std::string::npos);
        CHECK(response_time < client_timeout + lateness_limit);
        CHECK(fixture.endpoint.go_on() < upload_size); // it was not executed
        CHECK(fixture.proxy.proxy->counts().value(counter::attempts_connect_error) == 1);
    }
}

// A planned stop must end before the kill: it begins while an upload waits for an endpoint that hangs.
TEST_CASE("long bodies: an upload to an endpoint that hangs is rejected before the kill of a planned stop") {
    constexpr int longest_deadline_ms = 300;
    constexpr double earliest_kill = 1.0; // s after the signal
    hung_endpoint_fixture fixture(longest_deadline_ms);
    const tcp_socket client = connect_with_time_limit(fixture.proxy.port);
    test::send_all(client.get(), counted_upload("2500m")); // longer than the stop
    fixture.endpoint.wait_until_hung();
    const double stopped = steady_now();
    std::atomic<double> stop_time = 0;
    std::thread stop([&] {
        fixture.proxy.proxy->stop();
        stop_time = steady_now() - stopped;
    });
    const std::string response = test::read_http_message(client.get());
    const double response_time = steady_now() - stopped;
    CHECK(response.starts_with("HTTP/1.1 503"));
    CHECK(response_time < earliest_kill);
    CHECK(fixture.endpoint.go_on() < upload_size);
    stop.join();
    CHECK(stop_time.load() < earliest_kill);
}

// No endpoint may start to execute a request whose client has left: it disconnects while the endpoint hangs.
// The proxy sees that at the latest with the last byte, as the end of the connection may wait behind unread
// bytes.
TEST_CASE("long bodies: an upload is not completed after its client has disconnected") {
    constexpr double detection_limit = 1; // s
    hung_endpoint_fixture fixture;
    {
        const tcp_socket client = connect_with_time_limit(fixture.proxy.port);
        test::send_all(client.get(), counted_upload("2500m"));
        fixture.endpoint.wait_until_hung();
    }
    CHECK(fixture.endpoint.go_on() < upload_size);
    const auto &counts = fixture.proxy.proxy->counts();
    const double ended = steady_now();
    while (counts.value(counter::client_disconnects) == 0 && steady_now() < ended + detection_limit)
        std::this_thread::yield();
    CHECK(counts.value(counter::client_disconnects) == 1);
}

// A client's time starts with its last byte, however long its body takes.
TEST_CASE("long bodies: a slow client's deadline counts from its last byte") {
    std::string forwarded_head;
    raw_endpoint_fixture fixture([&](int fd) {
        forwarded_head = read_head(fd);
        read_bytes(fd, upload_size);
        test::send_all(fd, ok_response("stored"));
    });
    const tcp_socket client = connect_with_time_limit(fixture.port);
    const std::string request = counted_upload("300m");
    constexpr std::size_t part_count = 6;
    const std::size_t part_size = request.size() / part_count + 1;
    for (std::size_t sent = 0; sent < request.size(); sent += part_size) {
        test::send_all(client.get(), request.substr(sent, part_size));
        std::this_thread::sleep_for(std::chrono::milliseconds(150));
    }
    CHECK(status_and_body(test::read_http_message(client.get())) == "HTTP/1.1 200 [stored]");
    CHECK(forwarded_head.find("\r\nX-Deadline: ") != std::string::npos);
}

// While more of a body is missing than socket buffers hold, its client cannot have sent the last byte.
TEST_CASE("long bodies: a pause of the endpoint early in a very long upload does not end it") {
    raw_endpoint_fixture fixture([](int fd) {
        read_head(fd);
        std::this_thread::sleep_for(std::chrono::milliseconds(900));
        read_bytes(fd, long_body_size);
        test::send_all(fd, ok_response("stored"));
    });
    const tcp_socket client = connect_with_time_limit(fixture.port);
    test::send_all(client.get(), counted_upload("500m", long_body_size));
    CHECK(status_and_body(test::read_http_message(client.get())) == "HTTP/1.1 200 [stored]");
}

} // namespace harrierpass::proxy
