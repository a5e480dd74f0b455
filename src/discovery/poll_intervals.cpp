// SPDX-License-Identifier: Apache-2.0
#include "discovery/poll_intervals.hpp"

#include <algorithm>

namespace harrierpass::discovery {
namespace {

constexpr double first_load = 5;  // times what it can do that the service is asked for at first: most of a
                                  // tier has a list and only watches, and who is refused is told when to come
constexpr double least_gap = 0.5; // s; one proxy alone may ask twice a second for a while
constexpr double usual_ask_in = 30;   // s, where no limit is told
constexpr double wait_share = 0.7;    // of the time in which one must ask, for a watch to wait ...
constexpr double answer_share = 0.3;  // ... and for its answer; both together are the whole
constexpr double longest_wait = 20;   // s; a connection that is cut off unseen is found out after this
constexpr double longest_answer = 5;  // s; a service that needs more has lost the call
constexpr double least_breath = 0.15; // s; within 0.2 s the next call goes on with the same watch (protocol)
constexpr double most_breath = 1;     // s; half of what a drain is commonly given
constexpr double watch_load = 20; // watches opened in the time of a whole list; all end at once with a change

} // namespace

poll_intervals compute_poll_intervals(const poll_settings &given) {
    poll_intervals made;
    if (given.service == list_service_kind::agent) {
        made.watch_timeout = given.agent_watch_timeout;
        made.response_timeout = given.agent_response_timeout;
        return made;
    }
    const double ask_in =
        given.max_poll_interval > 0 ? std::min(given.max_poll_interval, usual_ask_in) : usual_ask_in;
    const double whole =
        given.proxy_count / given.snapshots_per_second; // s of the service's work for a list to everybody
    made.watch_timeout = std::min(longest_wait, ask_in * wait_share);
    made.response_timeout = std::min(longest_answer, ask_in * answer_share);
    made.initial_poll_window = std::min(whole / first_load, ask_in / 2);
    made.rejected_poll_window = whole;
    made.min_backoff = std::max(least_gap, made.initial_poll_window);
    made.max_backoff = std::max(made.min_backoff, ask_in);
    made.max_watch_delay = std::clamp(whole / watch_load, least_breath, most_breath);
    return made;
}

} // namespace harrierpass::discovery
