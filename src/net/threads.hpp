// SPDX-License-Identifier: Apache-2.0
// Threads with small stacks, and their wait function, which ends on socket readiness, a timeout or a wake-up
// by another thread. Times are in seconds.
#pragma once

#include <functional>
#include <poll.h>
#include <pthread.h>
#include <span>

namespace harrierpass {

inline constexpr double forever = 1e9; // s; a wait of this length or more has no timeout

// Maximum wait in seconds of a thread that others may wake, after which it checks its condition itself: on a
// platform where signals do not interrupt a wait, it would otherwise miss a wake-up until a socket is ready.
// Short compared to any latency objective.
inline constexpr double missed_wakeup_limit = 0.02;

// The monotonic clock in seconds.
double steady_now();

// Waits until sockets are ready (returns their number), the timeout expires (0), or wake_thread() is called
// for this thread (-1). A wake-up before the wait also ends it, so none is lost. Only for threads that are
// started by the functions below.
int wait_on(std::span<pollfd> sockets, double seconds);

// Ends the current or the next wait of a thread. The thread must not have ended.
void wake_thread(pthread_t thread);

// Starts a detached thread. Returns false if the system cannot create one.
bool start_detached(std::function<void()> body);

// A thread that the destructor joins.
class joined_thread {
public:
    // Throws std::system_error if the system cannot create a thread.
    explicit joined_thread(const std::function<void()> &body);
    ~joined_thread();
    joined_thread(const joined_thread &) = delete;
    joined_thread &operator=(const joined_thread &) = delete;
    // The argument for wake_thread().
    pthread_t id() const { return id_; }

private:
    pthread_t id_{};
};

} // namespace harrierpass
