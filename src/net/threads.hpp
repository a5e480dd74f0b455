// SPDX-License-Identifier: Apache-2.0
// Threads with small stacks, and the one way in which a thread waits: for sockets, a time, or another
// thread's call.
#pragma once

#include <functional>
#include <poll.h>
#include <pthread.h>
#include <span>

namespace harrierpass {

inline constexpr double forever = 1e9; // s
// s; the longest wait of a thread that others may call, after which it looks for itself. Guards against a
// platform where no signal ends a wait: there a decision would be slept through until the socket stirs. Short
// beside any SLO time, and some microseconds of CPU each.
inline constexpr double missed_wakeup_limit = 0.02;

double steady_now(); // s; goes forward only

// Waits until a socket is ready (how many), the time is over (0) or call() named this thread (-1). A call
// that came before the wait ends it too, so a decision made just before is never slept through.
// Only threads started below may wait.
int wait_on(std::span<pollfd> sockets, double seconds);

// Ends the present or next wait of a thread that is known to be alive.
void wake_thread(pthread_t thread);

// Runs on its own until its body returns. False where no thread can be had.
bool start_detached(std::function<void()> body);

// A thread that is joined when this goes.
class joined_thread {
public:
    explicit joined_thread(std::function<void()> body);
    ~joined_thread();
    joined_thread(const joined_thread &) = delete;
    joined_thread &operator=(const joined_thread &) = delete;
    pthread_t id() const { return id_; }

private:
    pthread_t id_{};
};

} // namespace harrierpass
