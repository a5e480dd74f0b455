// SPDX-License-Identifier: Apache-2.0
#include "testbed/load/clients.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace harrierpass::testbed {
namespace {

constexpr double parts = 120;        // parts of a run that are told apart in plots
constexpr double window_share = 0.5; // of the window, after which no client repeats what may have run
constexpr double drift_share = 0.1;  // of the ranks that change hands at a time

index pick(const std::vector<double> &sums, double part) {
    const auto at = std::upper_bound(sums.begin(), sums.end(), part * sums.back()) - sums.begin();
    return std::min(static_cast<index>(at), static_cast<index>(sums.size() - 1));
}

} // namespace

std::vector<double> parts_of_load(const experiment &given) {
    // By a seed of their own: the parts are the deployment's, and the same on every day of it.
    random_generator drawn(given.proxies.count + 1000);
    std::vector<double> made;
    const double heaviest = given.load.first_proxy_share;
    for (index i = 0; i < given.proxies.count && (given.load.proxy_share_deviation > 0 || heaviest > 0); ++i)
        made.push_back(
            given.load.proxy_share_deviation > 0 ? drawn.lognormal(1, given.load.proxy_share_deviation) : 1);
    if (heaviest > 0 && made.size() > 1)
        made[0] = std::accumulate(made.begin() + 1, made.end(), 0.0) * heaviest / (1 - heaviest);
    return made;
}

clients::clients(timeline &clock, const experiment &given, observer &judge, std::uint32_t seed)
    : clock_(clock), given_(given), judge_(judge), chance_(seed), retries_(chance_.seed()),
      floods_(std::max<std::size_t>(1, given.tenants.size()), 1.0), by_tenant_(given.tenants.size()),
      by_use_(given.use_cases.size()) {
    double sum = 0;
    for (index rank = 0; rank < given.load.keys; ++rank)
        sums_.push_back(sum += std::pow(rank + 1.0, -given.load.zipf));
    sum = 0;
    for (const auto &each : given.use_cases)
        uses_.push_back(sum += each.share);
    sum = 0;
    for (const double each : parts_of_load(given))
        parts_.push_back(sum += each);
    slot_length_ = given.length / parts;
    slots_.resize(static_cast<std::size_t>(parts));
}

void clients::start() {
    began_ = next_due_ = clock_.now();
    clock_.at(began_ + given_.length, [this] { over_ = true; });
    for (index i = 0; i < given_.load.closed; ++i)
        clock_.after(chance_.uniform() * std::max(0.01, given_.load.think_time),
                     [this, i] { begin(clock_.now(), i); });
    if (given_.load.rate > 0)
        next_arrival();
}

double clients::rate() const {
    const double part = (clock_.now() - began_) / given_.length;
    const double ramp = 1 + (given_.load.peak_factor - 1) * (1 - std::cos(6.283185307179586 * part)) / 2;
    double tenants = 1;
    if (!given_.tenants.empty()) {
        double plain = 0, flooded = 0;
        for (std::size_t i = 0; i < given_.tenants.size(); ++i) {
            plain += given_.tenants[i].share;
            flooded += given_.tenants[i].share * floods_[i];
        }
        tenants = plain > 0 ? flooded / plain : 1;
    }
    return given_.load.rate * ramp * burst_ * tenants;
}

// The rate changes little between two arrivals, so that of the present is taken.
void clients::next_arrival() {
    // From when the last one was due, not from when this thread got round to it.
    next_due_ += chance_.exponential(1 / std::max(1e-6, rate()));
    clock_.at(next_due_, [this] { arrive(); });
}

void clients::arrive() {
    if (over_)
        return;
    begin(next_due_, none);
    next_arrival();
}

// Ranks change hands: after each drift a tenth of them belongs to keys that nobody asked for before.
std::uint64_t clients::key_of_rank(index rank) const {
    std::uint64_t turn = 0;
    if (given_.load.popularity_drift_time > 0) {
        const auto drifts =
            static_cast<std::uint64_t>((clock_.now() - began_) / given_.load.popularity_drift_time);
        const auto every = static_cast<std::uint64_t>(std::round(1 / drift_share));
        turn = (drifts + every - 1 - rank % every) / every;
    }
    return rank + turn * given_.load.keys;
}

void clients::begin(double intended, index closed) {
    if (over_)
        return;
    const operation op = next_++;
    auto &of = open_[op];
    of.intended = intended;
    of.closed = closed;
    auto &ask_it = of.now;
    ask_it.op = op;
    ask_it.use_case = pick(uses_, chance_.uniform());
    const auto &use = given_.use_cases[ask_it.use_case];
    ask_it.write = use.write;
    ask_it.keyed = use.keyed;
    const bool hottest = given_.load.hottest_key_share > 0 && chance_.happens(given_.load.hottest_key_share);
    ask_it.key = key_of_rank(hottest ? 0 : pick(sums_, chance_.uniform()));
    if (!given_.tenants.empty()) {
        double sum = 0;
        for (std::size_t i = 0; i < given_.tenants.size(); ++i)
            sum += given_.tenants[i].share * floods_[i];
        double part = chance_.uniform() * sum;
        ask_it.tenant = 0;
        while (ask_it.tenant + 1 < given_.tenants.size() &&
               (part -= given_.tenants[ask_it.tenant].share * floods_[ask_it.tenant]) >= 0)
            ++ask_it.tenant;
    }
    ask(op, intended);
}

void clients::ask(operation op, double due) {
    if (pauses_ > 0) {
        held_.emplace_back(op, due);
        return;
    }
    auto &of = open_.at(op);
    of.waits = false;
    const double now = clock_.now();
    lateness_.add(std::max(0.0, now - due));
    const auto &use = given_.use_cases[of.now.use_case];
    if (of.now.attempt == 0)
        of.first_asked = now;
    of.now.end = now + use.timeout;
    const index count = given_.proxies.count;
    const index first = parts_.empty() ? chance_.below(count) : pick(parts_, chance_.uniform());
    bool sent = false;
    for (index i = 0; i < count && !sent; ++i) {
        of.now.proxy = (first + i) % count;
        sent = there(of.now.proxy);
    }
    if (!sent) // nobody is there: the client comes back like one that was cut off
        return again(op, given_.load.retry_delay);
    // Told first: what comes of it may be seen elsewhere before this thread goes on.
    judge_.request_sent(op, of.now.attempt, of.now.proxy, of.now.use_case, of.now.end);
    send(of.now);
    clock_.at(of.now.end + given_.load.response_grace, [this, op, attempt = of.now.attempt] {
        const auto late = open_.find(op);
        if (late == open_.end() || late->second.now.attempt != attempt || late->second.waits)
            return;
        judge_.response_missing(op, attempt);
        leave(late->second.now);
        finish(op, reply::none);
    });
}

void clients::answered(operation op, index attempt, reply how, double come_back, bool body_fits) {
    if (how == reply::cut)
        judge_.response_missing(op, attempt);
    else
        judge_.response_received(op, attempt, how, body_fits);
    const auto found = open_.find(op);
    if (found == open_.end() || found->second.now.attempt != attempt || found->second.waits)
        return;
    // What was cut off may have run, or may yet: who asks again then must know that a repeat is dropped
    // wherever it comes.
    const auto &use = given_.use_cases[found->second.now.use_case].routing;
    const bool repeatable =
        use.effect == effect_kind::idempotent ||
        (use.effect == effect_kind::deduplicated && use.scope == deduplication_scope::all);
    const bool may = how == reply::rejected || (how == reply::cut && repeatable);
    if (!may || found->second.now.attempt >= given_.load.retries)
        return finish(op, how);
    const bool heeds = come_back > 0 && retries_.happens(given_.load.retry_after_share);
    const double wait = heeds ? come_back : given_.load.retry_delay * (0.5 + retries_.uniform());
    // A deduplicated request may be refused although it may have run: its client comes back while servers
    // know it.
    const double known_until = found->second.first_asked + use.deduplication_window * window_share;
    if (use.effect == effect_kind::deduplicated && clock_.now() + wait >= known_until)
        return finish(op, how);
    again(op, wait);
}

void clients::again(operation op, double wait) {
    auto &of = open_.at(op);
    // Nobody asks for what is worth nothing any more: a client's patience is twice its statement timeout.
    const double give_up = of.intended + 2 * given_.use_cases[of.now.use_case].timeout;
    if (clock_.now() + wait > give_up || of.now.attempt >= given_.load.retries)
        return finish(op, reply::rejected);
    of.waits = true;
    ++of.now.attempt;
    const double due = clock_.now() + wait;
    clock_.at(due, [this, op, due] {
        if (open_.contains(op))
            ask(op, due);
    });
}

void clients::finish(operation op, reply how) {
    const open_op of = open_.at(op);
    count(of, how);
    open_.erase(op);
    judge_.operation_finished(op);
    if (of.closed != none && !over_)
        clock_.after(given_.load.think_time > 0 ? chance_.exponential(given_.load.think_time) : 0,
                     [this, closed = of.closed] { begin(clock_.now(), closed); });
}

void clients::count(const open_op &of, reply how) {
    const auto &use = given_.use_cases[of.now.use_case];
    const double took = clock_.now() - of.intended;
    const bool served = how == reply::completed;
    const double worth = !served ? 0
                         : took <= use.routing.latency_objective
                             ? use.routing.priority_weight
                             : use.routing.priority_weight * use.routing.late_value_share;
    const auto add = [&](slot &to) {
        to.asked += use.routing.priority_weight;
        to.served += worth;
        ++to.queries;
        to.retries += of.now.attempt;
        to.completed += served;
        to.late += served && took > use.routing.latency_objective;
        to.rejected += how == reply::rejected;
        to.aborted += how == reply::aborted;
        to.none += how == reply::none || how == reply::cut;
        if (served)
            to.times.add(took);
    };
    if (on_settled)
        on_settled(of.now.proxy, worth, use.routing.priority_weight);
    const double at = of.intended - began_;
    add(slots_[std::min(slots_.size() - 1, static_cast<std::size_t>(std::max(0.0, at) / slot_length_))]);
    if (at < given_.settle)
        return;
    add(settled_);
    add(by_use_[of.now.use_case]);
    if (of.now.tenant != none)
        add(by_tenant_[of.now.tenant]);
}

void clients::pause(bool begins) {
    pauses_ += begins ? 1 : static_cast<index>(-1);
    if (pauses_ > 0)
        return;
    const auto all = std::move(held_);
    held_.clear();
    for (const auto &[op, due] : all)
        if (open_.contains(op))
            ask(op, due);
}

} // namespace harrierpass::testbed
