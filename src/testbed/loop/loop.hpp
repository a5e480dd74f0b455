// SPDX-License-Identifier: Apache-2.0
// Event loop of a run on sockets: one thread that waits for sockets and timers. Its timeline follows the
// machine's clock (Unix time), so that it runs the same models as in virtual time.
#pragma once

#include "testbed/model/timeline.hpp"

#include <functional>
#include <unordered_map>

namespace harrierpass::testbed {

// Single-threaded: all calls come from the thread that runs it.
class loop {
public:
    // `offset`: that of a loop in another process, to share its clock; 0: computes a new one.
    explicit loop(double offset = 0);
    double offset() const { return offset_; } // Unix time minus the monotonic clock, in seconds
    ~loop();
    loop(const loop &) = delete;
    loop &operator=(const loop &) = delete;

    // `clock` does not advance while an event is handled; precise_now() is the machine's time at the call, in
    // seconds.
    timeline clock;
    double precise_now() const { return unix_now(); }

    // Calls `on_event` with the epoll events that occurred. A descriptor has at most one entry.
    void watch(int fd, std::uint32_t events, std::function<void(std::uint32_t)> on_event);
    void change(int fd, std::uint32_t events);
    void forget(int fd); // allowed in a callback; drops pending events of the descriptor

    // Brings the clock to the machine's time and runs the timers that are due.
    void run_due_timers() { clock.advance(unix_now(), false); }
    // Handles events and timers until `is_done` returns true.
    void run(const std::function<bool()> &is_done);

private:
    double unix_now() const;
    // `registration` distinguishes a descriptor from an earlier one with the same number.
    struct entry {
        std::function<void(std::uint32_t)> on_event;
        std::uint64_t registration;
    };
    const double offset_; // Unix time minus the steady clock, in seconds
    int epoll_;
    std::uint64_t last_registration_ = 0;
    std::unordered_map<int, entry> entries_;
};

} // namespace harrierpass::testbed
