// SPDX-License-Identifier: Apache-2.0
#include "net/threads.hpp"

#include <cerrno>
#include <chrono>
#include <csignal>
#include <ctime>
#include <memory>
#include <mutex>
#include <system_error>
#include <thread>

namespace harrierpass {
namespace {

constexpr int call_signal = SIGUSR2;
constexpr double thread_patience = 2; // s that a thread which the program needs is tried for
constexpr std::chrono::milliseconds thread_pause{10};
constexpr std::size_t stack_size = 256UL * 1024; // bytes; of address space, a query touches some 20 KiB

sigset_t every_signal() {
    sigset_t all;
    sigfillset(&all);
    return all;
}

// Its delivery is what ends a wait; there is nothing to do in it.
void on_call(int) {}

void *run(void *given) {
    const std::unique_ptr<std::function<void()>> body(static_cast<std::function<void()> *>(given));
    (*body)();
    return nullptr;
}

int start(pthread_t &id, std::function<void()> body, bool detached) {
    static std::once_flag once;
    std::call_once(once, [] {
        struct sigaction how {};
        how.sa_handler = on_call;
        sigaction(call_signal, &how, nullptr);
    });
    auto given = std::make_unique<std::function<void()>>(std::move(body));
    pthread_attr_t how;
    pthread_attr_init(&how);
    pthread_attr_setstacksize(&how, stack_size);
    pthread_attr_setdetachstate(&how, detached ? PTHREAD_CREATE_DETACHED : PTHREAD_CREATE_JOINABLE);
    // Every signal is blocked but inside wait_on(): none can cut a call short elsewhere.
    const sigset_t all = every_signal();
    sigset_t before;
    pthread_sigmask(SIG_SETMASK, &all, &before);
    const int failed = pthread_create(&id, &how, run, given.get());
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
    pthread_attr_destroy(&how);
    if (failed == 0)
        static_cast<void>(given.release()); // run() has it
    return failed;
}

} // namespace

double steady_now() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

int wait_on(std::span<pollfd> sockets, double seconds) {
    static const sigset_t but_calls = [] {
        sigset_t set = every_signal();
        sigdelset(&set, call_signal);
        return set;
    }();
    seconds = seconds > 0 ? seconds : 0;
    timespec limit{};
    limit.tv_sec = static_cast<time_t>(seconds);
    limit.tv_nsec = static_cast<long>((seconds - static_cast<double>(limit.tv_sec)) * 1e9);
    return ppoll(sockets.data(), sockets.size(), seconds >= forever ? nullptr : &limit, &but_calls);
}

void wake_thread(pthread_t thread) {
    pthread_kill(thread, call_signal);
}

bool start_detached(std::function<void()> body) {
    pthread_t id;
    return start(id, std::move(body), true) == 0;
}

joined_thread::joined_thread(std::function<void()> body) {
    // Without it there is no proxy, so a want that may pass is waited for.
    int failed = EAGAIN;
    for (const double end = steady_now() + thread_patience; failed == EAGAIN && steady_now() < end;) {
        failed = start(id_, body, false);
        if (failed == EAGAIN)
            std::this_thread::sleep_for(thread_pause);
    }
    if (failed != 0)
        throw std::system_error(failed, std::generic_category(), "no thread");
}

joined_thread::~joined_thread() {
    pthread_join(id_, nullptr);
}

} // namespace harrierpass
