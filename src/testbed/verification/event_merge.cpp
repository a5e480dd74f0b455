// SPDX-License-Identifier: Apache-2.0
#include "testbed/verification/event_merge.hpp"

#include <algorithm>
#include <limits>

namespace harrierpass::testbed {

void replay_event(const observed_event &event, observer &to) {
    switch (event.is) {
    case observed_event::kind::request_sent:
        return to.request_sent(event.op, event.a, event.b, event.c, event.x);
    case observed_event::kind::response_received:
        return to.response_received(event.op, event.a, static_cast<reply>(event.small), event.flag != 0);
    case observed_event::kind::response_missing:
        return to.response_missing(event.op, event.a);
    case observed_event::kind::operation_finished:
        return to.operation_finished(event.op);
    case observed_event::kind::request_not_accepted:
        return to.request_not_accepted(event.op, event.a);
    case observed_event::kind::foreign_request_seen:
        return to.foreign_request_seen(event.op, event.a, event.b);
    case observed_event::kind::attempt_received:
        return to.attempt_received(event.op, event.a, event.b, event.x);
    case observed_event::kind::attempt_ended:
        return to.attempt_ended(event.op, event.a, event.b);
    case observed_event::kind::effect_executed:
        return to.effect_executed(event.op, event.a, event.b);
    case observed_event::kind::server_overloaded:
        return to.server_overloaded(event.a);
    case observed_event::kind::server_process_died:
        return to.server_process_died(event.a);
    case observed_event::kind::endpoint_state_notified:
        return to.endpoint_state_notified(event.a, event.b, static_cast<endpoint_state>(event.small));
    case observed_event::kind::proxy_restarted:
        return to.proxy_restarted(event.a, event.flag != 0);
    case observed_event::kind::proxy_paused:
        return to.proxy_paused(event.a, event.flag != 0);
    case observed_event::kind::link_fault_changed:
        return to.link_fault_changed(static_cast<link_kind>(event.small), event.a, event.b, event.flag != 0);
    }
}

void event_recorder::note(observed_event what) {
    what.when = now_();
    to_(what);
}

void event_recorder::request_sent(operation op, index attempt, index proxy, index use_case, double end) {
    note({observed_event::kind::request_sent, 0, 0, attempt, proxy, use_case, op, end});
}
void event_recorder::response_received(operation op, index attempt, reply how, bool body_fits) {
    note({observed_event::kind::response_received, static_cast<std::uint8_t>(how), body_fits, attempt, 0, 0,
          op});
}
void event_recorder::response_missing(operation op, index attempt) {
    note({observed_event::kind::response_missing, 0, 0, attempt, 0, 0, op});
}
void event_recorder::operation_finished(operation op) {
    note({observed_event::kind::operation_finished, 0, 0, 0, 0, 0, op});
}
void event_recorder::request_not_accepted(operation op, index attempt) {
    note({observed_event::kind::request_not_accepted, 0, 0, attempt, 0, 0, op});
}
void event_recorder::foreign_request_seen(operation op, index attempt, index use_case) {
    note({observed_event::kind::foreign_request_seen, 0, 0, attempt, use_case, 0, op});
}
void event_recorder::attempt_received(operation op, index attempt, index server, double sent) {
    note({observed_event::kind::attempt_received, 0, 0, attempt, server, 0, op, sent});
}
void event_recorder::attempt_ended(operation op, index attempt, index server) {
    note({observed_event::kind::attempt_ended, 0, 0, attempt, server, 0, op});
}
void event_recorder::effect_executed(operation op, index attempt, index server) {
    note({observed_event::kind::effect_executed, 0, 0, attempt, server, 0, op});
}
void event_recorder::server_overloaded(index server) {
    note({observed_event::kind::server_overloaded, 0, 0, server});
}
void event_recorder::server_process_died(index server) {
    note({observed_event::kind::server_process_died, 0, 0, server});
}
void event_recorder::endpoint_state_notified(index proxy, index server, endpoint_state as) {
    note({observed_event::kind::endpoint_state_notified, static_cast<std::uint8_t>(as), 0, proxy, server});
}
void event_recorder::proxy_restarted(index proxy, bool killed) {
    note({observed_event::kind::proxy_restarted, 0, killed, proxy});
}
void event_recorder::proxy_paused(index proxy, bool begins) {
    note({observed_event::kind::proxy_paused, 0, begins, proxy});
}
void event_recorder::link_fault_changed(link_kind kind, index near, index far, bool begins) {
    note({observed_event::kind::link_fault_changed, static_cast<std::uint8_t>(kind), begins, near, far});
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
