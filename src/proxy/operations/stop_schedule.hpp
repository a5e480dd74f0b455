// SPDX-License-Identifier: Apache-2.0
// The schedule of a planned stop, without I/O. The platform may kill the process the longest deadline of the
// deployment (3 s at most) and 0.7 s after its SIGTERM, and clients send on open connections until then.
// Every bound of the stop follows from that earliest kill: none is a constant that holds for some deadlines
// only.
#pragma once

#include <span>

namespace harrierpass::proxy {

// Seconds after the signal, in this order.
struct stop_schedule {
    double close_idle = 0;   // connections at rest close, and each answer closes its connection, from here on
    double min_idle = 0;     // ... once they have been at rest for so long (a span)
    double accept_until = 0; // new connections are accepted at least until here
    double respond_by = 0;   // every request that was read has its final answer, or its refusal
    double earliest_kill = 0; // SIGKILL may come
};

// The schedule where the longest deadline of any use case is `longest_deadline` seconds.
stop_schedule stop_schedule_for(double longest_deadline);

// The longest of a deployment's deadlines, as far as the platform waits for them; s.
double longest_deadline(std::span<const double> deadlines);

} // namespace harrierpass::proxy
