// SPDX-License-Identifier: Apache-2.0
// The schedule of a planned stop. Does no I/O. The platform may kill the process once the longest deadline of
// the deployment (3 s at most) plus 0.7 s have passed since SIGTERM; until then clients may send requests on
// open connections. Every time of the schedule is derived from this earliest kill, so that it holds for all
// deadlines.
#pragma once

#include <span>

namespace harrierpass::proxy {

// Seconds after SIGTERM; min_idle is a duration.
struct stop_schedule {
    double close_idle = 0;    // from then on idle connections are closed, as are connections after a response
    double min_idle = 0;      // idle connections are closed only after this duration without a request
    double accept_until = 0;  // new connections are accepted at least until then
    double respond_by = 0;    // every request that was read has its final response or rejection
    double earliest_kill = 0; // SIGKILL is possible from then on
};

// Computes the schedule; `longest_deadline` is in seconds and covers all request classes.
stop_schedule stop_schedule_for(double longest_deadline);

// The longest of the deadlines in seconds, limited to the 3 s for which the platform waits.
double longest_deadline(std::span<const double> deadlines);

} // namespace harrierpass::proxy
