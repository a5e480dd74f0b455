// SPDX-License-Identifier: Apache-2.0
// The listener's response to connections for which no thread or no memory is available. This program replaces
// the system calls that have to fail and the allocation functions; the replacements call the original
// functions unless a test has enabled a fault.
#include "support/stand.hpp"

#include <array>
#include <atomic>
#include <cerrno>
#include <cstdlib>
#include <dlfcn.h>
#include <new>
#include <optional>
#include <pthread.h>
#include <string_view>
#include <sys/socket.h>

namespace harrierpass::proxy {
namespace {

constexpr std::string_view no_thread_status = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n";
constexpr std::size_t short_write = 45; // bytes; half of the response

// The result of a call of sendmsg() on the faulty connection.
enum class send_fault : std::uint8_t { no_memory, no_buffers, interrupted, would_block, partial };

// Identifies a connection: descriptors are reused for later connections, clients' ports are not.
int peer_port(int fd) {
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    ::getpeername(fd, reinterpret_cast<sockaddr *>(&peer), &size);
    return ntohs(peer.sin_port);
}

// The faults of one connection's writes, in order; later writes succeed.
struct fault_script {
    std::atomic<bool> no_threads = false; // creation of detached threads, as the listener uses them, fails
    std::mutex lock;                      // protects the members below
    std::vector<send_fault> send_faults;
    std::optional<int> faulty_client; // port of the first client to which the response is written
    std::size_t next_fault = 0;

    // Returns the fault for this write; empty: none.
    std::optional<send_fault> take(int fd, std::string_view text) {
        const std::lock_guard guard(lock);
        if (send_faults.empty())
            return std::nullopt;
        const int client = peer_port(fd);
        if (!faulty_client && text.starts_with(no_thread_status))
            faulty_client = client;
        if (faulty_client != client || next_fault == send_faults.size())
            return std::nullopt;
        return send_faults[next_fault++];
    }
};

fault_script &script() {
    static fault_script instance;
    return instance;
}

// Enables the faults during its lifetime.
class scoped_thread_shortage {
public:
    explicit scoped_thread_shortage(std::vector<send_fault> send_faults) {
        {
            const std::lock_guard guard(script().lock);
            script().send_faults = std::move(send_faults);
            script().faulty_client.reset();
            script().next_fault = 0;
        }
        script().no_threads = true;
    }
    ~scoped_thread_shortage() {
        script().no_threads = false;
        const std::lock_guard guard(script().lock);
        script().send_faults.clear();
    }
    scoped_thread_shortage(const scoped_thread_shortage &) = delete;
    scoped_thread_shortage &operator=(const scoped_thread_shortage &) = delete;

    // The number of faults that have occurred.
    static std::size_t faults_taken() {
        const std::lock_guard guard(script().lock);
        return script().next_fault;
    }
};

// The allocations that fail in the listener's thread after it has accepted a connection.
struct allocation_faults {
    int first = 0;        // the first allocation that fails, counted from 1; 0: none
    bool lasting = false; // all later allocations fail, too, until the thread accepts again
};

// Makes allocations fail in the thread that accepts at one port, during its lifetime.
class scoped_memory_shortage {
public:
    scoped_memory_shortage(int port, allocation_faults faults) {
        first_failure = faults.first;
        failures_last = faults.lasting;
        armed_port = port;
    }
    ~scoped_memory_shortage() { armed_port = 0; }
    scoped_memory_shortage(const scoped_memory_shortage &) = delete;
    scoped_memory_shortage &operator=(const scoped_memory_shortage &) = delete;

    // Called after accept4() in the calling thread; `has_connection`: whether it returned a connection.
    static void on_accept(int port, bool has_connection) {
        countdown = port == armed_port && has_connection ? first_failure.load() : 0;
        thread_is_short = false;
    }

    // Whether the current allocation of the calling thread fails.
    static bool allocation_fails() {
        if (armed_port == 0)
            return false;
        if (countdown > 0 && --countdown == 0) {
            thread_is_short = failures_last;
            return true;
        }
        return thread_is_short;
    }

private:
    static inline std::atomic<int> armed_port = 0, first_failure = 0;
    static inline std::atomic<bool> failures_last = false;
    static inline thread_local int countdown = 0;
    static inline thread_local bool thread_is_short = false;
};

int local_port(int fd) {
    sockaddr_in local{};
    socklen_t size = sizeof local;
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&local), &size);
    return ntohs(local.sin_port);
}

int error_of(send_fault fault) {
    switch (fault) {
    case send_fault::no_memory:
        return ENOMEM;
    case send_fault::no_buffers:
        return ENOBUFS;
    case send_fault::interrupted:
        return EINTR;
    default:
        return EAGAIN;
    }
}

template <typename Function> Function next_symbol(const char *name) {
    return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

} // namespace
} // namespace harrierpass::proxy

// Not inlined: otherwise the compiler would warn of free() for memory from `new`.
// NOLINTBEGIN(cppcoreguidelines-no-malloc): these are the global allocation functions.
[[gnu::noinline]] void *operator new(std::size_t size) {
    void *const memory =
        harrierpass::proxy::scoped_memory_shortage::allocation_fails() ? nullptr : std::malloc(size);
    if (memory == nullptr)
        throw std::bad_alloc();
    return memory;
}

[[gnu::noinline]] void *operator new(std::size_t size, const std::nothrow_t & /*tag*/) noexcept {
    return harrierpass::proxy::scoped_memory_shortage::allocation_fails() ? nullptr : std::malloc(size);
}

[[gnu::noinline]] void operator delete(void *memory) noexcept {
    std::free(memory);
}

[[gnu::noinline]] void operator delete(void *memory, std::size_t /*size*/) noexcept {
    std::free(memory);
}

[[gnu::noinline]] void operator delete(void *memory, const std::nothrow_t & /*tag*/) noexcept {
    std::free(memory);
}
// NOLINTEND(cppcoreguidelines-no-malloc)

extern "C" {

int accept4(int fd, sockaddr *peer, socklen_t *size, int flags) {
    using namespace harrierpass::proxy;
    static const auto real = next_symbol<int (*)(int, sockaddr *, socklen_t *, int)>("accept4");
    const int connection = real(fd, peer, size, flags);
    const int error = errno;
    scoped_memory_shortage::on_accept(local_port(fd), connection >= 0);
    errno = error;
    return connection;
}

ssize_t sendmsg(int fd, const msghdr *message, int flags) {
    using namespace harrierpass::proxy;
    static const auto real = next_symbol<ssize_t (*)(int, const msghdr *, int)>("sendmsg");
    if (message->msg_iovlen == 0)
        return real(fd, message, flags);
    iovec part = message->msg_iov[0];
    const auto fault = script().take(fd, {static_cast<const char *>(part.iov_base), part.iov_len});
    if (!fault)
        return real(fd, message, flags);
    if (*fault != send_fault::partial) {
        errno = error_of(*fault);
        return -1;
    }
    part.iov_len = std::min(part.iov_len, short_write);
    msghdr shorter = *message;
    shorter.msg_iov = &part;
    shorter.msg_iovlen = 1;
    return real(fd, &shorter, flags);
}

int pthread_create(pthread_t *newthread, const pthread_attr_t *attr, void *(*start_routine)(void *),
                   void *arg) {
    using namespace harrierpass::proxy;
    using create = int (*)(pthread_t *, const pthread_attr_t *, void *(*)(void *), void *);
    static const auto real = next_symbol<create>("pthread_create");
    int detach_state = PTHREAD_CREATE_JOINABLE;
    if (attr != nullptr)
        pthread_attr_getdetachstate(attr, &detach_state);
    if (detach_state == PTHREAD_CREATE_DETACHED && script().no_threads)
        return EAGAIN;
    return real(newthread, attr, start_routine, arg);
}
}

namespace harrierpass::proxy {
namespace {

const std::string no_thread_response =
    std::string(no_thread_status) + "Content-Length: 0\r\nConnection: close\r\n\r\n";

} // namespace

TEST_CASE("listener: a connection without a thread gets the complete response despite write faults") {
    const std::vector<std::vector<send_fault>> cases = {
        {},
        {send_fault::partial},
        {send_fault::no_memory},
        {send_fault::no_buffers},
        {send_fault::interrupted},
        {send_fault::would_block},
        {send_fault::partial, send_fault::no_memory, send_fault::interrupted, send_fault::no_buffers},
    };
    proxy_fixture fixture;
    for (const auto &faults : cases) {
        CAPTURE(faults.size());
        CAPTURE(faults.empty() ? -1 : static_cast<int>(faults.front()));
        const scoped_thread_shortage shortage(faults);
        test_client client(fixture.port);
        client.send(make_request("read", "1"));
        CHECK(client.read() == no_thread_response);
        CHECK(client.wait_for_close());
        CHECK(scoped_thread_shortage::faults_taken() == faults.size());
    }
    CHECK(fixture.attempt_count() == 0);
}

// The listener gives up a connection on which nothing can be written, and responds to later connections.
TEST_CASE("listener: a response that cannot be written does not stop accepting") {
    proxy_fixture fixture;
    {
        const scoped_thread_shortage shortage(std::vector<send_fault>(10000, send_fault::no_memory));
        test_client blocked(fixture.port), next(fixture.port);
        CHECK(blocked.read().empty());
        CHECK(next.read() == no_thread_response);
        CHECK(scoped_thread_shortage::faults_taken() < 10000);
    }
    CHECK(status_and_body(test_client(fixture.port).request(make_request("read", "1"))) ==
          "HTTP/1.1 200 [value]");
}

// The allocations for a connection, in order: its entry, its state, the function of its thread, and a copy of
// that function.
TEST_CASE("listener: a connection without memory gets the complete response, and accepting continues") {
    constexpr int allocations = 4;
    proxy_fixture fixture;
    for (const bool lasting : {false, true})
        for (int first = 1; first <= allocations; ++first) {
            CAPTURE(lasting);
            CAPTURE(first);
            {
                const scoped_memory_shortage shortage(fixture.port, {.first = first, .lasting = lasting});
                test_client client(fixture.port);
                client.send(make_request("read", "1"));
                CHECK(client.read() == no_thread_response);
                CHECK(client.wait_for_close());
            }
            CHECK(status_and_body(test_client(fixture.port).request(make_request("read", "1"))) ==
                  "HTTP/1.1 200 [value]");
        }
    CHECK(fixture.attempt_count() == 2 * allocations);
}

// Operators' tools match these names.
TEST_CASE("listener: close reasons have stable names in the log") {
    CHECK(log_text(close_reason::reclaimed) == std::string("reclaimed"));
    CHECK(log_text(close_reason::shutting_down) == std::string("draining"));
    CHECK(log_text(close_reason::silent) == std::string("silent"));
    CHECK(log_text(close_reason::idle) == std::string("idle"));
    CHECK(log_text(close_reason::client_closed) == std::string("client_closed"));
    CHECK(log_text(close_reason::client_reset) == std::string("client_reset"));
    CHECK(log_text(close_reason::out_of_memory) == std::string("no_memory"));
    CHECK(log_text(close_reason::internal_error) == std::string("failed"));
    CHECK(log_text(close_reason::no_thread) == std::string("no_thread"));
}

} // namespace harrierpass::proxy
