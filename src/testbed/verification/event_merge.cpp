// SPDX-License-Identifier: Apache-2.0
#include "testbed/verification/event_merge.hpp"

#include <algorithm>
#include <limits>

namespace harrierpass::testbed {

void replay_event(const observed_event &event, observer &target) {
    switch (event.type) {
    case observed_event::kind::request_sent:
        return target.request_sent(event.op, event.a, event.b, event.c, event.time_argument);
    case observed_event::kind::response_received:
        return target.response_received(event.op, event.a, static_cast<reply>(event.enumerator),
                                        event.flag != 0);
    case observed_event::kind::response_missing:
        return target.response_missing(event.op, event.a);
    case observed_event::kind::operation_finished:
        return target.operation_finished(event.op);
    case observed_event::kind::request_not_accepted:
        return target.request_not_accepted(event.op, event.a);
    case observed_event::kind::foreign_request_seen:
        return target.foreign_request_seen(event.op, event.a, event.b);
    case observed_event::kind::attempt_received:
        return target.attempt_received(event.op, event.a, event.b, event.time_argument);
    case observed_event::kind::attempt_ended:
        return target.attempt_ended(event.op, event.a, event.b);
    case observed_event::kind::effect_executed:
        return target.effect_executed(event.op, event.a, event.b);
    case observed_event::kind::server_overloaded:
        return target.server_overloaded(event.a);
    case observed_event::kind::server_process_died:
        return target.server_process_died(event.a);
    case observed_event::kind::endpoint_state_notified:
        return target.endpoint_state_notified(event.a, event.b,
                                              static_cast<endpoint_state>(event.enumerator));
    case observed_event::kind::proxy_restarted:
        return target.proxy_restarted(event.a, event.flag != 0);
    case observed_event::kind::proxy_paused:
        return target.proxy_paused(event.a, event.flag != 0);
    case observed_event::kind::link_fault_changed:
        return target.link_fault_changed(static_cast<link_kind>(event.enumerator), event.a, event.b,
                                         event.flag != 0);
    }
}

void event_recorder::record(observed_event event) {
    event.observed_at = now_();
    forward_(event);
}

void event_recorder::request_sent(operation op, index attempt, index proxy, index use_case, double deadline) {
    record({observed_event::kind::request_sent, 0, 0, attempt, proxy, use_case, op, deadline});
}
void event_recorder::response_received(operation op, index attempt, reply response, bool body_matches) {
    record({observed_event::kind::response_received, static_cast<std::uint8_t>(response), body_matches,
            attempt, 0, 0, op});
}
void event_recorder::response_missing(operation op, index attempt) {
    record({observed_event::kind::response_missing, 0, 0, attempt, 0, 0, op});
}
void event_recorder::operation_finished(operation op) {
    record({observed_event::kind::operation_finished, 0, 0, 0, 0, 0, op});
}
void event_recorder::request_not_accepted(operation op, index attempt) {
    record({observed_event::kind::request_not_accepted, 0, 0, attempt, 0, 0, op});
}
void event_recorder::foreign_request_seen(operation op, index attempt, index use_case) {
    record({observed_event::kind::foreign_request_seen, 0, 0, attempt, use_case, 0, op});
}
void event_recorder::attempt_received(operation op, index attempt, index server, double sent_at) {
    record({observed_event::kind::attempt_received, 0, 0, attempt, server, 0, op, sent_at});
}
void event_recorder::attempt_ended(operation op, index attempt, index server) {
    record({observed_event::kind::attempt_ended, 0, 0, attempt, server, 0, op});
}
void event_recorder::effect_executed(operation op, index attempt, index server) {
    record({observed_event::kind::effect_executed, 0, 0, attempt, server, 0, op});
}
void event_recorder::server_overloaded(index server) {
    record({observed_event::kind::server_overloaded, 0, 0, server});
}
void event_recorder::server_process_died(index server) {
    record({observed_event::kind::server_process_died, 0, 0, server});
}
void event_recorder::endpoint_state_notified(index proxy, index server, endpoint_state state) {
    record(
        {observed_event::kind::endpoint_state_notified, static_cast<std::uint8_t>(state), 0, proxy, server});
}
void event_recorder::proxy_restarted(index proxy, bool killed) {
    record({observed_event::kind::proxy_restarted, 0, killed, proxy});
}
void event_recorder::proxy_paused(index proxy, bool begins) {
    record({observed_event::kind::proxy_paused, 0, begins, proxy});
}
void event_recorder::link_fault_changed(link_kind kind, index near, index far, bool begins) {
    record({observed_event::kind::link_fault_changed, static_cast<std::uint8_t>(kind), begins, near, far});
}

std::size_t event_merge::add_source() {
    source_times_.push_back(-std::numeric_limits<double>::infinity());
    return source_times_.size() - 1;
}

void event_merge::add(std::size_t source, const observed_event &event) {
    events_[{event.observed_at, source, next_arrival_++}] = event;
    advance_source(source, event.observed_at);
}

void event_merge::advance_source(std::size_t source, double time) {
    source_times_.at(source) = std::max(source_times_[source], time);
}

void event_merge::close_source(std::size_t source) {
    source_times_.at(source) = std::numeric_limits<double>::infinity();
}

void event_merge::reopen_source(std::size_t source, double time) {
    source_times_.at(source) = time;
}

void event_merge::deliver_ready() {
    const double complete_until = *std::min_element(source_times_.begin(), source_times_.end());
    // More events at exactly this time may still arrive, so those are not delivered yet.
    while (!events_.empty() && std::get<0>(events_.begin()->first) < complete_until) {
        const auto first = events_.extract(events_.begin());
        clock_.advance(std::get<0>(first.key()), true);
        replay_event(first.mapped(), checker_);
    }
}

} // namespace harrierpass::testbed
