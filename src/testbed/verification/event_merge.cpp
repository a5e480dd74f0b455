// SPDX-License-Identifier: Apache-2.0
#include "testbed/verification/event_merge.hpp"

#include <algorithm>
#include <limits>

namespace harrierpass::testbed {

void replay_event(const observed_event &event, witness &to) {
    switch (event.is) {
    case observed_event::kind::asked:
        return to.asked(event.op, event.a, event.b, event.c, event.x);
    case observed_event::kind::answered:
        return to.answered(event.op, event.a, static_cast<reply>(event.small), event.flag != 0);
    case observed_event::kind::unanswered:
        return to.unanswered(event.op, event.a);
    case observed_event::kind::settled:
        return to.settled(event.op);
    case observed_event::kind::untaken:
        return to.untaken(event.op, event.a);
    case observed_event::kind::meet:
        return to.meet(event.op, event.a, event.b);
    case observed_event::kind::received:
        return to.received(event.op, event.a, event.b, event.x);
    case observed_event::kind::over:
        return to.over(event.op, event.a, event.b);
    case observed_event::kind::ran:
        return to.ran(event.op, event.a, event.b);
    case observed_event::kind::fell:
        return to.fell(event.a);
    case observed_event::kind::died:
        return to.died(event.a);
    case observed_event::kind::told:
        return to.told(event.a, event.b, static_cast<endpoint_state>(event.small));
    case observed_event::kind::restarted:
        return to.restarted(event.a, event.flag != 0);
    case observed_event::kind::paused:
        return to.paused(event.a, event.flag != 0);
    case observed_event::kind::link_trouble:
        return to.link_trouble(static_cast<link_kind>(event.small), event.a, event.b, event.flag != 0);
    }
}

void event_recorder::note(observed_event what) {
    what.when = now_();
    to_(what);
}

void event_recorder::asked(operation op, index attempt, index proxy, index use_case, double end) {
    note({observed_event::kind::asked, 0, 0, attempt, proxy, use_case, op, end});
}
void event_recorder::answered(operation op, index attempt, reply how, bool body_fits) {
    note({observed_event::kind::answered, static_cast<std::uint8_t>(how), body_fits, attempt, 0, 0, op});
}
void event_recorder::unanswered(operation op, index attempt) {
    note({observed_event::kind::unanswered, 0, 0, attempt, 0, 0, op});
}
void event_recorder::settled(operation op) {
    note({observed_event::kind::settled, 0, 0, 0, 0, 0, op});
}
void event_recorder::untaken(operation op, index attempt) {
    note({observed_event::kind::untaken, 0, 0, attempt, 0, 0, op});
}
void event_recorder::meet(operation op, index attempt, index use_case) {
    note({observed_event::kind::meet, 0, 0, attempt, use_case, 0, op});
}
void event_recorder::received(operation op, index attempt, index server, double sent) {
    note({observed_event::kind::received, 0, 0, attempt, server, 0, op, sent});
}
void event_recorder::over(operation op, index attempt, index server) {
    note({observed_event::kind::over, 0, 0, attempt, server, 0, op});
}
void event_recorder::ran(operation op, index attempt, index server) {
    note({observed_event::kind::ran, 0, 0, attempt, server, 0, op});
}
void event_recorder::fell(index server) {
    note({observed_event::kind::fell, 0, 0, server});
}
void event_recorder::died(index server) {
    note({observed_event::kind::died, 0, 0, server});
}
void event_recorder::told(index proxy, index server, endpoint_state as) {
    note({observed_event::kind::told, static_cast<std::uint8_t>(as), 0, proxy, server});
}
void event_recorder::restarted(index proxy, bool killed) {
    note({observed_event::kind::restarted, 0, killed, proxy});
}
void event_recorder::paused(index proxy, bool begins) {
    note({observed_event::kind::paused, 0, begins, proxy});
}
void event_recorder::link_trouble(link_kind kind, index near, index far, bool begins) {
    note({observed_event::kind::link_trouble, static_cast<std::uint8_t>(kind), begins, near, far});
}

std::size_t event_merge::add_source() {
    source_times_.push_back(-std::numeric_limits<double>::infinity());
    return source_times_.size() - 1;
}

void event_merge::add(std::size_t source, const observed_event &event) {
    events_[{event.when, source, order_++}] = event;
    advance_source(source, event.when);
}

void event_merge::advance_source(std::size_t source, double when) {
    source_times_.at(source) = std::max(source_times_[source], when);
}

void event_merge::close_source(std::size_t source) {
    source_times_.at(source) = std::numeric_limits<double>::infinity();
}

void event_merge::reopen_source(std::size_t source, double when) {
    source_times_.at(source) = when;
}

void event_merge::deliver_ready() {
    const double known = *std::min_element(source_times_.begin(), source_times_.end());
    // What is of that very time may still have company.
    while (!events_.empty() && std::get<0>(events_.begin()->first) < known) {
        const auto first = events_.extract(events_.begin());
        clock_.advance(std::get<0>(first.key()), true);
        replay_event(first.mapped(), checker_);
    }
}

} // namespace harrierpass::testbed
