// SPDX-License-Identifier: Apache-2.0
// Interface for the events of a run: each event that a client, a server, the list or a link sees is reported
// once, when it happens. In a run of one process the rule checker is the observer. In a run of several
// processes a recorder stores the events with their times, and the rule checker receives them in the order of
// these times (verification/event_merge.hpp). Times are seconds of the reporting process's clock.
#pragma once

#include "testbed/model/experiment.hpp"

#include <cstdint>

namespace harrierpass::testbed {

// Number of a client's operation; each of its attempts is a request with an id of its own.
using operation = std::uint64_t;

// How a client's attempt ended.
enum class reply : std::uint8_t { completed, rejected, aborted, cut, none };

// Receives the events of a run.
class observer {
public:
    virtual ~observer() = default;

    // Events of clients.
    virtual void request_sent(operation op, index attempt, index proxy, index use_case, double deadline) = 0;
    virtual void response_received(operation op, index attempt, reply outcome, bool body_fits) = 0;
    // The deadline passed, or the connection ended, without a response.
    virtual void response_missing(operation op, index attempt) = 0;
    virtual void operation_finished(operation op) = 0; // no further attempt
    // The proxy never received the request, as when there was no connection; no response is due.
    virtual void request_not_accepted(operation op, index attempt) = 0;

    // Events of servers. `send_time`: when the proxy sent the attempt, seconds.
    // A request of a client outside the run; see rule_checker::allow_unknown_requests.
    virtual void foreign_request_seen(operation op, index attempt, index use_case) = 0;
    virtual void attempt_received(operation op, index attempt, index server, double send_time) = 0;
    // Ended by a response, or by the end of its connection.
    virtual void attempt_ended(operation op, index attempt, index server) = 0;
    virtual void effect_executed(operation op, index attempt, index server) = 0;
    virtual void server_overloaded(index server) = 0;   // while warming up; the server fails
    virtual void server_process_died(index server) = 0; // its attempts in flight have ended

    // Events of the list, the proxies and the links.
    virtual void endpoint_state_notified(index proxy, index server, endpoint_state state) = 0;
    // A new process replaces the proxy's, without the endpoint states it was notified of. If `killed`,
    // clients have to retry the requests it had in flight.
    virtual void proxy_restarted(index proxy, bool killed) = 0;
    // A fault suspends the proxy, so that it cannot respond in time.
    virtual void proxy_paused(index proxy, bool begins) = 0;
    // A fault of a link begins or ends. While it lasts and shortly after, rules do not apply to requests that
    // the link holds or for events that one of its ends could not see.
    virtual void link_fault_changed(link_kind kind, index near, index far, bool begins) = 0;
};

} // namespace harrierpass::testbed
