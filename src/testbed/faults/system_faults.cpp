// SPDX-License-Identifier: Apache-2.0
// A library that the testbed preloads into a proxy that it starts: calls of the system fail, or do a part
// of what was asked, as the manual pages say they may; the wall clock steps. Only errors that leave a
// connection as it was are made up: one that breaks it for good is a link's fault. What it did is counted and
// printed when the process ends.
//
// HARRIERPASS_FAULTS="SEED RATE FROM FOR STEP": a share RATE of the calls fails in the FOR seconds that begin
// FROM seconds after the start; from then on the wall clock is STEP seconds off.
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

enum call : std::uint8_t { of_accept, of_socket, of_connect, of_recv, of_send, of_poll, of_thread, calls };
constexpr std::array<const char *, calls> names = {"accept4", "socket", "connect",       "recv",
                                                   "sendmsg", "ppoll",  "pthread_create"};

template <typename Function> Function next(const char *name) {
    return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

double steady_now() {
    static const auto real = next<int (*)(clockid_t, timespec *)>("clock_gettime");
    timespec now{};
    real(CLOCK_MONOTONIC, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

// What the environment asks for.
struct fault_plan {
    unsigned long seed = 1;
    double rate = 0, from = 0, lasts = 0, step = 0;
    double started = steady_now();

    fault_plan() {
        if (const char *text = std::getenv("HARRIERPASS_FAULTS"))
            std::sscanf(text, "%lu %lf %lf %lf %lf", &seed, &rate, &from, &lasts, &step);
    }
    double age() const { return steady_now() - started; }
};

const fault_plan &plan() {
    static const fault_plan made;
    return made;
}

// SplitMix64, by the number of the draw: no lock, and the same draws for the same seed and order of calls.
double draw() {
    static std::atomic<std::uint64_t> number = 0;
    std::uint64_t mixed = (plan().seed + number.fetch_add(1)) * 0x9e3779b97f4a7c15ULL;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return static_cast<double>((mixed ^ (mixed >> 31)) >> 11) * 0x1.0p-53;
}

std::array<std::atomic<unsigned long>, calls> made_up;

struct report {
    report() = default;
    report(const report &) = delete;
    report &operator=(const report &) = delete;
    ~report() {
        for (std::size_t i = 0; i < calls; ++i)
            std::fprintf(stderr, "counter faults_%s %lu\n", names[i], made_up[i].load());
    }
} at_end;

bool happens(call which) {
    const double age = plan().age();
    if (age < plan().from || age >= plan().from + plan().lasts || draw() >= plan().rate)
        return false;
    made_up[which].fetch_add(1, std::memory_order_relaxed);
    return true;
}

template <std::size_t Size> int fail_with(const std::array<int, Size> &errors) {
    errno = errors[static_cast<std::size_t>(draw() * Size)];
    return -1;
}

// As a signal leaves it: the connection comes up by itself.
int interrupted_connect(int fd, const sockaddr *to, socklen_t size) {
    static const auto real = next<int (*)(int, const sockaddr *, socklen_t)>("connect");
    const int flags = ::fcntl(fd, F_GETFL);
    ::fcntl(fd, F_SETFL, flags | O_NONBLOCK);
    const int done = real(fd, to, size);
    const int why = errno;
    ::fcntl(fd, F_SETFL, flags);
    errno = done != 0 && why == EINPROGRESS ? EINTR : why;
    return done;
}

} // namespace

extern "C" {

int accept4(int fd, sockaddr *from, socklen_t *size, int flags) {
    static const auto real = next<int (*)(int, sockaddr *, socklen_t *, int)>("accept4");
    static constexpr std::array errors = {ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EINTR, EPROTO};
    return happens(of_accept) ? fail_with(errors) : real(fd, from, size, flags);
}

int socket(int family, int type, int protocol) {
    static const auto real = next<int (*)(int, int, int)>("socket");
    static constexpr std::array errors = {EMFILE, ENFILE, ENOBUFS, ENOMEM};
    return happens(of_socket) ? fail_with(errors) : real(family, type, protocol);
}

int connect(int fd, const sockaddr *to, socklen_t size) {
    static const auto real = next<int (*)(int, const sockaddr *, socklen_t)>("connect");
    static constexpr std::array errors = {EADDRNOTAVAIL, ENETUNREACH, ETIMEDOUT,
                                          EHOSTUNREACH,  ENOBUFS,     EINTR};
    if (!happens(of_connect))
        return real(fd, to, size);
    const int failed = fail_with(errors);
    return errno == EINTR ? interrupted_connect(fd, to, size) : failed;
}

ssize_t recv(int fd, void *to, size_t size, int flags) {
    static const auto real = next<ssize_t (*)(int, void *, size_t, int)>("recv");
    static constexpr std::array errors = {EINTR, ENOMEM};
    if (!happens(of_recv))
        return real(fd, to, size, flags);
    return draw() < 0.5 ? fail_with(errors) : real(fd, to, std::min<size_t>(size, 7), flags);
}

ssize_t sendmsg(int fd, const msghdr *message, int flags) {
    static const auto real = next<ssize_t (*)(int, const msghdr *, int)>("sendmsg");
    static constexpr std::array errors = {EINTR, ENOBUFS, ENOMEM, EAGAIN};
    if (!happens(of_send))
        return real(fd, message, flags);
    if (draw() < 0.5 || message->msg_iovlen == 0 || message->msg_iov[0].iov_len == 0 ||
        message->msg_controllen > 0)
        return fail_with(errors);
    iovec part = message->msg_iov[0];
    part.iov_len = (part.iov_len + 1) / 2;
    msghdr less = *message;
    less.msg_iov = &part;
    less.msg_iovlen = 1;
    return real(fd, &less, flags);
}

int ppoll(pollfd *fds, nfds_t count, const timespec *limit, const sigset_t *mask) {
    static const auto real = next<int (*)(pollfd *, nfds_t, const timespec *, const sigset_t *)>("ppoll");
    static constexpr std::array errors = {EINTR, ENOMEM};
    return happens(of_poll) ? fail_with(errors) : real(fds, count, limit, mask);
}

int pthread_create(pthread_t *id, const pthread_attr_t *how, void *(*body)(void *), void *given) {
    static const auto real =
        next<int (*)(pthread_t *, const pthread_attr_t *, void *(*)(void *), void *)>("pthread_create");
    return happens(of_thread) ? EAGAIN : real(id, how, body, given);
}

int clock_gettime(clockid_t which, timespec *now) {
    static const auto real = next<int (*)(clockid_t, timespec *)>("clock_gettime");
    const int done = real(which, now);
    if (done == 0 && which == CLOCK_REALTIME && plan().step != 0 && plan().age() >= plan().from)
        now->tv_sec += static_cast<time_t>(plan().step);
    return done;
}
}
