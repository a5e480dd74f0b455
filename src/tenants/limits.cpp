// SPDX-License-Identifier: Apache-2.0
#include "tenants/limits.hpp"

#include <algorithm>
#include <cmath>

namespace harrierpass::tenants {
namespace {

constexpr double threshold = 2;              // times what is free; one that floods alone leaves a third of it
constexpr double first_request_share = 1.25; // times the capacity; up to it a tenant's first query is let in
constexpr double time_weight = 0.1;          // of a new query's time in the mean; the last ten
constexpr double min_wait = 0.01;            // s; an earlier return would find nothing changed
constexpr double never = -1;

constexpr std::array<const char *, static_cast<std::size_t>(limit::total)> names = {
    "none", "unknown", "state", "body", "rate", "work", "in_flight", "room"};

} // namespace

const char *name_of(limit which) {
    return names[static_cast<std::size_t>(which)];
}

// Each limit's row: what it is called, and how long to wait for it.
const std::array<limiter::row, 6> limiter::checks = {{{limit::state, &limiter::wait_state},
                                                      {limit::body, &limiter::wait_body},
                                                      {limit::in_flight, &limiter::wait_in_flight},
                                                      {limit::work, &limiter::wait_work},
                                                      {limit::capacity, &limiter::wait_capacity},
                                                      {limit::rate, &limiter::wait_rate}}};

limiter::limiter(double capacity, index proxies)
    : capacity_(std::max(1.0, capacity)), proxies_(std::max<index>(1, proxies)) {}

// A clock that jumps back adds nothing, and one that jumps ahead fills a bucket once.
void limiter::bucket::fill(double now) {
    if (rate > 0 && now > at)
        level = std::min(burst, level + rate * (now - at));
    at = now;
}

double limiter::bucket::wait(double need) const {
    return rate <= 0 || level >= need ? 0 : (need - level) / rate;
}

void limiter::apply(const tenant_set &set, double now) {
    for (auto &[incarnation, of] : accounts_)
        of.listed = false;
    for (const auto &[name, one] : set.all()) {
        const auto added = accounts_.try_emplace(one->incarnation);
        const bool fresh = added.second;
        account &of = added.first->second;
        of.listed = true;
        of.is = one->is;
        if (of.used.in_flight > 0)
            weights_ += one->limits.weight - of.limits.weight;
        of.limits = one->limits;
        const auto shape = [&](bucket &to, double rate, double burst) {
            to.fill(now);
            const bool limited = to.rate > 0;
            to.rate = rate / proxies_;
            to.burst = burst;
            to.level = fresh || !limited ? burst : std::min(to.level, burst);
            to.at = now;
        };
        const double rate = of.limits.rate / proxies_;
        shape(of.requests, of.limits.rate,
              std::max(1.0, of.limits.burst > 0 ? of.limits.burst / proxies_ : rate));
        shape(of.work, of.limits.work, std::max(0.001, of.limits.work / proxies_));
    }
    // What is gone and has nothing open leaves no trace.
    std::erase_if(accounts_, [](const auto &each) {
        const account &of = each.second;
        return !of.listed && of.used.in_flight == 0 && of.used.connections == 0;
    });
}

double limiter::wait_state(const admission_request &by) const {
    return by.of.listed && by.of.is == state::active ? 0 : never;
}
double limiter::wait_body(const admission_request &by) const {
    return by.of.limits.body == 0 || by.body <= by.of.limits.body ? 0 : never;
}
double limiter::wait_rate(const admission_request &by) const {
    return by.of.requests.wait(1);
}
// Work is charged when it is known: who is in debt waits until it is paid.
double limiter::wait_work(const admission_request &by) const {
    return by.of.work.level > 0 ? 0 : by.of.work.wait(0) + (by.of.work.rate > 0 ? min_wait : 0);
}
double limiter::wait_in_flight(const admission_request &by) const {
    const double max_in_flight = std::ceil(by.of.limits.in_flight / proxies_);
    return by.of.limits.in_flight == 0 || by.of.used.in_flight < max_in_flight
               ? 0
               : std::max(min_wait, by.of.mean_time / std::max(1.0, max_in_flight));
}
double limiter::wait_capacity(const admission_request &by) const {
    const account &of = by.of;
    const double own = of.used.in_flight;
    if (own == 0 && in_flight_ < first_request_share * capacity_)
        return 0;
    const double mean = busy_ > 0 ? weights_ / busy_ : of.limits.weight;
    if (own + 1 <= threshold * of.limits.weight / mean * (capacity_ - in_flight_))
        return 0;
    return std::max(min_wait, of.mean_time / std::max(1.0, own)); // when one of its own will have ended
}

void limiter::change_in_flight(account &of, int by) {
    if (of.used.in_flight == 0) {
        weights_ += of.limits.weight;
        ++busy_;
    }
    of.used.in_flight += static_cast<index>(by);
    in_flight_ += static_cast<index>(by);
    if (of.used.in_flight == 0) {
        weights_ -= of.limits.weight;
        --busy_;
    }
    if (busy_ == 0)
        weights_ = 0; // guards against what rounding leaves over the years
}

request_result limiter::admit(std::uint64_t incarnation, std::uint64_t body, double now) {
    const auto found = accounts_.find(incarnation);
    if (found == accounts_.end())
        return {limit::unknown, 0};
    account &of = found->second;
    of.requests.fill(now);
    of.work.fill(now);
    for (const auto &each : checks) {
        const double wait = (this->*each.wait)({of, body, now});
        if (wait == 0)
            continue;
        ++of.used.refused[static_cast<std::size_t>(each.which)];
        return {each.which, std::max(0.0, wait)};
    }
    if (of.requests.rate > 0)
        --of.requests.level;
    ++of.used.accepted;
    change_in_flight(of, 1);
    return {};
}

void limiter::finish(std::uint64_t incarnation, double work, double now) {
    const auto found = accounts_.find(incarnation);
    if (found == accounts_.end() || found->second.used.in_flight == 0)
        return;
    account &of = found->second;
    of.work.fill(now);
    if (of.work.rate > 0)
        of.work.level -= work;
    of.mean_time += time_weight * (work - of.mean_time);
    of.used.work += work;
    change_in_flight(of, -1);
    if (!of.listed && of.used.in_flight == 0 && of.used.connections == 0)
        accounts_.erase(found);
}

bool limiter::connect(std::uint64_t incarnation) {
    const auto found = accounts_.find(incarnation);
    if (found == accounts_.end())
        return false;
    account &of = found->second;
    if (of.limits.connections > 0 && of.used.connections >= std::ceil(of.limits.connections / proxies_))
        return false;
    ++of.used.connections;
    return true;
}

void limiter::disconnect(std::uint64_t incarnation) {
    const auto found = accounts_.find(incarnation);
    if (found != accounts_.end() && found->second.used.connections > 0)
        --found->second.used.connections;
}

bool limiter::is_idle(std::uint64_t incarnation) const {
    const auto found = accounts_.find(incarnation);
    return found == accounts_.end() || found->second.used.in_flight == 0;
}

usage limiter::usage_of(std::uint64_t incarnation) const {
    const auto found = accounts_.find(incarnation);
    return found == accounts_.end() ? usage{} : found->second.used;
}

} // namespace harrierpass::tenants
