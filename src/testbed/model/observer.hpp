// SPDX-License-Identifier: Apache-2.0
// What the modelled world tells of itself: each thing that a client, a server, the list or a link sees, once,
// as it happens. The rule_checker hears it directly where all lives in one process; where parts of the world
// are processes of their own, a writer takes it down with its time and the rule_checker hears it in the order
// of these times (judge/merge.hpp). Times are the speaker's clock, s.
#pragma once

#include "testbed/model/experiment.hpp"

#include <cstdint>

namespace harrierpass::testbed {

// What a client wants once; each of its tries is a query with an id of its own.
using operation = std::uint64_t;

// How a client's try ended.
enum class reply : std::uint8_t { completed, rejected, aborted, cut, none };

// Receives the events of a run.
class observer {
public:
    virtual ~observer() = default;

    // The clients.
    virtual void request_sent(operation op, index attempt, index proxy, index use_case, double end) = 0;
    virtual void response_received(operation op, index attempt, reply how, bool body_fits) = 0;
    // Its end has come, or its connection ended, without an answer.
    virtual void response_missing(operation op, index attempt) = 0;
    virtual void operation_finished(operation op) = 0; // no further try
    // Its proxy never had it, as for want of a connection: nothing is owed.
    virtual void request_not_accepted(operation op, index attempt) = 0;

    // The servers. `sent`: when, s.
    virtual void foreign_request_seen(operation op, index attempt,
                                      index use_case) = 0; // where allow_unknown_requests' queries may come
    virtual void attempt_received(operation op, index attempt, index server, double sent) = 0;
    virtual void attempt_ended(operation op, index attempt,
                               index server) = 0; // answered, or its connection ended
    virtual void effect_executed(operation op, index attempt, index server) = 0; // its effect took place
    virtual void server_overloaded(index server) = 0;                            // cold, and pushed over
    virtual void server_process_died(index server) = 0; // its process was killed: what was out there is over

    // The list and the proxies.
    virtual void endpoint_state_notified(index proxy, index server, endpoint_state as) = 0;
    // It ended, and its successor has heard of nothing. Killed: what it held is its clients' to try again.
    virtual void proxy_restarted(index proxy, bool killed) = 0;
    // It stands still by a fault: it cannot answer in time.
    virtual void proxy_paused(index proxy, bool begins) = 0;
    // A link between two ends is in trouble by a fault: what it held, and what an end could not see, is
    // nobody's fault while that lasts and shortly after.
    virtual void link_fault_changed(link_kind kind, index near, index far, bool begins) = 0;
};

} // namespace harrierpass::testbed
