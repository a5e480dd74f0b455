// SPDX-License-Identifier: Apache-2.0
#include "testbed/loop/loop.hpp"

#include "net/threads.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <sys/epoll.h>
#include <system_error>
#include <unistd.h>

namespace harrierpass::testbed {
namespace {

constexpr int events_at_once = 256;
constexpr double longest_wait = 0.05; // s between looks whether it is over

} // namespace

loop::loop(double offset)
    : offset_(
          offset != 0
              ? offset
              : std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count() -
                    steady_now()),
      epoll_(epoll_create1(EPOLL_CLOEXEC)) {
    if (epoll_ < 0)
        throw std::system_error(errno, std::generic_category(), "no epoll");
    clock.advance(unix_now(), false);
}

loop::~loop() {
    ::close(epoll_);
}

double loop::unix_now() const {
    return offset_ + steady_now();
}

void loop::watch(int fd, std::uint32_t events, std::function<void(std::uint32_t)> what) {
    entries_[fd] = {std::move(what), ++serial_};
    epoll_event asks{};
    asks.events = events;
    asks.data.u64 = static_cast<std::uint64_t>(fd) | (serial_ << 32);
    if (epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &asks) != 0)
        throw std::system_error(errno, std::generic_category(), "cannot watch a socket");
}

void loop::change(int fd, std::uint32_t events) {
    epoll_event asks{};
    asks.events = events;
    asks.data.u64 = static_cast<std::uint64_t>(fd) | (entries_.at(fd).serial << 32);
    epoll_ctl(epoll_, EPOLL_CTL_MOD, fd, &asks);
}

void loop::forget(int fd) {
    epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
    entries_.erase(fd);
}

void loop::run(const std::function<bool()> &over) {
    std::array<epoll_event, events_at_once> came{};
    while (!over()) {
        double wait = longest_wait;
        if (!clock.empty())
            wait = std::min(wait, clock.next() - unix_now());
        timespec limit{0, wait > 0 ? static_cast<long>(wait * 1e9) : 0};
        const int count = epoll_pwait2(epoll_, came.data(), events_at_once, &limit, nullptr);
        clock.advance(unix_now(), false);
        for (int i = 0; i < count; ++i) {
            const auto &each = came[static_cast<std::size_t>(i)];
            const int fd = static_cast<int>(each.data.u64 & 0xffffffffU);
            const auto found = entries_.find(fd);
            if (found == entries_.end() || (found->second.serial & 0xffffffffU) != each.data.u64 >> 32)
                continue;
            const auto what = found->second.what; // it may forget itself
            what(each.events);
        }
    }
}

} // namespace harrierpass::testbed
