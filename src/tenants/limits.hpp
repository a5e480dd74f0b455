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

enum class limit : std::uint8_t { none, unknown, state, body, rate, work, in_flight, capacity, total };
const char *name_of(limit which); // as refusals and counters have it

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

class limiter {
public:
    // `capacity`: queries that all tenants together may have in flight here. `proxies`: that share each
    // limit.
    limiter(double capacity, index proxies);

    // Another version: buckets go on by incarnation, what is new begins full, and what was open stays
    // counted.
    void apply(const tenant_set &set, double now);

    request_result admit(std::uint64_t incarnation, std::uint64_t body, double now);
    // A query that was taken has its answer; `work`: s of servers' time that it cost.
    void finish(std::uint64_t incarnation, double work, double now);

    // A caller's connection, once it is known whose it is. False: it has too many.
    bool connect(std::uint64_t incarnation);
    void disconnect(std::uint64_t incarnation);

    // Whether nothing of it is open: a draining tenant may be purged then.
    bool is_idle(std::uint64_t incarnation) const;
    usage usage_of(std::uint64_t incarnation) const;
    index in_flight() const { return in_flight_; }
    std::size_t account_count() const { return accounts_.size(); }

private:
    struct bucket {
        double rate = 0, burst = 0; // a second; at once; a rate of 0: no limit
        double level = 0, at = 0;
        void fill(double now);
        double wait(double need) const; // s until so much is there
    };
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
    struct row {
        limit which;
        double (limiter::*wait)(const admission_request &)
            const; // s until it would pass; 0: it passes; < 0: time changes nothing
    };
    static const std::array<row, 6> checks;
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
