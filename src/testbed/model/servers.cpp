// SPDX-License-Identifier: Apache-2.0
#include "testbed/model/servers.hpp"

#include <algorithm>
#include <cmath>

namespace harrierpass::testbed {
namespace {

constexpr double error_time = 0.0005;            // s; an error comes at once
constexpr std::size_t min_overload_attempts = 8; // executions; fewer push nothing over

} // namespace

// ---- One server

cache_server::cache_server(fleet &of, index number, std::uint32_t seed)
    : of_(of), number_(number), random_(seed),
      cores_(of.clock, of.settings.fleet.cores, of.settings.fleet.queue) {
    const auto &settings = of.settings.fleet;
    const double part =
        settings.servers > 1 ? static_cast<double>(number % settings.servers) / (settings.servers - 1) : 1;
    speed_ = settings.slowest + (1 - settings.slowest) * part;
}

double cache_server::warm_up_progress() const {
    const auto &cold = of_.settings.warm_up.routing;
    if (started_ <= 0 || cold.warm_up_time <= 0)
        return 1;
    const double gone = std::max(0.0, of_.clock.now() - started_) / cold.warm_up_time;
    return std::min(1.0, cold.initial_capacity_share + (1 - cold.initial_capacity_share) * gone);
}

void cache_server::receive(const job &what, const answer_to &done) {
    if (!up())
        return;
    const auto &use = of_.settings.use_cases[what.use_case];
    const double now = of_.clock.now();
    if (warm_up_progress() < 1) {
        const auto &cold = of_.settings.warm_up;
        std::erase_if(sent_, [&](const auto &each) { return each.first < now - cold.overload_window; });
        sent_.emplace_back(now, use.work);
        double work = 0;
        for (const auto &each : sent_)
            work += each.second;
        const double can = of_.settings.fleet.cores * speed_ * warm_up_progress() * cold.overload_window;
        if (sent_.size() >= min_overload_attempts && work > cold.overload_factor * can) {
            of_.event_observer.server_overloaded(number_);
            return fall();
        }
    }
    if (draining_)
        return reply_with(done, {result::kind::queue_full, note::none});
    for (const auto &each : response_faults_)
        if (!each.malforms && (each.use_case == none || each.use_case == what.use_case) &&
            random_.happens(each.share))
            return of_.clock.after(error_time, [this, incarnation = incarnation_, done] {
                if (incarnation == incarnation_)
                    reply_with(done, {result::kind::error, note::none});
            });
    begin(what, done);
}

void cache_server::fall() {
    fallen_ = true;
    cores_.clear();
    changed();
}

void cache_server::on_connection_opened() {
    const double work = of_.settings.fleet.connect_work;
    if (work > 0 && up())
        cores_.take([this, work] { return work * factor_ / (speed_ * warm_up_progress()); }, [] {});
}

void cache_server::begin(const job &what, const answer_to &done) {
    const auto work = [this, use = what.use_case] {
        const auto &spec = of_.settings.use_cases[use];
        return random_.lognormal(spec.work, spec.spread) * factor_ / (speed_ * warm_up_progress());
    };
    if (!cores_.take(work, [this, what, done] { work_done(what, done); }))
        reply_with(done, {result::kind::queue_full, note::none});
}

// The server's own part is done: the effect of a write takes place, a read is there or is fetched.
void cache_server::work_done(const job &what, const answer_to &done) {
    const auto incarnation = incarnation_;
    if (what.write)
        return of_.write(what, number_, [this, incarnation, done](bool seen, bool there) {
            if (incarnation == incarnation_)
                reply_with(done, {seen || there ? result::kind::completed : result::kind::error, note::none});
        });
    if (!what.keyed || has_cached(what)) {
        of_.event_observer.effect_executed(what.op, what.attempt, number_);
        return reply_with(done, {result::kind::completed, what.keyed ? note::hit : note::none});
    }
    if (of_.settings.fleet.cache_aside)
        return reply_with(done, {result::kind::missed, note::miss});
    of_.event_observer.effect_executed(what.op, what.attempt, number_);
    auto &waiting = fetching_[what.key];
    waiting.push_back([this, incarnation, done, first = waiting.empty()](bool there) {
        if (incarnation == incarnation_)
            reply_with(done, {there ? result::kind::completed : result::kind::error,
                              first ? note::miss : note::pending});
    });
    if (waiting.size() > 1)
        return;
    of_.fetch([this, incarnation, key = what.key](bool there) {
        if (incarnation != incarnation_)
            return;
        if (there)
            fill(key);
        const auto all = std::move(fetching_[key]);
        fetching_.erase(key);
        for (const auto &each : all)
            each(there);
    });
}

void cache_server::reply_with(const answer_to &done, result with) {
    if (!up() || drops_responses())
        return;
    for (const auto &each : response_faults_)
        if (each.malforms && random_.happens(each.share))
            with = {result::kind::malformed, note::none};
    done(with);
}

bool cache_server::has_cached(const job &what) {
    const auto found = place_.find(what.key);
    if (found == place_.end())
        return false;
    store_.splice(store_.begin(), store_, found->second);
    return true;
}

void cache_server::fill(std::uint64_t key) {
    if (of_.settings.fleet.cache_capacity == 0 || place_.contains(key))
        return;
    store_.push_front(key);
    place_[key] = store_.begin();
    if (store_.size() > of_.settings.fleet.cache_capacity) {
        place_.erase(store_.back());
        store_.pop_back();
    }
}

void cache_server::fill_most_popular() {
    for (index rank = std::min(of_.settings.fleet.cache_capacity, of_.settings.load.keys); rank-- > 0;)
        fill(rank);
}

void cache_server::drop(std::uint64_t key) {
    if (const auto found = place_.find(key); found != place_.end()) {
        store_.erase(found->second);
        place_.erase(found);
    }
}

void cache_server::changed() {
    if (on_change)
        on_change();
}

void cache_server::start_cold(double started) {
    ++incarnation_;
    started_ = started;
    fallen_ = false;
    sent_.clear();
    cores_.clear();
    cores_.stand(hung_ + vanished_ > 0);
    store_.clear();
    place_.clear();
    fetching_.clear();
    changed();
}

void cache_server::crash(bool begins) {
    crashed_ += begins ? 1 : static_cast<index>(-1);
    if (begins) {
        ++incarnation_;
        cores_.clear();
        fetching_.clear();
        changed();
    } else if (crashed_ == 0) {
        start_cold(of_.clock.now());
    }
}

void cache_server::set_trouble(bool begins) {
    open_faults_ += begins ? 1 : static_cast<index>(-1);
    if (open_faults_ == 0)
        faulty_since_ = 0;
    else if (faulty_since_ == 0)
        faulty_since_ = of_.clock.now();
}

void cache_server::hang(bool begins) {
    hung_ += begins ? 1 : static_cast<index>(-1);
    cores_.stand(hung_ + vanished_ > 0);
    changed();
}

void cache_server::vanish(bool begins) {
    vanished_ += begins ? 1 : static_cast<index>(-1);
    cores_.stand(hung_ + vanished_ > 0);
    changed();
}

void cache_server::one_way(bool begins) {
    one_way_ += begins ? 1 : static_cast<index>(-1);
    changed();
}

void cache_server::slow(double factor, bool begins) {
    factor_ *= begins ? factor : 1 / factor;
}

void cache_server::errors(double share, index use_case, bool begins) {
    if (begins)
        response_faults_.push_back({share, use_case, false});
    else
        std::erase_if(response_faults_, [&](const response_fault &each) {
            return !each.malforms && each.share == share && each.use_case == use_case;
        });
}

void cache_server::malformed(double share, bool begins) {
    if (begins)
        response_faults_.push_back({share, none, true});
    else
        std::erase_if(response_faults_,
                      [&](const response_fault &each) { return each.malforms && each.share == share; });
}

void apply_server_fault(cache_server &of, const fault_settings &fault, bool begins) {
    switch (fault.kind) {
    case fault_kind::crash:
    case fault_kind::host_kill:
        return of.crash(begins);
    case fault_kind::join:
        return of.crash(false);
    case fault_kind::hang:
    case fault_kind::host_stop:
        return of.hang(begins);
    case fault_kind::vanish:
        return of.vanish(begins);
    case fault_kind::slow:
        return of.slow(fault.factor, begins);
    case fault_kind::errors:
        return of.errors(fault.factor, fault.use_case, begins);
    case fault_kind::malformed:
        return of.malformed(fault.factor, begins);
    case fault_kind::one_way:
        return of.one_way(begins);
    case fault_kind::drain:
        return of.refuse(begins);
    default:
        return;
    }
}

// ---- The fleet

fleet::fleet(timeline &with, const experiment &of, observer &by, std::uint32_t seed)
    : clock(with), settings(of), event_observer(by), origin_(with, of, seed) {
    const index most = total_server_count(settings);
    for (index i = 0; i < most; ++i)
        servers_.emplace_back(*this, i, seed + 7919 * (i + 1));
    for (index i = settings.fleet.servers; i < most; ++i)
        servers_[i].crash(true); // not there before it joins
}

void fleet::receive_at_origin(const job &what, const answer_to &done) {
    if (what.write && seen_before(what, size()))
        return done({result::kind::completed, note::none});
    origin_.fetch([this, what, done](bool there) {
        if (!there)
            return done({result::kind::queue_full, note::none});
        event_observer.effect_executed(what.op, what.attempt, size());
        if (what.write && what.keyed)
            wrote(what.key);
        else if (what.keyed && what.missed_at < servers_.size() && servers_[what.missed_at].up())
            servers_[what.missed_at].fill(what.key);
        done({result::kind::completed, note::none});
    });
}

bool fleet::seen_before(const job &what, index server) {
    const auto &use = settings.use_cases[what.use_case].routing;
    if (use.effect != effect_kind::deduplicated)
        return false;
    while (!old_marks_.empty() && old_marks_.front().first + 3600 < clock.now()) {
        marks_.erase(old_marks_.front().second);
        old_marks_.pop_front();
    }
    auto &known = marks_[what.op];
    const index group = deduplication_group_of(settings, what.use_case, server);
    for (const auto &each : known)
        if (each.group == group && clock.now() < each.when + use.deduplication_window)
            return true;
    known.push_back({clock.now(), group});
    old_marks_.emplace_back(clock.now(), what.op);
    return false;
}

void fleet::fetch(const std::function<void(bool)> &done) {
    if (remote_fetch)
        return remote_fetch(done);
    origin_.fetch(done);
}

void fleet::write(const job &what, index server, std::function<void(bool, bool)> done) {
    if (remote_write)
        return remote_write(what, server, std::move(done));
    if (seen_before(what, server))
        return done(true, true);
    event_observer.effect_executed(what.op, what.attempt, server);
    origin_.fetch([this, keyed = what.keyed, key = what.key, done](bool there) {
        if (there && keyed)
            wrote(key);
        done(false, there);
    });
}

void fleet::wrote(std::uint64_t key) {
    for (auto &each : servers_)
        each.drop(key);
    if (on_wrote)
        on_wrote(key);
}

} // namespace harrierpass::testbed
