// SPDX-License-Identifier: Apache-2.0
#include "testbed/load/load_generator.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace harrierpass::testbed {
namespace {

constexpr double interval_count = 120; // parts of a run that are told apart in plots
constexpr double window_share = 0.5;   // of the window, after which no client repeats what may have run
constexpr double drift_share = 0.1;    // of the ranks that change hands at a time

index pick(const std::vector<double> &sums, double part) {
    const auto at = std::upper_bound(sums.begin(), sums.end(), part * sums.back()) - sums.begin();
    return std::min(static_cast<index>(at), static_cast<index>(sums.size() - 1));
}

} // namespace

std::vector<double> proxy_load_shares(const experiment &given) {
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

load_generator::load_generator(timeline &clock, const experiment &given, observer &checker,
                               std::uint32_t seed)
    : clock_(clock), experiment_(given), checker_(checker), random_(seed), retries_(random_.seed()),
      floods_(std::max<std::size_t>(1, given.tenants.size()), 1.0), by_tenant_(given.tenants.size()),
      by_use_(given.use_cases.size()) {
    double sum = 0;
    for (index rank = 0; rank < given.load.keys; ++rank)
        popularity_.push_back(sum += std::pow(rank + 1.0, -given.load.zipf));
    sum = 0;
    for (const auto &each : given.use_cases)
        class_shares_.push_back(sum += each.share);
    sum = 0;
    for (const double each : proxy_load_shares(given))
        proxy_shares_.push_back(sum += each);
    slot_length_ = given.length / interval_count;
    slots_.resize(static_cast<std::size_t>(interval_count));
}

void load_generator::start() {
    began_ = next_due_ = clock_.now();
    clock_.at(began_ + experiment_.length, [this] { over_ = true; });
    for (index i = 0; i < experiment_.load.closed; ++i)
        clock_.after(random_.uniform() * std::max(0.01, experiment_.load.think_time),
                     [this, i] { begin(clock_.now(), i); });
    if (experiment_.load.rate > 0)
        next_arrival();
}

double load_generator::rate() const {
    const double part = (clock_.now() - began_) / experiment_.length;
    const double ramp = 1 + (experiment_.load.peak_factor - 1) * (1 - std::cos(6.283185307179586 * part)) / 2;
    double tenants = 1;
    if (!experiment_.tenants.empty()) {
        double plain = 0, flooded = 0;
        for (std::size_t i = 0; i < experiment_.tenants.size(); ++i) {
            plain += experiment_.tenants[i].share;
            flooded += experiment_.tenants[i].share * floods_[i];
        }
        tenants = plain > 0 ? flooded / plain : 1;
    }
    return experiment_.load.rate * ramp * burst_ * tenants;
}

// The rate changes little between two arrivals, so that of the present is taken.
void load_generator::next_arrival() {
    // From when the last one was due, not from when this thread got round to it.
    next_due_ += random_.exponential(1 / std::max(1e-6, rate()));
    clock_.at(next_due_, [this] { arrive(); });
}

void load_generator::arrive() {
    if (over_)
        return;
    begin(next_due_, none);
    next_arrival();
}

// Ranks change hands: after each drift a tenth of them belongs to keys that nobody asked for before.
std::uint64_t load_generator::key_of_rank(index rank) const {
    std::uint64_t turn = 0;
    if (experiment_.load.popularity_drift_time > 0) {
        const auto drifts =
            static_cast<std::uint64_t>((clock_.now() - began_) / experiment_.load.popularity_drift_time);
        const auto every = static_cast<std::uint64_t>(std::round(1 / drift_share));
        turn = (drifts + every - 1 - rank % every) / every;
    }
    return rank + turn * experiment_.load.keys;
}

void load_generator::begin(double intended, index closed_client) {
    if (over_)
        return;
    const operation op = next_++;
    auto &of = open_[op];
    of.intended = intended;
    of.closed_client = closed_client;
    auto &request = of.now;
    request.op = op;
    request.use_case = pick(class_shares_, random_.uniform());
    const auto &use = experiment_.use_cases[request.use_case];
    request.write = use.write;
    request.keyed = use.keyed;
    const bool hottest =
        experiment_.load.hottest_key_share > 0 && random_.happens(experiment_.load.hottest_key_share);
    request.key = key_of_rank(hottest ? 0 : pick(popularity_, random_.uniform()));
    if (!experiment_.tenants.empty()) {
        double sum = 0;
        for (std::size_t i = 0; i < experiment_.tenants.size(); ++i)
            sum += experiment_.tenants[i].share * floods_[i];
        double part = random_.uniform() * sum;
        request.tenant = 0;
        while (request.tenant + 1 < experiment_.tenants.size() &&
               (part -= experiment_.tenants[request.tenant].share * floods_[request.tenant]) >= 0)
            ++request.tenant;
    }
    send_attempt(op, intended);
}

void load_generator::send_attempt(operation op, double due) {
    if (pauses_ > 0) {
        delayed_attempts_.emplace_back(op, due);
        return;
    }
    auto &of = open_.at(op);
    of.awaits_retry = false;
    const double now = clock_.now();
    lateness_.add(std::max(0.0, now - due));
    const auto &use = experiment_.use_cases[of.now.use_case];
    if (of.now.attempt == 0)
        of.first_sent = now;
    of.now.end = now + use.timeout;
    const index count = experiment_.proxies.count;
    const index first = proxy_shares_.empty() ? random_.below(count) : pick(proxy_shares_, random_.uniform());
    bool sent = false;
    for (index i = 0; i < count && !sent; ++i) {
        of.now.proxy = (first + i) % count;
        sent = is_reachable(of.now.proxy);
    }
    if (!sent) // nobody is there: the client comes back like one that was cut off
        return schedule_retry(op, experiment_.load.retry_delay);
    // Told first: what comes of it may be seen elsewhere before this thread goes on.
    checker_.request_sent(op, of.now.attempt, of.now.proxy, of.now.use_case, of.now.end);
    const client_request sent_request = of.now; // the operation may be over when send() returns
    send(sent_request);
    clock_.at(sent_request.end + experiment_.load.response_grace, [this, op, attempt = sent_request.attempt] {
        const auto late = open_.find(op);
        if (late == open_.end() || late->second.now.attempt != attempt || late->second.awaits_retry)
            return;
        checker_.response_missing(op, attempt);
        abandon(late->second.now);
        finish(op, reply::none);
    });
}

void load_generator::answered(operation op, index attempt, reply how, double retry_after, bool body_fits) {
    if (how == reply::cut)
        checker_.response_missing(op, attempt);
    else
        checker_.response_received(op, attempt, how, body_fits);
    const auto found = open_.find(op);
    if (found == open_.end() || found->second.now.attempt != attempt || found->second.awaits_retry)
        return;
    // What was cut off may have run, or may yet: who asks again then must know that a repeat is dropped
    // wherever it comes.
    const auto &use = experiment_.use_cases[found->second.now.use_case].routing;
    const bool repeatable =
        use.effect == effect_kind::idempotent ||
        (use.effect == effect_kind::deduplicated && use.scope == deduplication_scope::all);
    const bool may = how == reply::rejected || (how == reply::cut && repeatable);
    if (!may || found->second.now.attempt >= experiment_.load.retries)
        return finish(op, how);
    const bool heeds = retry_after > 0 && retries_.happens(experiment_.load.retry_after_share);
    const double wait = heeds ? retry_after : experiment_.load.retry_delay * (0.5 + retries_.uniform());
    // A deduplicated request may be refused although it may have run: its client comes back while servers
    // know it.
    const double known_until = found->second.first_sent + use.deduplication_window * window_share;
    if (use.effect == effect_kind::deduplicated && clock_.now() + wait >= known_until)
        return finish(op, how);
    schedule_retry(op, wait);
}

void load_generator::schedule_retry(operation op, double wait) {
    auto &of = open_.at(op);
    // Nobody asks for what is worth nothing any more: a client's patience is twice its statement timeout.
    const double give_up = of.intended + 2 * experiment_.use_cases[of.now.use_case].timeout;
    if (clock_.now() + wait > give_up || of.now.attempt >= experiment_.load.retries)
        return finish(op, reply::rejected);
    of.awaits_retry = true;
    ++of.now.attempt;
    const double due = clock_.now() + wait;
    clock_.at(due, [this, op, due] {
        if (open_.contains(op))
            send_attempt(op, due);
    });
}

void load_generator::finish(operation op, reply how) {
    const open_operation of = open_.at(op);
    count(of, how);
    open_.erase(op);
    checker_.operation_finished(op);
    if (of.closed_client != none && !over_)
        clock_.after(experiment_.load.think_time > 0 ? random_.exponential(experiment_.load.think_time) : 0,
                     [this, closed_client = of.closed_client] { begin(clock_.now(), closed_client); });
}

void load_generator::count(const open_operation &of, reply how) {
    const auto &use = experiment_.use_cases[of.now.use_case];
    const double took = clock_.now() - of.intended;
    const bool served = how == reply::completed;
    const double worth = !served ? 0
                         : took <= use.routing.latency_objective
                             ? use.routing.priority_weight
                             : use.routing.priority_weight * use.routing.late_value_share;
    const auto add = [&](load_counts &to) {
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
    if (at < experiment_.settle)
        return;
    add(settled_);
    add(by_use_[of.now.use_case]);
    if (of.now.tenant != none)
        add(by_tenant_[of.now.tenant]);
}

void load_generator::pause(bool begins) {
    pauses_ += begins ? 1 : static_cast<index>(-1);
    if (pauses_ > 0)
        return;
    const auto all = std::move(delayed_attempts_);
    delayed_attempts_.clear();
    for (const auto &[op, due] : all)
        if (open_.contains(op))
            send_attempt(op, due);
}

} // namespace harrierpass::testbed
