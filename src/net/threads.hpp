// SPDX-License-Identifier: Apache-2.0
// Threads with small stacks, and the one way in which such a thread waits: for sockets, for a time, or for
// another thread to wake it. Times are seconds.
#pragma once

#include <functional>
#include <poll.h>
#include <pthread.h>
#include <span>

namespace harrierpass {

inline constexpr double forever = 1e9; // s

// The longest wait (s) of a thread that others may wake, after which it looks by itself: on a platform where
// no signal ends a wait, a wake-up would otherwise be missed until a socket is ready. Short beside any
// latency objective.
inline constexpr double missed_wakeup_limit = 0.02;

// A clock that only goes forward.
double steady_now();

// Waits until a socket is ready (returns how many), the time is over (0), or wake_thread() named this thread
// (-1). A wake-up before the wait ends it too, so none is missed. Only for threads started below.
int wait_on(std::span<pollfd> sockets, double seconds);

// Ends the current or the next wait of a thread, which has to be alive.
void wake_thread(pthread_t thread);

// Starts a thread that ends with its body. False where no thread can be had.
bool start_detached(std::function<void()> body);

// A thread that the destructor joins.
class joined_thread {
public:
    // Throws std::system_error where no thread can be had.
    explicit joined_thread(const std::function<void()> &body);
    // Waits until the thread has ended.
    ~joined_thread();
    joined_thread(const joined_thread &) = delete;
    joined_thread &operator=(const joined_thread &) = delete;
    // For wake_thread().
    pthread_t id() const { return id_; }

private:
    pthread_t id_{};
};

} // namespace harrierpass
