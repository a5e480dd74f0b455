// SPDX-License-Identifier: Apache-2.0
// The events of the request state machine, from the arrival of a request to its final response.
// request_lifecycle.cpp has the transition table and the handlers, which are members of request_router.
#pragma once

#include <cstdint>

namespace harrierpass {

/// Events of a request. A handler returns the event that its work caused, or no_event.
enum class request_event : std::uint8_t {
    no_event,           ///< Ends the processing of the previous event.
    received,           ///< The request has arrived.
    dispatch,           ///< The request is to be sent to an endpoint.
    attempt_started,    ///< An attempt has started.
    no_capacity,        ///< No endpoint has capacity; the request is to be queued.
    not_servable,       ///< No endpoint may receive the request, or no attempt is left.
    cache_miss,         ///< The cache neither has the key nor fetches it.
    not_executed,       ///< The attempt has ended and is known not to have been executed.
    possibly_executed,  ///< The attempt has ended without a usable response.
    endpoint_ejected,   ///< The endpoint of the attempt was ejected after a silence.
    response_finished,  ///< The client has its final response, or a late attempt has ended.
    deadline_expired,   ///< The queue deadline or the deadline has passed.
    client_disconnected ///< The client no longer needs a response.
};

} // namespace harrierpass
