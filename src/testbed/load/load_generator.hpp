// SPDX-License-Identifier: Apache-2.0
// Generates the load of a run: which requests clients send, when, and how they retry. Without I/O; a link
// carries the attempts to the proxies. Open loop: arrivals do not wait for responses, and a response time
// counts from the intended start, so that a stall of the load generator or of the proxy is not hidden
// (coordinated omission). Closed loop: a number of clients that each send the next request once they have the
// response to the last one.
#pragma once

#include "testbed/model/experiment.hpp"
#include "testbed/model/histogram.hpp"
#include "testbed/model/observer.hpp"
#include "testbed/model/timeline.hpp"

#include "testbed/model/random.hpp"

#include <array>
#include <functional>
#include <unordered_map>
#include <vector>

namespace harrierpass::testbed {

// One attempt of a client, as a link carries it to a proxy.
struct client_request {
    operation op = 0;
    index attempt = 0, proxy = 0, use_case = 0, tenant = none;
    bool write = false, keyed = false;
    std::uint64_t key = 0;
    double end = 0; // when the client gives up, s on the run's clock
};

// What became of the requests of a part of the run.
struct load_counts {
    double asked = 0, served = 0; // priority weight of all, and of those served in time
    std::uint64_t queries = 0, completed = 0, late = 0, rejected = 0, aborted = 0, none = 0, retries = 0;
    histogram times; // of completed queries, s from the intended start
};

// By proxy: its share of the load, relative to the mean; empty: all are equal.
std::vector<double> proxy_load_shares(const experiment &given);

// Owned by the run; `clock`, `given` and `checker` outlive it.
class load_generator {
public:
    // `checker` is notified of each step of a request. `seed`: of arrivals, keys and retries.
    load_generator(timeline &clock, const experiment &given, observer &checker, std::uint32_t seed);

    void start(); // from the present time on, for the experiment's length
    // Client faults begin or end: no attempts are sent; the rate of all, or of one tenant, is `factor` times.
    void pause(bool begins);
    void burst(double factor, bool begins) { burst_ *= begins ? factor : 1 / factor; }
    void flood(index tenant, double factor, bool begins) { floods_[tenant] *= begins ? factor : 1 / factor; }

    // Set by the link. Whether a proxy is known to be there (else another one is tried); sends an attempt.
    std::function<bool(index proxy)> is_reachable;
    std::function<void(const client_request &)> send;
    std::function<void(const client_request &)> abandon; // the client gives the attempt up

    // A request is over: the proxy of its last attempt, the priority weight that was served and that of the
    // request.
    std::function<void(index proxy, double served, double asked)> on_settled;

    // Called by the link when an attempt is over. `cut`: its connection ended before a whole response.
    // `retry_after`: s, 0 without. `body_fits`: the body belongs to this request.
    void answered(operation op, index attempt, reply how, double retry_after, bool body_fits);

    // Whether the load has ended; and whether no request is open any more, either.
    bool idle() const { return open_.empty() && over_; }
    bool over() const { return over_; }
    std::size_t open() const { return open_.size(); }
    std::uint64_t operations() const { return next_; }

    // Results: by time slot of the run, tenant and request class; in all.
    const std::vector<load_counts> &slots() const { return slots_; }
    const std::vector<load_counts> &tenants() const { return by_tenant_; } // by tenant; empty without tenants
    const std::vector<load_counts> &use_cases() const { return by_use_; }
    double slot_length() const { return slot_length_; }   // s
    double began() const { return began_; }               // s on the run's clock
    const load_counts &total() const { return settled_; } // of what counts: after the settling time
    // Cumulative weights of the keys, by rank; the key that has a rank now.
    const std::vector<double> &popular() const { return popularity_; }
    std::uint64_t key_of_rank(index rank) const;

    // By how much attempts were sent later than they were due, s.
    const histogram &lateness() const { return lateness_; }

private:
    // A request that is not over; `now` is its present attempt.
    struct open_operation {
        client_request now;
        double intended = 0;        // start, s
        double first_sent = 0;      // s, of its first attempt
        bool awaits_retry = false;  // between two attempts
        index closed_client = none; // the closed-loop client that it belongs to
    };
    void arrive();
    void next_arrival();
    double rate() const;
    void begin(double intended, index closed_client);
    void send_attempt(operation op, double due);
    void schedule_retry(operation op, double wait);
    void finish(operation op, reply how);
    void count(const open_operation &of, reply how);

    timeline &clock_;
    const experiment &experiment_;
    observer &checker_;
    random_generator random_, retries_;
    // Cumulative weights: of keys by rank, of request classes, of proxies (empty: all are equal).
    std::vector<double> popularity_, class_shares_, proxy_shares_;
    std::vector<double> floods_;
    double began_ = 0, next_due_ = 0, burst_ = 1, slot_length_ = 1;
    bool over_ = false;
    index pauses_ = 0;
    std::vector<std::pair<operation, double>> delayed_attempts_; // by due time, while paused
    operation next_ = 0;
    std::unordered_map<operation, open_operation> open_; // never iterated
    std::vector<load_counts> slots_, by_tenant_, by_use_;
    load_counts settled_;
    histogram lateness_;
};

} // namespace harrierpass::testbed
