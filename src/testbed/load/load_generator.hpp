// SPDX-License-Identifier: Apache-2.0
// The clients: what they ask, when, and what they do with an answer. Without I/O; a link carries the tries to
// the proxies. Open loop: arrivals do not wait for answers, and an answer's time counts from when its client
// meant to ask, so that a stall of the load generator or of the proxy is not hidden (coordinated omission).
// Closed loop: a number of clients that ask again once they have their answer.
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

// One try on its way to a proxy.
struct client_request {
    operation op = 0;
    index attempt = 0, proxy = 0, use_case = 0, tenant = none;
    bool write = false, keyed = false;
    std::uint64_t key = 0;
    double end = 0; // when the client gives up
};

// What came of a part of the run.
struct load_counts {
    double asked = 0, served = 0; // importance
    std::uint64_t queries = 0, completed = 0, late = 0, rejected = 0, aborted = 0, none = 0, retries = 0;
    histogram times; // of completed queries, s from the intended start
};

// By proxy: its part of the load, over the mean; empty: all alike.
std::vector<double> proxy_load_shares(const experiment &given);

class load_generator {
public:
    load_generator(timeline &clock, const experiment &given, witness &checker, std::uint32_t seed);

    void start(); // from the present time on, for the experiment's length
    void pause(bool begins);
    void burst(double factor, bool begins) { burst_ *= begins ? factor : 1 / factor; }
    void flood(index tenant, double factor, bool begins) { floods_[tenant] *= begins ? factor : 1 / factor; }

    // The link's: whether a proxy is known to be there, else another one is tried; carries a try.
    std::function<bool(index proxy)> is_reachable;
    std::function<void(const client_request &)> send;
    std::function<void(const client_request &)> abandon; // the client gives the try up

    // What came of a query: the proxy that had it last, the importance that was served and that was asked
    // for.
    std::function<void(index proxy, double served, double asked)> on_settled;

    // For the link: what came of a try. `cut`: its connection ended with no whole answer.
    void answered(operation op, index attempt, reply how, double retry_after, bool body_fits);

    bool idle() const { return open_.empty() && over_; }
    bool over() const { return over_; }
    std::size_t open() const { return open_.size(); }
    std::uint64_t operations() const { return next_; }

    const std::vector<load_counts> &slots() const { return slots_; }
    const std::vector<load_counts> &tenants() const { return by_tenant_; } // by tenant; empty without tenants
    const std::vector<load_counts> &use_cases() const { return by_use_; }
    double slot_length() const { return slot_length_; }
    double began() const { return began_; }
    const load_counts &total() const { return settled_; } // of what counts: after the settling time
    const std::vector<double> &popular() const { return popularity_; }
    std::uint64_t key_of_rank(index rank) const;

    // The generator's own lateness, s: when a try was sent less when it was due.
    const histogram &lateness() const { return lateness_; }

private:
    struct open_operation {
        client_request now;
        double intended = 0;
        double first_sent = 0;      // when its first try was sent
        bool awaits_retry = false;  // for its next try
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
    witness &checker_;
    chance random_, retries_;
    std::vector<double> popularity_;   // of popularity, by rank
    std::vector<double> class_shares_; // of shares, by use case
    std::vector<double> proxy_shares_; // of the load, by proxy; empty: all alike
    std::vector<double> floods_;
    double began_ = 0, next_due_ = 0, burst_ = 1, slot_length_ = 1;
    bool over_ = false;
    index pauses_ = 0;
    std::vector<std::pair<operation, double>> delayed_attempts_; // due while paused
    operation next_ = 0;
    std::unordered_map<operation, open_operation> open_; // never iterated
    std::vector<load_counts> slots_, by_tenant_, by_use_;
    load_counts settled_;
    histogram lateness_;
};

} // namespace harrierpass::testbed
