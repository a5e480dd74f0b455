// SPDX-License-Identifier: Apache-2.0
#include "subsets/traffic_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace harrierpass::subsets {
namespace {

constexpr double memory = 8;         // s; a thin proxy's some eighty queries
constexpr double answer_memory = 64; // answers; as many as tell a share to a tenth or so
constexpr double few_losses = 16;    // answers; as many say nothing yet of what a fetch loses

} // namespace

void traffic_estimator::mean::add(double value) {
    sum += value - sum / answer_memory;
    weight += 1 - weight / answer_memory;
}

void traffic_estimator::decay(double now) {
    const double past = std::max(0.0, now - at_), kept = std::exp(-past / memory);
    sent_ *= kept;
    out_seconds_ = out_seconds_ * kept + all_out_ * memory * (1 - kept);
    at_ = std::max(at_, now);
}

void traffic_estimator::on_request(double now, index query, const request_class &use) {
    if (started_ < 0)
        started_ = at_ = now;
    ++queries_;
    if (query >= asked_.size())
        asked_.resize(query + 1);
    asked_[query] = {now, use.latency_objective, 1 - use.late_value_share, {}};
}

void traffic_estimator::on_attempt_started(double now, index query, index server) {
    decay(now);
    ++sent_;
    asked_[query].servers.push_back(server);
    if (server >= out_.size())
        out_.resize(server + 1);
    ++out_[server];
    ++all_out_;
}

void traffic_estimator::on_attempt_finished(double now, index query, index execution, bool completed,
                                            bool fetched) {
    if (query >= asked_.size() || execution >= asked_[query].servers.size() ||
        asked_[query].servers[execution] == none)
        return;
    decay(now);
    auto &of = asked_[query];
    --out_[of.servers[execution]];
    --all_out_;
    of.servers[execution] = none;
    if (!completed)
        return;
    fetched_.add(fetched ? 1 : 0);
    (fetched ? fetched_loss_ : hit_loss_).add(now - of.arrived > of.slo_time ? of.late_loss : 0);
}

void traffic_estimator::on_request_released(index query) {
    for (const index server : asked_[query].servers)
        if (server != none) {
            --out_[server];
            --all_out_;
        }
    asked_[query].servers.clear();
}

void traffic_estimator::on_level_changed(double now) {
    decay(now);
    fetched_ = {};
}

traffic_sample traffic_estimator::estimate(double time, index level) const {
    traffic_sample made;
    // Guards the rate against a short past: the decaying sum has had no time to fill.
    const double past = std::max(0.0, time - at_), kept = std::exp(-past / memory);
    const double full = memory * (1 - std::exp(-std::max(0.25, time - started_) / memory));
    made.attempt_rate = sent_ * kept / full;
    made.in_flight = (out_seconds_ * kept + all_out_ * memory * (1 - kept)) / full;
    made.origin_fetch_share = fetched_.value(0);
    made.origin_fetch_loss = std::max(0.0, fetched_loss_.value(few_losses) - hit_loss_.value(few_losses));
    made.observed_level = level;
    return made;
}

} // namespace harrierpass::subsets
