// SPDX-License-Identifier: Apache-2.0
// The events in the life of a request, from its arrival to its final answer. request_lifecycle.cpp has the
// table of transitions and their handlers, which are members of the coordinator.
#pragma once

#include <cstdint>

namespace harrierpass {

/// What happened to a request. A handler returns the event that follows from what it did, if there is one.
enum class request_event : std::uint8_t {
    nothing,            ///< No event follows.
    received,           ///< It has arrived.
    dispatch,           ///< An endpoint should be selected.
    attempt_started,    ///< An attempt was started.
    no_capacity,        ///< It has to wait.
    not_servable,       ///< There is no endpoint or no attempt left for it.
    cache_miss,         ///< The cache does not have the key and does not fetch it.
    not_executed,       ///< The attempt is known not to have been executed.
    possibly_executed,  ///< The attempt ended without a usable response.
    endpoint_ejected,   ///< The endpoint of its attempt was ejected after a silence.
    response_finished,  ///< The client has its final answer, or a late attempt ended.
    deadline_expired,   ///< The request has waited, or taken, too long.
    client_disconnected ///< The client needs no response any more.
};

} // namespace harrierpass
