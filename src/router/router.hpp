// SPDX-License-Identifier: Apache-2.0
// The interface of the decision module; the head of router.cpp tells how to call it.
#pragma once

#include "router/types.hpp"

#include <limits>
#include <memory>
#include <span>

namespace harrierpass {

class router {
public:
    virtual ~router() = default;
    virtual void on_endpoints_updated(double now, endpoint_update_kind kind,
                                      std::span<const endpoint_info> entries) = 0;
    virtual void on_request(double now, const request_info &from) = 0;
    // `over`: the query has its final answer, by this outcome or before it. `fetched`: the server had to ask
    // the origin first.
    virtual void on_attempt_finished(double now, index qry, index execution, outcome result, bool over,
                                     bool fetched, const load_report &told = {}) = 0;
    // Its answer has started and is the client's now; how fast it goes on is no matter of its server's.
    virtual void on_response_started(double now, index qry, bool fetched = false) = 0;
    // A query that arrived as `uploading` is written whole: it begins now, and so does its client's time.
    virtual void on_request_body_sent(double, index, double /*statement_end*/) {}
    virtual void on_client_disconnected(double now, index qry) = 0; // the client went; nothing more is owed
    // Of a query whose latest execution is not written yet: until when (s) it may be, to its last byte; 0:
    // not any more. A front that dials asks at the write, as the decision is old by then.
    virtual double attempt_write_deadline(index) const { return std::numeric_limits<double>::infinity(); }
    virtual void on_health_check_finished(double now, index server, bool answered,
                                          const load_report &told = {}) = 0;
    virtual void on_timer(double now) = 0;
    // Other settings hold from now on, also for the queries in hand, which keep their use case and end. The
    // whole list, read by them, follows in the next call. What only compares itself with the router need not
    // follow.
    virtual void update_settings(double, const router_settings &) {}

    virtual bool avoids_endpoint(index) const {
        return false;
    } // takes no queries to this server, on suspicion

    virtual bool is_ejected(index) const { return false; } // suspicion alone, whether it is trusted or not
    virtual subset_view subset() const { return {}; }

    std::vector<action> actions; // what the last calls decided, in order; the caller empties it
};

std::unique_ptr<router> make_router(const router_settings &given, std::uint32_t seed, double now);

// Position on the ring of a point or a key, given as text.
std::uint64_t ring_hash(std::string_view text);

} // namespace harrierpass
