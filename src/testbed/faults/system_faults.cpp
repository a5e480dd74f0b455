// SPDX-License-Identifier: Apache-2.0
// Library that the testbed preloads into the proxies that it starts. It makes system calls fail or complete
// partially, within the limits of their manual pages, and steps the wall clock. It injects only errors that
// leave a connection usable; errors that break a connection are link faults. The numbers of injected faults
// are printed when the process ends.
//
// HARRIERPASS_FAULTS="SEED RATE FROM FOR STEP": the share RATE of the calls fails during FOR seconds, which
// begin FROM seconds after the start; from then on the wall clock is off by STEP seconds.
#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <dlfcn.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

enum system_call : std::uint8_t {
    call_accept,
    call_socket,
    call_connect,
    call_recv,
    call_send,
    call_poll,
    call_thread,
    call_count
};
constexpr std::array<const char *, call_count> names = {"accept4", "socket", "connect",       "recv",
                                                        "sendmsg", "ppoll",  "pthread_create"};

template <typename Function> Function real_function(const char *name) {
    return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

double steady_now() {
    static const auto real = real_function<int (*)(clockid_t, timespec *)>("clock_gettime");
    timespec now{};
    real(CLOCK_MONOTONIC, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

// Faults to inject, from the environment variable HARRIERPASS_FAULTS.
struct fault_plan {
    unsigned long seed = 1;
    double rate = 0, start = 0, duration = 0, clock_step = 0;
    double start_time = steady_now();

    fault_plan() {
        if (const char *text = std::getenv("HARRIERPASS_FAULTS"))
            std::sscanf(text, "%lu %lf %lf %lf %lf", &seed, &rate, &start, &duration, &clock_step);
    }
    double uptime() const { return steady_now() - start_time; }
};

const fault_plan &plan() {
    static const fault_plan environment_plan;
    return environment_plan;
}

// SplitMix64 of the draw's number: needs no lock, and gives the same draws for the same seed and order of
// calls.
double draw() {
    static std::atomic<std::uint64_t> draw_count = 0;
    std::uint64_t hash = (plan().seed + draw_count.fetch_add(1)) * 0x9e3779b97f4a7c15ULL;
    hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9ULL;
    hash = (hash ^ (hash >> 27)) * 0x94d049bb133111ebULL;
    return static_cast<double>((hash ^ (hash >> 31)) >> 11) * 0x1.0p-53;
}

std::array<std::atomic<unsigned long>, call_count> injected_faults;

struct fault_report {
    fault_report() = default;
    fault_report(const fault_report &) = delete;
    fault_report &operator=(const fault_report &) = delete;
    ~fault_report() {
        for (std::size_t i = 0; i < call_count; ++i)
            std::fprintf(stderr, "counter faults_%s %lu\n", names[i], injected_faults[i].load());
    }
} report_at_exit;

bool should_fail(system_call called) {
    const double uptime = plan().uptime();
    if (uptime < plan().start || uptime >= plan().start + plan().duration || draw() >= plan().rate)
        return false;
    injected_faults[called].fetch_add(1, std::memory_order_relaxed);
    return true;
}

template <std::size_t Size> int fail_with(const std::array<int, Size> &errors) {
    errno = errors[static_cast<std::size_t>(draw() * Size)];
    return -1;
}

// Connects as if a signal had interrupted the call: the connection is established in the background.
int interrupted_connect(int fd, const sockaddr *to, socklen_t size) {
    static const auto real = real_function<int (*)(int, const sockaddr *, socklen_t)>("connect");
    const int flags = ::fcntl(fd, F_GETFL);
    ::fcntl(fd, F_SETFL, flags | O_NONBLOCK);
    const int result = real(fd, to, size);
    const int error = errno;
    ::fcntl(fd, F_SETFL, flags);
    errno = result != 0 && error == EINPROGRESS ? EINTR : error;
    return result;
}

} // namespace

extern "C" {

int accept4(int fd, sockaddr *from, socklen_t *size, int flags) {
    static const auto real = real_function<int (*)(int, sockaddr *, socklen_t *, int)>("accept4");
    static constexpr std::array errors = {ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EINTR, EPROTO};
    return should_fail(call_accept) ? fail_with(errors) : real(fd, from, size, flags);
}

int socket(int family, int type, int protocol) {
    static const auto real = real_function<int (*)(int, int, int)>("socket");
    static constexpr std::array errors = {EMFILE, ENFILE, ENOBUFS, ENOMEM};
    return should_fail(call_socket) ? fail_with(errors) : real(family, type, protocol);
}

int connect(int fd, const sockaddr *to, socklen_t size) {
    static const auto real = real_function<int (*)(int, const sockaddr *, socklen_t)>("connect");
    static constexpr std::array errors = {EADDRNOTAVAIL, ENETUNREACH, ETIMEDOUT,
                                          EHOSTUNREACH,  ENOBUFS,     EINTR};
    if (!should_fail(call_connect))
        return real(fd, to, size);
    const int failed = fail_with(errors);
    return errno == EINTR ? interrupted_connect(fd, to, size) : failed;
}

ssize_t recv(int fd, void *to, size_t size, int flags) {
    static const auto real = real_function<ssize_t (*)(int, void *, size_t, int)>("recv");
    static constexpr std::array errors = {EINTR, ENOMEM};
    if (!should_fail(call_recv))
        return real(fd, to, size, flags);
    return draw() < 0.5 ? fail_with(errors) : real(fd, to, std::min<size_t>(size, 7), flags);
}

ssize_t sendmsg(int fd, const msghdr *message, int flags) {
    static const auto real = real_function<ssize_t (*)(int, const msghdr *, int)>("sendmsg");
    static constexpr std::array errors = {EINTR, ENOBUFS, ENOMEM, EAGAIN};
    if (!should_fail(call_send))
        return real(fd, message, flags);
    if (draw() < 0.5 || message->msg_iovlen == 0 || message->msg_iov[0].iov_len == 0 ||
        message->msg_controllen > 0)
        return fail_with(errors);
    iovec first_half = message->msg_iov[0];
    first_half.iov_len = (first_half.iov_len + 1) / 2;
    msghdr partial_message = *message;
    partial_message.msg_iov = &first_half;
    partial_message.msg_iovlen = 1;
    return real(fd, &partial_message, flags);
}

int ppoll(pollfd *fds, nfds_t count, const timespec *limit, const sigset_t *mask) {
    static const auto real =
        real_function<int (*)(pollfd *, nfds_t, const timespec *, const sigset_t *)>("ppoll");
    static constexpr std::array errors = {EINTR, ENOMEM};
    return should_fail(call_poll) ? fail_with(errors) : real(fds, count, limit, mask);
}

int pthread_create(pthread_t *id, const pthread_attr_t *attributes, void *(*start_routine)(void *),
                   void *argument) {
    static const auto real =
        real_function<int (*)(pthread_t *, const pthread_attr_t *, void *(*)(void *), void *)>(
            "pthread_create");
    return should_fail(call_thread) ? EAGAIN : real(id, attributes, start_routine, argument);
}

int clock_gettime(clockid_t clock, timespec *now) {
    static const auto real = real_function<int (*)(clockid_t, timespec *)>("clock_gettime");
    const int result = real(clock, now);
    if (result == 0 && clock == CLOCK_REALTIME && plan().clock_step != 0 && plan().uptime() >= plan().start)
        now->tv_sec += static_cast<time_t>(plan().clock_step);
    return result;
}
}
