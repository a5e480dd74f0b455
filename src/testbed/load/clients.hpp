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
struct asking {
    operation op = 0;
    index attempt = 0, proxy = 0, use_case = 0, tenant = none;
    bool write = false, keyed = false;
    std::uint64_t key = 0;
    double end = 0; // when the client gives up
};

// What came of a part of the run.
struct slot {
    double asked = 0, served = 0; // importance
    std::uint64_t queries = 0, completed = 0, late = 0, rejected = 0, aborted = 0, none = 0, retries = 0;
    histogram times; // of completed queries, s from the intended start
};

// By proxy: its part of the load, over the mean; empty: all alike.
std::vector<double> parts_of_load(const experiment &given);

class clients {
public:
    clients(timeline &clock, const experiment &given, observer &judge, std::uint32_t seed);

    void start(); // from the present time on, for the experiment's length
    void pause(bool begins);
    void burst(double factor, bool begins) { burst_ *= begins ? factor : 1 / factor; }
    void flood(index tenant, double factor, bool begins) { floods_[tenant] *= begins ? factor : 1 / factor; }

    // The link's: whether a proxy is known to be there, else another one is tried; carries a try.
    std::function<bool(index proxy)> there;
    std::function<void(const asking &)> send;
    std::function<void(const asking &)> leave; // the client gives the try up

    // What came of a query: the proxy that had it last, the importance that was served and that was asked
    // for.
    std::function<void(index proxy, double served, double asked)> on_settled;

    // For the link: what came of a try. `cut`: its connection ended with no whole answer.
    void answered(operation op, index attempt, reply how, double come_back, bool body_fits);

    bool idle() const { return open_.empty() && over_; }
    bool over() const { return over_; }
    std::size_t open() const { return open_.size(); }
    std::uint64_t operations() const { return next_; }

    const std::vector<slot> &slots() const { return slots_; }
    const std::vector<slot> &tenants() const { return by_tenant_; } // by tenant; empty without tenants
    const std::vector<slot> &use_cases() const { return by_use_; }
    double slot_length() const { return slot_length_; }
    double began() const { return began_; }
    const slot &total() const { return settled_; } // of what counts: after the settling time
    const std::vector<double> &popular() const { return sums_; }
    std::uint64_t key_of_rank(index rank) const;

    // The generator's own lateness, s: when a try was sent less when it was due.
    const histogram &lateness() const { return lateness_; }

private:
    struct open_op {
        asking now;
        double intended = 0;
        double first_asked = 0; // when its first try was sent
        bool waits = false;     // for its next try
        index closed = none;    // the closed-loop client that it belongs to
    };
    void arrive();
    void next_arrival();
    double rate() const;
    void begin(double intended, index closed);
    void ask(operation op, double due);
    void again(operation op, double wait);
    void finish(operation op, reply how);
    void count(const open_op &of, reply how);

    timeline &clock_;
    const experiment &given_;
    observer &judge_;
    random_generator chance_, retries_;
    std::vector<double> sums_;  // of popularity, by rank
    std::vector<double> uses_;  // of shares, by use case
    std::vector<double> parts_; // of the load, by proxy; empty: all alike
    std::vector<double> floods_;
    double began_ = 0, next_due_ = 0, burst_ = 1, slot_length_ = 1;
    bool over_ = false;
    index pauses_ = 0;
    std::vector<std::pair<operation, double>> held_; // due while paused
    operation next_ = 0;
    std::unordered_map<operation, open_op> open_; // never iterated
    std::vector<slot> slots_, by_tenant_, by_use_;
    slot settled_;
    histogram lateness_;
};

} // namespace harrierpass::testbed
