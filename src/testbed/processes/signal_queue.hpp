// SPDX-License-Identifier: Apache-2.0
// Signals to a process that may still have to be spawned, so that their sender never waits for it.
#pragma once

#include <csignal>
#include <mutex>
#include <optional>
#include <sys/types.h>
#include <vector>

namespace harrierpass::testbed {

// Signals sent before the process exists are delivered, in their order, once it does. Thread-safe.
class signal_queue {
public:
    void send(int which) {
        const std::lock_guard hold(lock_);
        if (pid_)
            deliver(which);
        else
            early_.push_back(which);
    }

    // The process exists now, or (0) could not be spawned.
    void set_pid(pid_t pid) {
        const std::lock_guard hold(lock_);
        pid_ = pid;
        for (const int which : early_)
            deliver(which);
        early_.clear();
    }

private:
    void deliver(int which) {
        if (*pid_ > 0)
            ::kill(*pid_, which);
    }

    std::mutex lock_;
    std::optional<pid_t> pid_; // empty: not spawned yet
    std::vector<int> early_;   // sent before that
};

} // namespace harrierpass::testbed
