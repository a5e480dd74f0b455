// SPDX-License-Identifier: Apache-2.0
// Who of the tenants may have another query taken now, without I/O: rates and work by token buckets, queries
// in flight, connections, and the room that all share. One proxy of several sees a part of the traffic and
// holds that part of each limit. A refusal names the limit and says when to come back, from its real state.
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

enum class limit : std::uint8_t { none, unknown, state, body, rate, work, in_flight, room, total };
const char *name_of(limit which); // as refusals and counters have it

struct request_result {
    limit by = limit::none; // none: taken
    double come_back = 0;   // s; 0 where it is not a matter of time
};

// What a tenant did here, since it came.
struct usage {
    std::uint64_t taken = 0;
    std::array<std::uint64_t, static_cast<std::size_t>(limit::total)> refused{};
    index in_flight = 0, connections = 0;
    double work = 0; // s
};

class limiter {
public:
    // `room`: queries that all tenants together may have in flight here. `proxies`: that share each limit.
    limiter(double room, index proxies);

    // Another version: buckets go on by incarnation, what is new begins full, and what was open stays
    // counted.
    void adopt(const tenant_set &set, double now);

    request_result enter(std::uint64_t incarnation, std::uint64_t body, double now);
    // A query that was taken has its answer; `work`: s of servers' time that it cost.
    void leave(std::uint64_t incarnation, double work, double now);

    // A caller's connection, once it is known whose it is. False: it has too many.
    bool connect(std::uint64_t incarnation);
    void disconnect(std::uint64_t incarnation);

    // Whether nothing of it is open: a draining tenant may be purged then.
    bool quiet(std::uint64_t incarnation) const;
    usage used(std::uint64_t incarnation) const;
    index in_flight() const { return in_flight_; }
    std::size_t records() const { return accounts_.size(); }

private:
    struct bucket {
        double rate = 0, most = 0; // a second; at once; a rate of 0: no limit
        double level = 0, at = 0;
        void fill(double now);
        double wait(double need) const; // s until so much is there
    };
    struct account {
        state is = state::staged;
        bool listed = false; // in the present version
        share given;
        bucket queries, work;
        double mean_time = 0.1; // s that its queries are open
        usage used;
    };
    // What each check looks at. The first that refuses is told.
    struct asking {
        account &of;
        std::uint64_t body;
        double now;
    };
    struct row {
        limit which;
        double (limiter::*wait)(
            const asking &) const; // s until it would pass; 0: it passes; < 0: time changes nothing
    };
    static const std::array<row, 6> checks;
    double wait_state(const asking &) const;
    double wait_body(const asking &) const;
    double wait_rate(const asking &) const;
    double wait_work(const asking &) const;
    double wait_in_flight(const asking &) const;
    double wait_room(const asking &) const;

    void move(account &of, int by); // its queries in flight
    const double room_;
    const double proxies_;
    std::unordered_map<std::uint64_t, account> accounts_; // by incarnation; nothing depends on its order
    double weights_ = 0;                                  // of those with anything in flight ...
    index busy_ = 0;                                      // ... and how many these are
    index in_flight_ = 0;
};

} // namespace harrierpass::tenants
