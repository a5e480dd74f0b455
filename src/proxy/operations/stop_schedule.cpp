// SPDX-License-Identifier: Apache-2.0
#include "proxy/operations/stop_schedule.hpp"

#include <algorithm>

namespace harrierpass::proxy {
namespace {

constexpr double longest_wait = 3;  // s; the platform waits for no longer deadline
constexpr double kill_delay = 0.7;  // s that it waits beside the longest deadline
constexpr double kill_margin = 0.3; // s; a process may be held up for 0.15 s, and has to write and to end
constexpr double front_time = 0.45; // s; the front deals out new connections for up to 0.4 s
constexpr double serving_share =
    0.5;                            // of the time to the last answer in which clients keep their connections
constexpr double answer_time = 0.1; // s kept free for answers where all deadlines are shorter
constexpr double most_idle = 0.25;  // s; a connection that was used since may have a request on its way
constexpr double idle_share = 0.5;  // of the time from the first close to the last answer

} // namespace

double longest_deadline(std::span<const double> deadlines) {
    const auto longest = std::max_element(deadlines.begin(), deadlines.end());
    return longest == deadlines.end() ? 0 : std::min(*longest, longest_wait);
}

stop_schedule stop_schedule_for(double longest_deadline) {
    stop_schedule made;
    made.earliest_kill = std::clamp(longest_deadline, 0.0, longest_wait) + kill_delay;
    made.respond_by = made.earliest_kill - kill_margin;
    made.close_idle =
        std::min(std::max(front_time, made.respond_by * serving_share), made.respond_by - answer_time);
    made.min_idle = std::min(most_idle, (made.respond_by - made.close_idle) * idle_share);
    made.accept_until = std::max(made.close_idle, front_time);
    return made;
}

} // namespace harrierpass::proxy
