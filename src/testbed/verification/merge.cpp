// SPDX-License-Identifier: Apache-2.0
#include "testbed/verification/merge.hpp"

#include <algorithm>
#include <limits>

namespace harrierpass::testbed {

void play(const seen &event, observer &to) {
    switch (event.is) {
    case seen::kind::asked:
        return to.request_sent(event.op, event.a, event.b, event.c, event.x);
    case seen::kind::answered:
        return to.response_received(event.op, event.a, static_cast<reply>(event.small), event.flag != 0);
    case seen::kind::unanswered:
        return to.response_missing(event.op, event.a);
    case seen::kind::settled:
        return to.operation_finished(event.op);
    case seen::kind::untaken:
        return to.request_not_accepted(event.op, event.a);
    case seen::kind::meet:
        return to.foreign_request_seen(event.op, event.a, event.b);
    case seen::kind::received:
        return to.attempt_received(event.op, event.a, event.b, event.x);
    case seen::kind::over:
        return to.attempt_ended(event.op, event.a, event.b);
    case seen::kind::ran:
        return to.effect_executed(event.op, event.a, event.b);
    case seen::kind::fell:
        return to.server_overloaded(event.a);
    case seen::kind::died:
        return to.server_process_died(event.a);
    case seen::kind::told:
        return to.endpoint_state_notified(event.a, event.b, static_cast<endpoint_state>(event.small));
    case seen::kind::restarted:
        return to.proxy_restarted(event.a, event.flag != 0);
    case seen::kind::paused:
        return to.proxy_paused(event.a, event.flag != 0);
    case seen::kind::link_trouble:
        return to.link_fault_changed(static_cast<link_kind>(event.small), event.a, event.b, event.flag != 0);
    }
}

void writer::note(seen what) {
    what.when = now_();
    to_(what);
}

void writer::request_sent(operation op, index attempt, index proxy, index use_case, double end) {
    note({seen::kind::asked, 0, 0, attempt, proxy, use_case, op, end});
}
void writer::response_received(operation op, index attempt, reply how, bool body_fits) {
    note({seen::kind::answered, static_cast<std::uint8_t>(how), body_fits, attempt, 0, 0, op});
}
void writer::response_missing(operation op, index attempt) {
    note({seen::kind::unanswered, 0, 0, attempt, 0, 0, op});
}
void writer::operation_finished(operation op) {
    note({seen::kind::settled, 0, 0, 0, 0, 0, op});
}
void writer::request_not_accepted(operation op, index attempt) {
    note({seen::kind::untaken, 0, 0, attempt, 0, 0, op});
}
void writer::foreign_request_seen(operation op, index attempt, index use_case) {
    note({seen::kind::meet, 0, 0, attempt, use_case, 0, op});
}
void writer::attempt_received(operation op, index attempt, index server, double sent) {
    note({seen::kind::received, 0, 0, attempt, server, 0, op, sent});
}
void writer::attempt_ended(operation op, index attempt, index server) {
    note({seen::kind::over, 0, 0, attempt, server, 0, op});
}
void writer::effect_executed(operation op, index attempt, index server) {
    note({seen::kind::ran, 0, 0, attempt, server, 0, op});
}
void writer::server_overloaded(index server) {
    note({seen::kind::fell, 0, 0, server});
}
void writer::server_process_died(index server) {
    note({seen::kind::died, 0, 0, server});
}
void writer::endpoint_state_notified(index proxy, index server, endpoint_state as) {
    note({seen::kind::told, static_cast<std::uint8_t>(as), 0, proxy, server});
}
void writer::proxy_restarted(index proxy, bool killed) {
    note({seen::kind::restarted, 0, killed, proxy});
}
void writer::proxy_paused(index proxy, bool begins) {
    note({seen::kind::paused, 0, begins, proxy});
}
void writer::link_fault_changed(link_kind kind, index near, index far, bool begins) {
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
