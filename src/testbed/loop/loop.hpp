// SPDX-License-Identifier: Apache-2.0
// One thread that waits for many sockets and for timers: the testbed's side of a run on sockets. Its timeline
// follows the machine's clock (Unix time), so that the same models run in it as in virtual time.
#pragma once

#include "testbed/model/timeline.hpp"

#include <functional>
#include <unordered_map>

namespace harrierpass::testbed {

// Single-threaded: all calls come from the thread that runs it.
class loop {
public:
    // `offset`: of a loop in another process whose clock this one is to agree with; 0: of its own.
    explicit loop(double offset = 0);
    double offset() const { return offset_; } // Unix time less the machine's monotonic clock, s
    ~loop();
    loop(const loop &) = delete;
    loop &operator=(const loop &) = delete;

    // Stands still while events are handled; exact() is the machine's time at the moment of the call, s.
    timeline clock;
    double exact() const { return unix_now(); }

    // Calls `what` with the epoll events that occurred. One entry a descriptor.
    void watch(int fd, std::uint32_t events, std::function<void(std::uint32_t)> what);
    void change(int fd, std::uint32_t events);
    void forget(int fd); // allowed within a callback; a pending callback for it is dropped

    // Handles events and timers until `over` returns true.
    void run(const std::function<bool()> &over);

private:
    double unix_now() const;
    // `serial` tells a descriptor from an earlier one of the same number.
    struct entry {
        std::function<void(std::uint32_t)> what;
        std::uint64_t serial;
    };
    const double offset_; // Unix time less the steady clock's, s
    int epoll_;
    std::uint64_t serial_ = 0;
    std::unordered_map<int, entry> entries_;
};

} // namespace harrierpass::testbed
