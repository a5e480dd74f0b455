// SPDX-License-Identifier: Apache-2.0
// What one proxy sees of its own traffic, for the width of its subset. Nothing is sent to anybody.
#pragma once

#include "subsets/subset_size.hpp"

#include <vector>

namespace harrierpass::subsets {

class traffic_estimator {
public:
    void on_request(double now, index query, const request_class &use);
    void on_attempt_started(double now, index query, index server);
    void on_attempt_finished(double now, index query, index execution, bool completed, bool fetched);
    void on_request_released(index query); // released

    // At this level from now on: what was fetched at another is forgotten.
    void on_level_changed(double now);
    bool has_enough_samples() const { return queries_ >= least_queries; }
    std::uint64_t request_count() const { return queries_; }
    index in_flight(index server) const { return server < out_.size() ? out_[server] : 0; }
    traffic_sample estimate(double time, index level) const;

private:
    static constexpr std::uint64_t least_queries = 8; // before them a rate is chance
    struct mean {                                     // of the latest values, drawn to 0 while they are few
        double sum = 0, weight = 0;
        void add(double value);
        double value(double prior) const { return weight > 0 ? sum / (weight + prior) : 0; }
    };
    struct asked {
        double arrived = 0, slo_time = 1, late_loss = 0;
        std::vector<index> servers; // by execution; `none`: over
    };
    void decay(double now);

    std::vector<asked> asked_; // by query
    std::vector<index> out_;   // executions in flight, by server
    index all_out_ = 0;
    double started_ = -1, at_ = 0;      // s; the first query, the last decay
    double sent_ = 0, out_seconds_ = 0; // executions and execution-seconds of late, decaying
    std::uint64_t queries_ = 0;
    mean fetched_, fetched_loss_, hit_loss_;
};

} // namespace harrierpass::subsets
