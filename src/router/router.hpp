// SPDX-License-Identifier: Apache-2.0
// The routing interface. A caller creates one router per proxy with make_router(), reports every event with
// its own clock in seconds, and after each call carries out `actions` in order and empties them. The router
// does no I/O and has no clock.
//
// Contract of the caller:
//  - A request index is free again after release_request. An endpoint index is free for another id once the
//    endpoint was reported as removed and no request in progress was sent there.
//  - Only requests that are not released and endpoints that were listed are named in events.
//  - Attempts of a request are numbered from 0 in the order of their start_attempt actions.
//  - After set_timer, on_timer() is called at the time it names.
#pragma once

#include "router/types.hpp"

#include <limits>
#include <memory>
#include <span>

namespace harrierpass {

/// Decides where requests go. Implementations are deterministic: equal seeds, settings and events give equal
/// actions.
class router {
public:
    virtual ~router() = default;
    /// The endpoint list changed, or a poll of it failed.
    virtual void on_endpoints_updated(double now, endpoint_update_kind kind,
                                      std::span<const endpoint_info> entries) = 0;
    /// A request arrived.
    virtual void on_request(double now, const request_info &request) = 0;
    /// An attempt ended. `over`: the request has its final response, from this attempt or an earlier one.
    /// `fetched`: the endpoint had to fetch the response from the origin.
    virtual void on_attempt_finished(double now, request_index request, attempt_number attempt,
                                     outcome result, bool over, bool fetched,
                                     const load_report &report = {}) = 0;
    /// The response has started and is being relayed to the client, whose pace says nothing of the endpoint.
    virtual void on_response_started(double now, request_index request, bool fetched = false) = 0;
    /// The body of a request with `streams_body` was sent completely: its attempt and its deadline start now.
    virtual void on_request_body_sent(double /*now*/, request_index /*request*/, double /*deadline*/) {}
    /// The client disconnected; it needs no response any more.
    virtual void on_client_disconnected(double now, request_index request) = 0;
    /// Time (s) until which the latest attempt, not written yet, may be written to its last byte; 0: not any
    /// more. A caller that has to connect first asks before it writes, as the decision may be outdated.
    virtual double attempt_write_deadline(request_index /*request*/) const {
        return std::numeric_limits<double>::infinity();
    }
    /// A health check finished; `answered`: the endpoint responded.
    virtual void on_health_check_finished(double now, endpoint_index endpoint, bool answered,
                                          const load_report &report = {}) = 0;
    /// A timer fired.
    virtual void on_timer(double now) = 0;
    /// New settings hold from now on. Requests in progress keep their class and their deadline. The next call
    /// has to be on_endpoints_updated() with a snapshot in terms of the new settings. Routers that serve only
    /// as a baseline for comparison may ignore it.
    virtual void update_settings(double /*now*/, const router_settings & /*settings*/) {}

    /// The endpoint gets no requests because it is ejected.
    virtual bool avoids_endpoint(endpoint_index /*endpoint*/) const { return false; }
    /// The endpoint is ejected, whether or not mass ejection overrides that.
    virtual bool is_ejected(endpoint_index /*endpoint*/) const { return false; }
    /// The subset of endpoints in use.
    virtual subset_view subset() const { return {}; }

    /// Decisions of the calls since it was last emptied, in order; the caller empties it.
    std::vector<action> actions;
};

/// Creates the router of one proxy. `seed` determines all its random draws.
std::unique_ptr<router> make_router(const router_settings &settings, std::uint32_t seed, double now);

/// Position on the hash ring of a virtual node or a key, given as text (XXH64 with seed 0).
std::uint64_t ring_hash(std::string_view text);

} // namespace harrierpass
