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

constexpr int wake_signal = SIGUSR2;
constexpr double thread_start_limit = 2; // s; joined threads are required for the program to run
constexpr std::chrono::milliseconds thread_start_retry{10};
constexpr std::size_t stack_size = 256UL * 1024; // bytes of address space; a request uses about 20 KiB

sigset_t all_signals() {
    sigset_t signals;
    sigfillset(&signals);
    return signals;
}

// Empty: the delivery of the signal ends a wait.
void on_wake_signal(int) {}

void install_wake_signal_handler() {
    static std::once_flag once;
    std::call_once(once, [] {
        struct sigaction handler {};
        handler.sa_handler = on_wake_signal;
        sigaction(wake_signal, &handler, nullptr);
    });
}

void *run_thread(void *argument) {
    const std::unique_ptr<std::function<void()>> body(static_cast<std::function<void()> *>(argument));
    (*body)();
    return nullptr;
}

// Returns an errno, or 0 on success.
int create_thread(pthread_t &id, std::function<void()> body, int detach_state) {
    install_wake_signal_handler();
    auto argument = std::make_unique<std::function<void()>>(std::move(body));
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, stack_size);
    pthread_attr_setdetachstate(&attributes, detach_state);
    // The thread inherits a mask that blocks all signals; only wait_on() unblocks the wake signal, so that no
    // other system call is interrupted.
    const sigset_t blocked = all_signals();
    sigset_t previous;
    pthread_sigmask(SIG_SETMASK, &blocked, &previous);
    const int error = pthread_create(&id, &attributes, run_thread, argument.get());
    pthread_sigmask(SIG_SETMASK, &previous, nullptr);
    pthread_attr_destroy(&attributes);
    if (error == 0)
        static_cast<void>(argument.release()); // run_thread() owns it
    return error;
}

} // namespace

double steady_now() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

int wait_on(std::span<pollfd> sockets, double seconds) {
    static const sigset_t all_but_wake_signal = [] {
        sigset_t signals = all_signals();
        sigdelset(&signals, wake_signal);
        return signals;
    }();
    seconds = seconds > 0 ? seconds : 0;
    timespec timeout{};
    timeout.tv_sec = static_cast<time_t>(seconds);
    timeout.tv_nsec = static_cast<long>((seconds - static_cast<double>(timeout.tv_sec)) * 1e9);
    return ppoll(sockets.data(), sockets.size(), seconds >= forever ? nullptr : &timeout,
                 &all_but_wake_signal);
}

void wake_thread(pthread_t thread) {
    pthread_kill(thread, wake_signal);
}

bool start_detached(std::function<void()> body) {
    pthread_t id;
    return create_thread(id, std::move(body), PTHREAD_CREATE_DETACHED) == 0;
}

joined_thread::joined_thread(const std::function<void()> &body) {
    // Retries while the system temporarily cannot create threads.
    const double deadline = steady_now() + thread_start_limit;
    int error = EAGAIN;
    while (error == EAGAIN && steady_now() < deadline) {
        error = create_thread(id_, body, PTHREAD_CREATE_JOINABLE);
        if (error == EAGAIN)
            std::this_thread::sleep_for(thread_start_retry);
    }
    if (error != 0)
        throw std::system_error(error, std::generic_category(), "cannot start a thread");
}

joined_thread::~joined_thread() {
    pthread_join(id_, nullptr);
}

} // namespace harrierpass
