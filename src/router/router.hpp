// SPDX-License-Identifier: Apache-2.0
// The routing interface. A caller creates one router per proxy with make_router(), reports every event with
// the current time of its own clock in seconds, and after each call executes `actions` in order and clears
// them. The router does no I/O and has no clock.
//
// Contract of the caller:
//  - A request index may be reused after release_request. An endpoint index may be reused for another id once
//    the endpoint was reported as removed and no request in progress has an attempt there.
//  - Events refer only to requests that are not released and to endpoints that were listed.
//  - Attempts of a request are numbered from 0 in the order of their start_attempt actions.
//  - After set_timer, the caller calls on_timer() at the time of the action.
#pragma once

#include "router/types.hpp"

#include <limits>
#include <memory>
#include <span>

namespace harrierpass {

/// Routes requests to endpoints. Implementations are deterministic: equal seeds, settings and events give
/// equal actions.
class router {
public:
    /// Destroys the router without emitting further actions.
    virtual ~router() = default;
    /// The endpoint list changed, or a poll of it failed.
    virtual void on_endpoints_updated(double now, endpoint_update_kind kind,
                                      std::span<const endpoint_info> entries) = 0;
    /// A request arrived.
    virtual void on_request(double now, const request_info &request) = 0;
    /// An attempt ended. `response_complete`: the request has its final response, from this attempt or an
    /// earlier one. `origin_fetched`: the endpoint had to fetch the response from the origin.
    virtual void on_attempt_finished(double now, request_index request, attempt_number attempt,
                                     outcome result, bool response_complete, bool origin_fetched,
                                     const load_report &report = {}) = 0;
    /// The response has started and is being relayed to the client. From now on the client's speed determines
    /// the duration, so the rest of the attempt does not count as response time of the endpoint.
    virtual void on_response_started(double now, request_index request, bool origin_fetched = false) = 0;
    /// The endpoint has begun its response and pauses. The attempt no longer counts towards the silence of
    /// the endpoint.
    virtual void on_response_paused(double /*now*/, request_index /*request*/) {}
    /// The body of a request with `streams_body` was sent completely: the response time of its attempt starts
    /// now, and `deadline` replaces the request's deadline.
    virtual void on_request_body_sent(double /*now*/, request_index /*request*/, double /*deadline*/) {}
    /// The client disconnected and no longer needs a response.
    virtual void on_client_disconnected(double now, request_index request) = 0;
    /// Time in seconds until which the latest attempt, if not yet written, may be written to its last byte; 0
    /// if it must not be written any more. A caller that has to connect first checks this before it writes,
    /// as the routing decision may be outdated by then.
    virtual double attempt_write_deadline(request_index /*request*/) const {
        return std::numeric_limits<double>::infinity();
    }
    /// The request would be retried at another endpoint if its latest attempt, which is open, ended now
    /// without a usable response.
    virtual bool may_retry(double /*now*/, request_index /*request*/) const { return true; }
    /// A health check finished; `responded`: the endpoint sent a response.
    virtual void on_health_check_finished(double now, endpoint_index endpoint, bool responded,
                                          const load_report &report = {}) = 0;
    /// A timer fired.
    virtual void on_timer(double now) = 0;
    /// Applies new settings. Requests in progress keep their class settings and their deadline. The next call
    /// must be on_endpoints_updated() with a snapshot whose indices refer to the new settings. Routers that
    /// serve only as a baseline for comparison may ignore new settings.
    virtual void update_settings(double /*now*/, const router_settings & /*settings*/) {}

    /// The endpoint is ejected and receives no requests.
    virtual bool avoids_endpoint(endpoint_index /*endpoint*/) const { return false; }
    /// The endpoint is ejected, even if mass ejection suspends the effect of ejections.
    virtual bool is_ejected(endpoint_index /*endpoint*/) const { return false; }
    /// The subset of endpoints that this proxy prefers.
    virtual subset_view subset() const { return {}; }

    /// Actions that the calls since the last clear() produced, in order; the caller clears them.
    std::vector<action> actions;
};

/// Creates the router of one proxy. `seed` determines all of its random draws; `now` is in seconds.
std::unique_ptr<router> make_router(const router_settings &settings, std::uint32_t seed, double now);

/// Position on the hash ring of the text of a virtual node or a key (XXH64 with seed 0).
std::uint64_t ring_hash(std::string_view text);

} // namespace harrierpass
