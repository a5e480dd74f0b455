// SPDX-License-Identifier: Apache-2.0
// Who of the tenants may have another query taken now, without I/O: rates and work by token buckets, queries
// in flight, connections, and the capacity that all share. One proxy of several sees a part of the traffic
// and holds that part of each limit. A refusal names the limit and says when to come back, from its real
// state.
//
// The room is shared by dynamic thresholds (Choudhury and Hahne, "Dynamic Queue Length Thresholds for Shared-
// Memory Packet Switches", 1998): a tenant may have as much in flight as its weight, against the mean of
// those with anything in flight, times twice what is free. One that floods alone so takes two thirds of what
// the others leave and always leaves the rest; n that flood take equal parts by weight; and nothing is set
// aside for the idle.
#pragma once

#include "tenants/model.hpp"

#include <array>

namespace harrierpass::tenants {

// What refuses a request, or nothing does. `total` counts them. Refusals and counters name `capacity` "room".
enum class limit : std::uint8_t { none, unknown, state, body, rate, work, in_flight, capacity, total };
// The name that refusals and counters have.
const char *name_of(limit which);

// Whether a request was admitted, and if not, when it may be retried.
struct request_result {
    limit by = limit::none; // none: taken
    double retry_after = 0; // s; 0 where it is not a matter of time
};

// What a tenant did here, since it came.
struct usage {
    std::uint64_t accepted = 0;
    std::array<std::uint64_t, static_cast<std::size_t>(limit::total)> refused{};
    index in_flight = 0, connections = 0;
    double work = 0; // s
};

// Holds all limits of all tenants at one proxy. Not thread-safe: the caller serializes. Times are seconds; a
// clock that jumps back adds nothing. Invariant: `in_flight()` is the sum of what the accounts have in
// flight.
class limiter {
public:
    // `capacity`: queries that all tenants together may have in flight here. `proxies`: that share each
    // limit.
    limiter(double capacity, index proxies);

    // Another version: buckets go on by incarnation, what is new begins full, and what was open stays
    // counted.
    void apply(const tenant_set &set, double now);

    // Admits one request of `body` bytes, which finish() has to end; or names the first limit that refuses
    // it.
    request_result admit(std::uint64_t incarnation, std::uint64_t body, double now);
    // A query that was taken has its answer; `work`: s of servers' time that it cost.
    void finish(std::uint64_t incarnation, double work, double now);

    // A caller's connection, once it is known whose it is. False: it has too many.
    bool connect(std::uint64_t incarnation);
    // Ends a connection that connect() accepted.
    void disconnect(std::uint64_t incarnation);

    // Whether nothing of it is open: a draining tenant may be purged then.
    bool is_idle(std::uint64_t incarnation) const;
    // What the tenant did here so far; empty for one that is not known.
    usage usage_of(std::uint64_t incarnation) const;
    // Requests of all tenants that are in flight.
    index in_flight() const { return in_flight_; }
    // Tenants that are listed, or were and have something open.
    std::size_t account_count() const { return accounts_.size(); }

private:
    // A token bucket.
    struct bucket {
        double rate = 0, burst = 0; // a second; at once; a rate of 0: no limit
        double level = 0, at = 0;
        // Adds what has come since the last time.
        void fill(double now);
        double wait(double need) const; // s until so much is there
    };
    // One tenant at this proxy.
    struct account {
        state is = state::staged;
        bool listed = false; // in the present version
        share limits;
        bucket requests, work;
        double mean_time = 0.1; // s that its queries are open
        usage used;
    };
    // What each check looks at. The first that refuses is told.
    struct admission_request {
        account &of;
        std::uint64_t body;
        double now;
    };
    // One limit and its check.
    struct row {
        limit which;
        double (limiter::*wait)(const admission_request &)
            const; // s until it would pass; 0: it passes; < 0: time changes nothing
    };
    static const std::array<row, 6> checks;
    // The checks; each returns what row::wait says.
    double wait_state(const admission_request &) const;
    double wait_body(const admission_request &) const;
    double wait_rate(const admission_request &) const;
    double wait_work(const admission_request &) const;
    double wait_in_flight(const admission_request &) const;
    double wait_capacity(const admission_request &) const;

    void change_in_flight(account &of, int by); // its queries in flight
    const double capacity_;
    const double proxies_;
    std::unordered_map<std::uint64_t, account> accounts_; // by incarnation; nothing depends on its order
    double weights_ = 0;                                  // of those with anything in flight ...
    index busy_ = 0;                                      // ... and how many these are
    index in_flight_ = 0;
};

} // namespace harrierpass::tenants
