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

constexpr int max_events_per_wait = 256;
constexpr double max_wait = 0.05; // seconds; run() checks `is_done` at least this often

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

void loop::watch(int fd, std::uint32_t events, std::function<void(std::uint32_t)> on_event) {
    entries_[fd] = {std::move(on_event), ++last_registration_};
    epoll_event event{};
    event.events = events;
    event.data.u64 = static_cast<std::uint64_t>(fd) | (last_registration_ << 32);
    if (epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event) != 0)
        throw std::system_error(errno, std::generic_category(), "cannot watch a socket");
}

void loop::change(int fd, std::uint32_t events) {
    epoll_event event{};
    event.events = events;
    event.data.u64 = static_cast<std::uint64_t>(fd) | (entries_.at(fd).registration << 32);
    epoll_ctl(epoll_, EPOLL_CTL_MOD, fd, &event);
}

void loop::forget(int fd) {
    epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
    entries_.erase(fd);
}

void loop::run(const std::function<bool()> &is_done) {
    std::array<epoll_event, max_events_per_wait> ready{};
    while (!is_done()) {
        double wait = max_wait;
        if (!clock.empty())
            wait = std::min(wait, clock.next() - unix_now());
        timespec limit{0, wait > 0 ? static_cast<long>(wait * 1e9) : 0};
        const int count = epoll_pwait2(epoll_, ready.data(), max_events_per_wait, &limit, nullptr);
        run_due_timers();
        for (int i = 0; i < count; ++i) {
            const auto &event = ready[static_cast<std::size_t>(i)];
            const int fd = static_cast<int>(event.data.u64 & 0xffffffffU);
            const auto found = entries_.find(fd);
            if (found == entries_.end() || (found->second.registration & 0xffffffffU) != event.data.u64 >> 32)
                continue;
            const auto on_event = found->second.on_event; // a copy: it may call forget()
            on_event(event.events);
        }
    }
}

} // namespace harrierpass::testbed
