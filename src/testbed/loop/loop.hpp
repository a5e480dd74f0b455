// SPDX-License-Identifier: Apache-2.0
// One thread that waits for many sockets and for what is due: the laboratory's side of a run on sockets. Its
// timeline follows the machine's clock (Unix time), so that the same models run in it as in virtual time.
#pragma once

#include "testbed/model/timeline.hpp"

#include <functional>
#include <unordered_map>

namespace harrierpass::testbed {

class loop {
public:
    // `offset`: of a loop in another process whose clock this one is to agree with; 0: of its own.
    explicit loop(double offset = 0);
    double offset() const { return offset_; } // Unix time less the machine's monotonic clock, s
    ~loop();
    loop(const loop &) = delete;
    loop &operator=(const loop &) = delete;

    timeline clock;
    double exact() const {
        return unix_now();
    } // s; the clock's own stands while what has come is worked through

    // `what` is called with the epoll events that came. One entry a descriptor.
    void watch(int fd, std::uint32_t events, std::function<void(std::uint32_t)> what);
    void change(int fd, std::uint32_t events);
    void forget(int fd); // also within a call; a call for it that is due then is left out

    void run(const std::function<bool()> &over);

private:
    double unix_now() const;
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
