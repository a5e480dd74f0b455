// SPDX-License-Identifier: Apache-2.0
#include "testbed/model/servers.hpp"

#include <algorithm>
#include <cmath>

namespace harrierpass::testbed {
namespace {

constexpr double error_time = 0.0005; // seconds until a server that fails returns its error response
constexpr std::size_t min_overload_attempts = 8; // fewer attempts never overload a server

} // namespace

// ---- Cache server

cache_server::cache_server(fleet &owner, index number, std::uint32_t seed)
    : fleet_(owner), number_(number), random_(seed),
      cores_(owner.clock, owner.settings.fleet.cores, owner.settings.fleet.queue) {
    const auto &settings = owner.settings.fleet;
    const double position =
        settings.servers > 1 ? static_cast<double>(number % settings.servers) / (settings.servers - 1) : 1;
    speed_ = settings.slowest + (1 - settings.slowest) * position;
}

double cache_server::warm_up_progress() const {
    const auto &cold = fleet_.settings.warm_up.routing;
    if (started_ <= 0 || cold.warm_up_time <= 0)
        return 1;
    const double elapsed_share = std::max(0.0, fleet_.clock.now() - started_) / cold.warm_up_time;
    return std::min(1.0, cold.initial_capacity_share + (1 - cold.initial_capacity_share) * elapsed_share);
}

void cache_server::receive(const job &received, const response_callback &done) {
    if (!up())
        return;
    const auto &use_case = fleet_.settings.use_cases[received.use_case];
    const double now = fleet_.clock.now();
    if (warm_up_progress() < 1) {
        const auto &cold = fleet_.settings.warm_up;
        std::erase_if(warm_up_work_,
                      [&](const auto &each) { return each.first < now - cold.overload_window; });
        warm_up_work_.emplace_back(now, use_case.work);
        double work = 0;
        for (const auto &each : warm_up_work_)
            work += each.second;
        const double capacity =
            fleet_.settings.fleet.cores * speed_ * warm_up_progress() * cold.overload_window;
        if (warm_up_work_.size() >= min_overload_attempts && work > cold.overload_factor * capacity) {
            fleet_.event_observer.server_overloaded(number_);
            return fail_overloaded();
        }
    }
    if (draining_)
        return reply_with(done, {result::kind::queue_full, note::none});
    for (const auto &each : response_faults_)
        if (!each.malforms && (each.use_case == none || each.use_case == received.use_case) &&
            random_.happens(each.share))
            return fleet_.clock.after(error_time, [this, incarnation = incarnation_, done] {
                if (incarnation == incarnation_)
                    reply_with(done, {result::kind::error, note::none});
            });
    begin(received, done);
}

void cache_server::fail_overloaded() {
    overloaded_ = true;
    cores_.clear();
    changed();
}

void cache_server::on_connection_opened() {
    const double work = fleet_.settings.fleet.connect_work;
    if (work > 0 && up())
        cores_.submit([this, work] { return work * work_factor_ / (speed_ * warm_up_progress()); }, [] {});
}

void cache_server::begin(const job &received, const response_callback &done) {
    const auto work = [this, use_case_index = received.use_case] {
        const auto &use_case = fleet_.settings.use_cases[use_case_index];
        return random_.lognormal(use_case.work, use_case.spread) * work_factor_ /
               (speed_ * warm_up_progress());
    };
    if (!cores_.submit(work, [this, received, done] { work_done(received, done); }))
        reply_with(done, {result::kind::queue_full, note::none});
}

// Called when the server's own work is done: executes a write, or serves a read from the cache or the origin.
void cache_server::work_done(const job &received, const response_callback &done) {
    const auto incarnation = incarnation_;
    if (received.write)
        return fleet_.write(received, number_, [this, incarnation, done](bool seen, bool fetched) {
            if (incarnation == incarnation_)
                reply_with(done,
                           {seen || fetched ? result::kind::completed : result::kind::error, note::none});
        });
    if (!received.keyed || has_cached(received)) {
        fleet_.event_observer.effect_executed(received.op, received.attempt, number_);
        return reply_with(done, {result::kind::completed, received.keyed ? note::hit : note::none});
    }
    if (fleet_.settings.fleet.cache_aside)
        return reply_with(done, {result::kind::missed, note::miss});
    fleet_.event_observer.effect_executed(received.op, received.attempt, number_);
    auto &waiting = fetching_[received.key];
    waiting.push_back([this, incarnation, done, first = waiting.empty()](bool fetched) {
        if (incarnation == incarnation_)
            reply_with(done, {fetched ? result::kind::completed : result::kind::error,
                              first ? note::miss : note::pending});
    });
    if (waiting.size() > 1)
        return;
    fleet_.fetch([this, incarnation, key = received.key](bool fetched) {
        if (incarnation != incarnation_)
            return;
        if (fetched)
            fill(key);
        const auto waiting_requests = std::move(fetching_[key]);
        fetching_.erase(key);
        for (const auto &each : waiting_requests)
            each(fetched);
    });
}

void cache_server::reply_with(const response_callback &done, result response) {
    if (!up() || drops_responses())
        return;
    for (const auto &each : response_faults_)
        if (each.malforms && random_.happens(each.share))
            response = {result::kind::malformed, note::none};
    done(response);
}

bool cache_server::has_cached(const job &received) {
    const auto found = cache_index_.find(received.key);
    if (found == cache_index_.end())
        return false;
    cached_keys_.splice(cached_keys_.begin(), cached_keys_, found->second);
    return true;
}

void cache_server::fill(std::uint64_t key) {
    if (fleet_.settings.fleet.cache_capacity == 0 || cache_index_.contains(key))
        return;
    cached_keys_.push_front(key);
    cache_index_[key] = cached_keys_.begin();
    if (cached_keys_.size() > fleet_.settings.fleet.cache_capacity) {
        cache_index_.erase(cached_keys_.back());
        cached_keys_.pop_back();
    }
}

void cache_server::fill_most_popular() {
    for (index rank = std::min(fleet_.settings.fleet.cache_capacity, fleet_.settings.load.keys); rank-- > 0;)
        fill(rank);
}

void cache_server::drop(std::uint64_t key) {
    if (const auto found = cache_index_.find(key); found != cache_index_.end()) {
        cached_keys_.erase(found->second);
        cache_index_.erase(found);
    }
}

void cache_server::changed() {
    if (on_change)
        on_change();
}

void cache_server::start_cold(double started) {
    ++incarnation_;
    started_ = started;
    overloaded_ = false;
    warm_up_work_.clear();
    cores_.clear();
    cores_.set_frozen(hung_ + vanished_ > 0);
    cached_keys_.clear();
    cache_index_.clear();
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
        start_cold(fleet_.clock.now());
    }
}

void cache_server::set_faulty(bool begins) {
    open_faults_ += begins ? 1 : static_cast<index>(-1);
    if (open_faults_ == 0)
        faulty_since_ = 0;
    else if (faulty_since_ == 0)
        faulty_since_ = fleet_.clock.now();
}

void cache_server::hang(bool begins) {
    hung_ += begins ? 1 : static_cast<index>(-1);
    cores_.set_frozen(hung_ + vanished_ > 0);
    changed();
}

void cache_server::vanish(bool begins) {
    vanished_ += begins ? 1 : static_cast<index>(-1);
    cores_.set_frozen(hung_ + vanished_ > 0);
    changed();
}

void cache_server::one_way(bool begins) {
    one_way_ += begins ? 1 : static_cast<index>(-1);
    changed();
}

void cache_server::slow(double factor, bool begins) {
    work_factor_ *= begins ? factor : 1 / factor;
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

void apply_server_fault(cache_server &server, const fault_settings &fault, bool begins) {
    switch (fault.kind) {
    case fault_kind::crash:
    case fault_kind::host_kill:
        return server.crash(begins);
    case fault_kind::join:
        return server.crash(false);
    case fault_kind::hang:
    case fault_kind::host_stop:
        return server.hang(begins);
    case fault_kind::vanish:
        return server.vanish(begins);
    case fault_kind::slow:
        return server.slow(fault.factor, begins);
    case fault_kind::errors:
        return server.errors(fault.factor, fault.use_case, begins);
    case fault_kind::malformed:
        return server.malformed(fault.factor, begins);
    case fault_kind::one_way:
        return server.one_way(begins);
    case fault_kind::drain:
        return server.set_draining(begins);
    default:
        return;
    }
}

// ---- Fleet

fleet::fleet(timeline &run_clock, const experiment &run_settings, observer &run_observer, std::uint32_t seed)
    : clock(run_clock), settings(run_settings), event_observer(run_observer),
      origin_(run_clock, run_settings, seed) {
    const index server_count = total_server_count(settings);
    for (index i = 0; i < server_count; ++i)
        servers_.emplace_back(*this, i, seed + 7919 * (i + 1));
    for (index i = settings.fleet.servers; i < server_count; ++i)
        servers_[i].crash(true); // down until it joins
}

void fleet::receive_at_origin(const job &received, const response_callback &done) {
    if (received.write && seen_before(received, size()))
        return done({result::kind::completed, note::none});
    origin_.fetch([this, received, done](bool fetched) {
        if (!fetched)
            return done({result::kind::queue_full, note::none});
        event_observer.effect_executed(received.op, received.attempt, size());
        if (received.write && received.keyed)
            invalidate(received.key);
        else if (received.keyed && received.missed_at < servers_.size() && servers_[received.missed_at].up())
            servers_[received.missed_at].fill(received.key);
        done({result::kind::completed, note::none});
    });
}

bool fleet::seen_before(const job &received, index server) {
    const auto &use_case = settings.use_cases[received.use_case].routing;
    if (use_case.effect != effect_kind::deduplicated)
        return false;
    while (!operations_by_age_.empty() && operations_by_age_.front().first + 3600 < clock.now()) {
        deduplication_records_.erase(operations_by_age_.front().second);
        operations_by_age_.pop_front();
    }
    auto &records = deduplication_records_[received.op];
    const index group = deduplication_group_of(settings, received.use_case, server);
    for (const auto &each : records)
        if (each.group == group && clock.now() < each.time + use_case.deduplication_window)
            return true;
    records.push_back({clock.now(), group});
    operations_by_age_.emplace_back(clock.now(), received.op);
    return false;
}

void fleet::fetch(const std::function<void(bool)> &done) {
    if (remote_fetch)
        return remote_fetch(done);
    origin_.fetch(done);
}

void fleet::write(const job &received, index server, std::function<void(bool, bool)> done) {
    if (remote_write)
        return remote_write(received, server, std::move(done));
    if (seen_before(received, server))
        return done(true, true);
    event_observer.effect_executed(received.op, received.attempt, server);
    origin_.fetch([this, keyed = received.keyed, key = received.key, done](bool fetched) {
        if (fetched && keyed)
            invalidate(key);
        done(false, fetched);
    });
}

void fleet::invalidate(std::uint64_t key) {
    for (auto &each : servers_)
        each.drop(key);
    if (on_invalidated)
        on_invalidated(key);
}

} // namespace harrierpass::testbed
