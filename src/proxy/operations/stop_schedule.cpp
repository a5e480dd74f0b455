// SPDX-License-Identifier: Apache-2.0
#include "proxy/operations/stop_schedule.hpp"

#include <algorithm>

namespace harrierpass::proxy {
namespace {

constexpr double max_deadline = 3;       // s; the platform does not wait for longer deadlines
constexpr double kill_delay = 0.7;       // s that the platform waits in addition to the longest deadline
constexpr double kill_margin = 0.3;      // s; covers a stalled process (0.15 s), the last writes and the exit
constexpr double min_accept_time = 0.45; // s; the load balancer sends new connections for up to 0.4 s
constexpr double serving_share =
    0.5; // of the time until respond_by during which clients keep their connections
constexpr double min_response_time = 0.1; // s reserved for responses if all deadlines are short
constexpr double max_idle = 0.25;         // s; a request may be in transit on a connection used more recently
constexpr double idle_share = 0.5;        // of the time from close_idle to respond_by

} // namespace

double longest_deadline(std::span<const double> deadlines) {
    const auto longest = std::max_element(deadlines.begin(), deadlines.end());
    return longest == deadlines.end() ? 0 : std::min(*longest, max_deadline);
}

stop_schedule stop_schedule_for(double longest_deadline) {
    stop_schedule schedule;
    schedule.earliest_kill = std::clamp(longest_deadline, 0.0, max_deadline) + kill_delay;
    schedule.respond_by = schedule.earliest_kill - kill_margin;
    schedule.close_idle = std::min(std::max(min_accept_time, schedule.respond_by * serving_share),
                                   schedule.respond_by - min_response_time);
    schedule.min_idle = std::min(max_idle, (schedule.respond_by - schedule.close_idle) * idle_share);
    schedule.accept_until = std::max(schedule.close_idle, min_accept_time);
    return schedule;
}

} // namespace harrierpass::proxy
