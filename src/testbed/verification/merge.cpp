// SPDX-License-Identifier: Apache-2.0
#include "testbed/verification/merge.hpp"

#include <algorithm>
#include <limits>

namespace harrierpass::testbed {

void play(const seen &event, witness &to) {
    switch (event.is) {
    case seen::kind::asked:
        return to.asked(event.op, event.a, event.b, event.c, event.x);
    case seen::kind::answered:
        return to.answered(event.op, event.a, static_cast<reply>(event.small), event.flag != 0);
    case seen::kind::unanswered:
        return to.unanswered(event.op, event.a);
    case seen::kind::settled:
        return to.settled(event.op);
    case seen::kind::untaken:
        return to.untaken(event.op, event.a);
    case seen::kind::meet:
        return to.meet(event.op, event.a, event.b);
    case seen::kind::received:
        return to.received(event.op, event.a, event.b, event.x);
    case seen::kind::over:
        return to.over(event.op, event.a, event.b);
    case seen::kind::ran:
        return to.ran(event.op, event.a, event.b);
    case seen::kind::fell:
        return to.fell(event.a);
    case seen::kind::died:
        return to.died(event.a);
    case seen::kind::told:
        return to.told(event.a, event.b, static_cast<endpoint_state>(event.small));
    case seen::kind::restarted:
        return to.restarted(event.a, event.flag != 0);
    case seen::kind::paused:
        return to.paused(event.a, event.flag != 0);
    case seen::kind::link_trouble:
        return to.link_trouble(static_cast<link_kind>(event.small), event.a, event.b, event.flag != 0);
    }
}

void writer::note(seen what) {
    what.when = now_();
    to_(what);
}

void writer::asked(operation op, index attempt, index proxy, index use_case, double end) {
    note({seen::kind::asked, 0, 0, attempt, proxy, use_case, op, end});
}
void writer::answered(operation op, index attempt, reply how, bool body_fits) {
    note({seen::kind::answered, static_cast<std::uint8_t>(how), body_fits, attempt, 0, 0, op});
}
void writer::unanswered(operation op, index attempt) {
    note({seen::kind::unanswered, 0, 0, attempt, 0, 0, op});
}
void writer::settled(operation op) {
    note({seen::kind::settled, 0, 0, 0, 0, 0, op});
}
void writer::untaken(operation op, index attempt) {
    note({seen::kind::untaken, 0, 0, attempt, 0, 0, op});
}
void writer::meet(operation op, index attempt, index use_case) {
    note({seen::kind::meet, 0, 0, attempt, use_case, 0, op});
}
void writer::received(operation op, index attempt, index server, double sent) {
    note({seen::kind::received, 0, 0, attempt, server, 0, op, sent});
}
void writer::over(operation op, index attempt, index server) {
    note({seen::kind::over, 0, 0, attempt, server, 0, op});
}
void writer::ran(operation op, index attempt, index server) {
    note({seen::kind::ran, 0, 0, attempt, server, 0, op});
}
void writer::fell(index server) {
    note({seen::kind::fell, 0, 0, server});
}
void writer::died(index server) {
    note({seen::kind::died, 0, 0, server});
}
void writer::told(index proxy, index server, endpoint_state as) {
    note({seen::kind::told, static_cast<std::uint8_t>(as), 0, proxy, server});
}
void writer::restarted(index proxy, bool killed) {
    note({seen::kind::restarted, 0, killed, proxy});
}
void writer::paused(index proxy, bool begins) {
    note({seen::kind::paused, 0, begins, proxy});
}
void writer::link_trouble(link_kind kind, index near, index far, bool begins) {
    note({seen::kind::link_trouble, static_cast<std::uint8_t>(kind), begins, near, far});
}

std::size_t event_merge::add_source() {
    heard_.push_back(-std::numeric_limits<double>::infinity());
    return heard_.size() - 1;
}

void event_merge::put(std::size_t source, const seen &event) {
    events_[{event.when, source, order_++}] = event;
    heard(source, event.when);
}

void event_merge::heard(std::size_t source, double when) {
    heard_.at(source) = std::max(heard_[source], when);
}

void event_merge::gone(std::size_t source) {
    heard_.at(source) = std::numeric_limits<double>::infinity();
}

void event_merge::returns(std::size_t source, double when) {
    heard_.at(source) = when;
}

void event_merge::judge() {
    const double known = *std::min_element(heard_.begin(), heard_.end());
    // What is of that very time may still have company.
    while (!events_.empty() && std::get<0>(events_.begin()->first) < known) {
        const auto first = events_.extract(events_.begin());
        clock_.advance(std::get<0>(first.key()), true);
        play(first.mapped(), judge_);
    }
}

} // namespace harrierpass::testbed
