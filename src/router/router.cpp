// SPDX-License-Identifier: Apache-2.0
// All decisions of harrierpass. The interface is router.hpp, its plain types are in types.hpp.
// A front makes one router for each proxy with make_router(), reports every event with its clock in
// seconds, and after each call carries out `actions` in order and empties it. Each query has a small index,
// free again after `release`; each server id one, free for another id once it was told to be gone and no
// query in hand was sent there. A `wake` asks for woken() at that time. Only queries not released and servers
// listed before are named. Executions of a query are numbered 0, 1, 2 ... in the order of their `send`.
#include "router/router.hpp"
#include "router/endpoint_refresh.hpp"
#include "router/hot_keys.hpp"
#include "router/records.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace harrierpass {
namespace {

// Every constant, with its unit and the reason for its size.
constexpr std::size_t candidate_count = 3; // servers; the design's
constexpr std::size_t zone_walk = 64;  // points walked for a candidate in the own zone; a zone may be small
constexpr double dear_crossing = 0.05; // of an answer's worth; above it a key is worth a copy in each zone
constexpr double spill_factor = 2;     // times the mean in flight; the design's
constexpr double spill_floor = 2;      // queries; the design's
constexpr double sweep_period = 0.05;  // s; short beside any SLO time, cheap at 20 a second
constexpr double start_cap = 8;        // executions of all proxies at a warm server not yet known
constexpr double cold_cap = 1;         // executions; the least that still learns
constexpr double cold_haste = 1.4; // times its warmth; the part of its keys' queries that a cold server takes
constexpr double least_cap = 2;    // executions of all proxies; a limit never shuts a server off
constexpr index nobody = none - 1; // where no server may take a query, now or later
constexpr double cut_share = 0.7;  // of the cap; a few cuts halve it, one does little harm
constexpr double slow_share = 0.4; // of the SLO time; the rest is left for the way and a second try
constexpr double origin_share = 0.6; // of the shortest SLO time; the rest is for the way and the cache before
constexpr double origin_room = 32;   // queries in hand at the origin; more were told only where it jams
constexpr double base_factor = 2;    // times the origin's answer time at its least load; then queues
constexpr double quick_share = 0.15; // of the SLO time; so quick a server has room to spare
constexpr double all_slow_share = 0.6; // of the SLO time; over one server's, as some are slow of themselves
constexpr double fetch_share = 1.5;    // of the SLO time; so much an answer from the origin counts for all
constexpr double all_weight = 0.1;     // of a new answer in the mean of all servers; the last ten
constexpr double slow_weight = 0.2;    // of a new answer in the mean; about the last five answers
constexpr double way_weight = 0.1;     // of an answer in the quickest of its zone; it rises over the last ten
constexpr double trust_memory = 1;     // s; the origin is all there is, so a cut is soon tried again
constexpr double news_memory = 4;      // s; what a server did before then says little of its load now
constexpr double quiet_limit = 12;     // mean answer times of silence; rare by chance even where work varies
constexpr double silent_share =
    0.2; // of the middle SLO time; a pause of a process or a lost packet is no silence
constexpr double bad_weight = 0.21;   // of a broken execution in the mean; three in a row condemn
constexpr double error_weight = 0.2;  // of an error answer, maybe the query's own fault; four condemn
constexpr double fault_weight = 0.03; // of an answer in the share of errors of all servers; the last thirty
constexpr double fault_share = 0.2; // of all answers; more errors, alike at all servers, are the queries' own
constexpr double fault_lead = 0.4;  // of its answers; so many more errors than all, and they are the server's
constexpr double bad_limit = 0.5;   // share of broken executions; over it a server is worse than none
constexpr double trial_gap = 0.5;   // s to the first trial of a suspect server
constexpr double most_trial_gap = 4; // s; a dead server costs one trial in this time
constexpr double repeat_share = 0.2; // repeats earned by a query; further work stays a fifth of all
constexpr double repeat_burst = 10;  // repeats saved up; enough for what one dying server held
constexpr double hold_share = 0.25;  // of the SLO time, and of its client's, that a query may wait for room
constexpr double excess_room = 4;    // times their worth; so much of the room may queries beyond shares fill
constexpr double advice_share = 0.5; // of what is left of a window; the rest is for the client and its way
constexpr std::size_t drain_batch = 16; // held queries looked at for one freed place; bounds the CPU

class core final : public router, private router_state {
public:
    core(const router_settings &given, std::uint32_t seed, double now)
        : router_state(seed, now), hot_keys_(random_.fraction()), refresh_(now, random_.fraction()) {
        take(given);
        mean_response_time_ = minimum_silent_time_ / silent_share * slow_share / 2;
        retry_budget_ = repeat_burst;
        last_sweep_at_ = now;
        total_limit_ = {start_cap, least_cap / proxy_count_, all_slow_share, all_weight};
        actions.push_back({action_kind::set_timer, none, none, 0, now + sweep_period});
    }

    // Settings and the figures that follow from them; what was learned stays.
    void take(const router_settings &given) {
        request_classes_ = given.request_classes;
        constraints_ = given.constraints;
        slow_start_ = given.slow_start;
        proxy_count_ = given.proxy_count;
        over_quota_weight_share_ = given.over_quota_weight_share;
        origin_kind_ = given.origin_kind;
        proxy_zone_ = given.local_zone;
        preferred_zone_ = given.cross_zone_cost > given.origin_fetch_cost ? given.local_zone : none;
        cross_zone_cost_ = preferred_zone_ == none ? 0 : given.cross_zone_cost;
        auto by_time = request_classes_;
        std::ranges::sort(by_time, {}, &request_class::latency_objective);
        shortest_latency_objective_ = by_time.front().latency_objective;
        minimum_silent_time_ = by_time[(by_time.size() - 1) / 2].latency_objective * silent_share;
        deadline_margin_ =
            std::max(sweep_period, given.event_batch_interval) + 2 * given.event_batch_interval;
        quotas_.configure(given.tenant_quotas, proxy_count_, now_);
    }

    // Guards queries in hand against other settings: each keeps its use case, its end and what it was sent
    // to. The whole list follows, by whose kinds and zones the servers are then known.
    void update_settings(double now, const router_settings &given) override {
        now_ = now;
        take(given);
        zone_latency_.clear(); // zones have other numbers
        total_limit_.minimum = least_cap / proxy_count_;
        for (auto &srv : endpoints_)
            srv.limit.minimum = least_cap / proxy_count_;
        for (auto &qry : requests_)
            if (qry.is_live)
                qry.uses_origin = origin_kind_ != none && (qry.uses_origin || qry.is_write);
    }

    // Reads a table: the row for a state and an input moves the state on and says what is done.
    template <typename Table, typename State, typename Input>
    Input follow(const Table &table, State &state, index id, Input in) {
        const auto row = std::find_if(table.begin(), table.end(),
                                      [&](const auto &each) { return each.at == state && each.in == in; });
        if (row == table.end())
            return Input::nothing;
        state = row->next;
        return (this->*row->effect)(id);
    }
    void feed(index id, request_event in) {
        while (in != request_event::nothing)
            in = follow(query_table, requests_[id].state, id, in);
    }
    void feel(index id, health_event in) {
        follow(server_table, endpoints_[id].health, id, in);
        refresh();
    }

    // ---- Ring and walk

    // Which server is the origin, as other settings may name another kind, and what is in flight elsewhere.
    void recount() {
        if (origin_ != none && !is_origin(endpoints_[origin_]))
            origin_ = none;
        for (index id = 0; id < endpoints_.size(); ++id) {
            auto &srv = endpoints_[id];
            srv.limit.latency_target = is_origin(srv) ? origin_share : slow_share;
            if (is_origin(srv) && (origin_ == none || srv.info.state != endpoint_state::removed))
                origin_ = id;
        }
        total_in_flight_ = 0;
        for (index id = 0; id < endpoints_.size(); ++id)
            total_in_flight_ += id == origin_ ? 0 : endpoints_[id].in_flight;
    }

    // Guards against hashing and sorting a large ring anew at every change: points that stay are left alone.
    void relay() {
        ring_endpoints_.clear();
        for (index id = 0; id < endpoints_.size(); ++id) {
            auto &srv = endpoints_[id];
            if (srv.info.state != endpoint_state::ready || is_origin(srv))
                srv.ring_points = 0;
            else
                ring_endpoints_.push_back(id);
        }
        std::vector<ring_member> members;
        for (const auto &srv : endpoints_)
            members.push_back({srv.id, srv.ring_points});
        ring_.update(members);
    }

    // The figures that depend on every server: who can take work, and how much.
    void refresh() {
        // Guards against emptying the ring on suspicion: when most look bad, the cause is likely shared. That
        // the list drops many is told by the list.
        std::size_t listed = 0, suspects = 0;
        for (index id : ring_endpoints_) {
            listed += !endpoints_[id].removed_without_drain;
            suspects +=
                !endpoints_[id].removed_without_drain && endpoints_[id].health == endpoint_health::ejected;
        }
        mass_ejection_ = suspects * 2 > listed;
        usable_endpoints_ = 0;
        total_limit_.warm_endpoints = 0;
        for (index id : ring_endpoints_) {
            auto &srv = endpoints_[id];
            srv.active_ring_points = static_cast<index>(std::ceil(srv.ring_points * warmth(srv)));
            if (doubted(srv))
                continue;
            ++usable_endpoints_;
            total_limit_.warm_endpoints += warmth(srv);
        }
        usable_endpoints_ = std::max<index>(1, usable_endpoints_);
        total_capacity_ = total_limit_.cap * total_limit_.warm_endpoints;
    }

    double warmth(const endpoint_record &srv) const {
        if (srv.health != endpoint_health::warming_up || slow_start_.warm_up_time <= 0)
            return 1;
        const double gone = std::max(0.0, now_ - srv.warm_up_started_at) / slow_start_.warm_up_time;
        return std::min(1.0,
                        slow_start_.initial_capacity_share + (1 - slow_start_.initial_capacity_share) * gone);
    }

    // Guards "no cold server pushed over": it takes part of its keys by its warmth, and part of their queries
    // by somewhat more than that, so that what all proxies send it keeps under what it can do whatever their
    // number.
    bool has_room(const endpoint_record &srv, const request_record &qry) const {
        // Guards against an origin left alone for want of news: what cut its limit is soon forgotten. But
        // where it said that it holds much, not by all of many proxies at once.
        const double forgot = is_origin(srv)
                                  ? (1 - std::exp((srv.limit.sampled_at - now_) / trust_memory)) *
                                        std::min(1.0, origin_room / std::max(1.0, srv.reported_in_flight))
                                  : 0;
        const double cap = std::max(srv.limit.cap, forgot) * std::min(1.0, cold_haste * warmth(srv));
        return srv.in_flight + qry.admission_draw < cap && now_ >= srv.overloaded_until;
    }

    bool doubted(const endpoint_record &srv) const {
        return srv.health == endpoint_health::ejected && (!mass_ejection_ || srv.removed_without_drain);
    }

    bool usable(index id, const request_record &qry) const {
        const auto &srv = endpoints_[id];
        return !doubted(srv) ||
               (!constraints_.may_check_health && now_ >= srv.next_health_check_at && srv.in_flight == 0 &&
                qry.attempts.empty() && qry.class_settings.effect == effect_kind::idempotent);
    }

    // Walks left from a query's position and collects the first distinct servers that may take it; those in
    // the own zone go first, and where crossing is dear the last place is kept for one of them.
    std::vector<index> walk(const request_record &qry) const {
        std::vector<index> found;
        const auto own = [&](index id) { return endpoints_[id].info.zone == preferred_zone_; };
        const auto tried = [&](index id) {
            return std::any_of(qry.attempts.begin(), qry.attempts.end(), [&](const attempt_record &each) {
                return each.endpoint == id && (each.is_open || each.result != outcome::cache_miss);
            });
        };
        bool at_home = cross_zone_cost_ < dear_crossing;
        const std::size_t wanted = std::min<std::size_t>(candidate_count, ring_endpoints_.size());
        std::size_t seen = 0;
        ring_.visit_preceding(qry.ring_position, [&](const ring_point &point) {
            if (found.size() >= wanted)
                return false;
            const index id = point.endpoint;
            const bool waits = !at_home && !own(id) && found.size() + 1 == wanted && seen < zone_walk;
            ++seen;
            if (waits || point.virtual_node >= endpoints_[id].active_ring_points ||
                (qry.has_hot_key && endpoints_[id].health == endpoint_health::warming_up) ||
                std::find(found.begin(), found.end(), id) != found.end() || tried(id) || !usable(id, qry) ||
                !may_go(qry, id))
                return true;
            at_home = at_home || own(id);
            found.push_back(id);
            return true;
        });
        std::stable_partition(found.begin(), found.end(), own);
        return found;
    }

    index choose(const request_record &qry) {
        if (qry.uses_origin) {
            const bool there = origin_ != none && endpoints_[origin_].info.state == endpoint_state::ready;
            return there && has_room(endpoints_[origin_], qry) && may_go(qry, origin_) ? origin_ : none;
        }
        const auto found = walk(qry);
        const auto most =
            std::max(spill_floor, std::ceil(spill_factor * (total_in_flight_ + 1.0) / usable_endpoints_));
        index best = !found.empty() || ring_endpoints_.empty() ? none : nobody;
        for (index id : found) {
            auto &srv = endpoints_[id];
            if (doubted(srv)) {
                srv.next_health_check_at = now_ + srv.health_check_backoff;
                return id;
            }
            // Guards against many proxies each holding one execution too many at every server: a part of one
            // is open to that part of the queries, so that the sum over all proxies keeps the limit.
            if ((total_in_flight_ + qry.admission_draw >= total_capacity_ &&
                 srv.limit.mean_latency_share > quick_share) ||
                !has_room(srv, qry))
                continue;
            if (srv.in_flight + 1 <= most && told(srv) <= spill_factor * mean_reported_in_flight_)
                return id;
            if (best >= nobody ||
                std::pair(srv.in_flight + 1 > most, told(srv)) <
                    std::pair(endpoints_[best].in_flight + 1 > most, told(endpoints_[best])))
                best = id;
        }
        return best;
    }

    // ---- Queries

    // Guards "no effect twice" for every send after the first and, with no server, for a rejection.
    bool may_go(const request_record &qry, index id) const {
        return now_ < go_by(qry, qry.attempts.size(), id);
    }

    // Until when a query may be sent there after so many executions; 0: never.
    double go_by(const request_record &qry, std::size_t after, index id) const {
        static constexpr double any_time = std::numeric_limits<double>::infinity();
        const auto &use = qry.class_settings;
        const auto end = qry.attempts.begin() + static_cast<std::ptrdiff_t>(after);
        const auto doubt = // the earliest execution that is still out or may have run
            std::find_if(qry.attempts.begin(), end, [](const attempt_record &each) {
                return each.is_open || !known_not_executed(each.result);
            });
        if (doubt == end || use.effect == effect_kind::idempotent)
            return any_time;
        const double closes = doubt->started_at + use.deduplication_window - deadline_margin_;
        if (use.effect == effect_kind::non_idempotent)
            return 0;
        if (use.scope == deduplication_scope::all ||
            id == none) // the client may come back through any server
            return use.scope == deduplication_scope::all ? closes : 0;
        const auto &one = endpoints_[doubt->endpoint].info, &two = endpoints_[id].info;
        return (use.scope == deduplication_scope::zone ? one.zone == two.zone : one.cell == two.cell) ? closes
                                                                                                      : 0;
    }

    // Guards what was decided before a dial against what came meanwhile: the window's end, a drain, the end
    // of the query.
    double attempt_write_deadline(index id) const override {
        const auto &qry = requests_[id];
        const auto &last = qry.attempts.back();
        const bool stands = qry.state == request_state::in_progress &&
                            endpoints_[last.endpoint].info.state == endpoint_state::ready;
        return stands ? go_by(qry, qry.attempts.size() - 1, last.endpoint) : 0;
    }

    request_event admit(index id) {
        const bool full = total_in_flight_ + requests_[id].admission_draw >=
                          total_capacity_ * excess_room * over_quota_weight_share_;
        return requests_[id].over_quota && full ? request_event::not_servable : request_event::dispatch;
    }

    request_event place(index id) {
        auto &qry = requests_[id];
        if (qry.attempts.size() >= constraints_.max_attempts || now_ >= qry.deadline)
            return request_event::not_servable;
        // Guards against a miss on the last execution allowed, which nobody could fetch any more.
        qry.uses_origin = qry.uses_origin || (origin_ != none && qry.attempts.size() > 0 &&
                                              qry.attempts.size() + 1 == constraints_.max_attempts);
        const index to = choose(qry);
        if (to == none || to == nobody)
            return to == none ? request_event::no_capacity : request_event::not_servable;
        send(id, to);
        return request_event::attempt_started;
    }

    void send(index id, index to) {
        auto &qry = requests_[id];
        std::erase(queue_, id);
        ++qry.open_attempts;
        qry.attempts.push_back({to, now_});
        count_in(qry.attempts.back(), !qry.streams_body);
        actions.push_back({action_kind::start_attempt, id, to, 0, 0});
    }

    // Guards a server's good name and its limit against the time of a long body or answer, its client's.
    void count_in(attempt_record &run, bool in) {
        if (std::exchange(run.counts_in_flight, in) == in)
            return;
        took(endpoints_[run.endpoint]);
        endpoints_[run.endpoint].in_flight += in ? 1 : -1U;
        total_in_flight_ += run.endpoint == origin_ ? 0 : in ? 1 : -1U;
    }

    request_event queue(index id) {
        auto &qry = requests_[id];
        if (std::find(queue_.begin(), queue_.end(), id) == queue_.end()) {
            const auto less = [&](index one, index two) {
                return requests_[one].priority_weight > requests_[two].priority_weight;
            };
            queue_.insert(std::upper_bound(queue_.begin(), queue_.end(), id, less), id);
            timers_.push({qry.queue_deadline, id, qry.generation});
        }
        return now_ >= qry.queue_deadline ? request_event::not_servable : request_event::nothing;
    }

    request_event finish(index id) {
        // Guards "no effect twice" against a wait that is advised beyond the window: the client comes back
        // inside it, where servers still know what may have run.
        const auto &qry = requests_[id];
        const double left = go_by(qry, qry.attempts.size(), none) - now_;
        actions.push_back({left > 0 ? action_kind::reject_request : action_kind::fail_request, id});
        actions.back().time = std::min(constraints_.max_retry_after, std::max(0.0, left * advice_share));
        return drop(id);
    }

    request_event drop(index id) {
        auto &qry = requests_[id];
        std::erase(queue_, id);
        if (std::exchange(qry.leads_fetch, false))
            fetches_.erase(qry.key);
        if (qry.open_attempts == 0) {
            qry.is_live = false;
            ++qry.generation;
            actions.push_back({action_kind::release_request, id, none, 0, 0});
        }
        return request_event::nothing;
    }

    // Guards servers' good names, and room, against queries that fail wherever they go: many errors, and as
    // many here as elsewhere.
    bool fails_anywhere(const endpoint_record &srv) const {
        return fleet_error_rate_ > fault_share && srv.error_rate < fleet_error_rate_ + fault_lead;
    }

    request_event repeat(index id) {
        const auto &qry = requests_[id];
        const auto &last = qry.attempts.back();
        if (last.result == outcome::error && fails_anywhere(endpoints_[last.endpoint]))
            return request_event::not_servable;
        if (retry_budget_ < 1 || (qry.uses_origin && !qry.is_write) ||
            qry.class_settings.effect == effect_kind::non_idempotent)
            return request_event::not_servable;
        --retry_budget_;
        return request_event::dispatch;
    }

    // A miss goes to the origin, once for each key; later ones wait and then ask the cache again.
    request_event fetch(index id) {
        auto &qry = requests_[id];
        if (origin_ == none)
            return request_event::not_servable;
        const double until = now_ + qry.class_settings.latency_objective * hold_share;
        qry.queue_deadline = std::max(qry.queue_deadline, std::min(until, qry.deadline));
        if (qry.has_key && fetches_.contains(qry.key) &&
            qry.attempts.size() + 2 <= constraints_.max_attempts) {
            qry.awaits_fetch = true;
            return request_event::no_capacity;
        }
        qry.uses_origin = true;
        qry.leads_fetch = qry.leads_fetch || (qry.has_key && fetches_.emplace(qry.key, id).second);
        return request_event::dispatch;
    }

    // The server holding this query is suspect: it is called off, and goes elsewhere when that is heard of.
    request_event rescue(index id) {
        auto &qry = requests_[id];
        if (qry.class_settings.effect == effect_kind::non_idempotent || retry_budget_ < 1 ||
            !constraints_.may_cancel || qry.attempts.size() >= constraints_.max_attempts ||
            now_ >= qry.deadline)
            return request_event::nothing;
        actions.push_back(
            {action_kind::cancel_attempt, id, none, static_cast<index>(qry.attempts.size() - 1), 0});
        return request_event::nothing;
    }

    // Room may have come free: those who wait longest for what is worth most go first.
    void drain() {
        const auto count = static_cast<std::ptrdiff_t>(std::min(drain_batch, queue_.size()));
        const std::vector<index> waiting(queue_.begin(), queue_.begin() + count);
        for (index id : waiting) {
            auto &qry = requests_[id];
            qry.awaits_fetch = qry.awaits_fetch && fetches_.contains(qry.key);
            if (!qry.awaits_fetch)
                feed(id, request_event::dispatch);
        }
    }

    void on_request(double now, const request_info &from) override {
        now_ = now;
        if (from.request >= requests_.size())
            requests_.resize(from.request + 1);
        auto &qry = requests_[from.request];
        const index generation = qry.generation + 1;
        qry = request_record{};
        qry.generation = generation;
        qry.is_live = true;
        qry.state = request_state::queued;
        qry.is_write = from.is_write;
        qry.streams_body = from.streams_body;
        qry.uses_origin = from.is_write && origin_kind_ != none;
        qry.class_settings = request_classes_[from.class_id];
        qry.has_key = from.has_key;
        qry.key = from.key;
        const std::uint64_t key = from.has_key ? from.key : random_.key();
        const index places = from.has_key ? hot_keys_.record(key, ring_endpoints_.size()) : 1;
        qry.has_hot_key = places > 1;
        qry.ring_position = key_position(key, hot_keys_.replica_of(places));
        qry.deadline = from.deadline - deadline_margin_;
        qry.admission_draw = random_.fraction();
        qry.queue_deadline =
            now + hold_share * std::min(qry.class_settings.latency_objective, qry.deadline - now);
        retry_budget_ = std::min(repeat_burst, retry_budget_ + repeat_share);
        qry.over_quota = quotas_.is_over_quota(from.tenant, now);
        qry.priority_weight =
            qry.class_settings.priority_weight * (qry.over_quota ? over_quota_weight_share_ : 1);
        timers_.push({qry.deadline, from.request, generation});
        feed(from.request, request_event::received);
    }

    void on_attempt_finished(double now, index id, index number, outcome result, bool over, bool fetched,
                             const load_report &told) override {
        now_ = now;
        auto &qry = requests_[id];
        if (number >= qry.attempts.size() || !qry.attempts[number].is_open)
            return;
        auto &run = qry.attempts[number];
        auto &srv = endpoints_[run.endpoint];
        run.is_open = false;
        run.result = result;
        --qry.open_attempts;
        took(srv);
        const double elapsed = now - run.started_at, share = elapsed / qry.class_settings.latency_objective;
        const bool answered = is_answer(result), counted = run.counts_in_flight;
        heard(srv, told);
        if (answered)
            srv.silent_attempt_time = srv.silent_time = 0;
        const bool broken = result == outcome::reset || result == outcome::connect_error;
        srv.attempt_broke = srv.attempt_broke || broken;
        if (answered && result != outcome::overloaded) {
            const double error = result == outcome::error ? 1 : 0;
            srv.error_rate += error_weight * (error - srv.error_rate);
            fleet_error_rate_ += fault_weight * (error - fleet_error_rate_);
        }
        const double worse = broken                                             ? bad_weight
                             : result == outcome::error && !fails_anywhere(srv) ? error_weight
                                                                                : 0;
        srv.failure_rate += worse > 0  ? worse * (1 - srv.failure_rate)
                            : answered ? -bad_weight * srv.failure_rate
                                       : 0;
        if (counted && (result == outcome::completed || result == outcome::cache_miss)) {
            mean_response_time_ += slow_weight / 4 * (elapsed - mean_response_time_);
            srv.origin_backoff /= 2;
            // Guards the use case with the least time: all come to the one origin, and wait for each other.
            learn(srv, run.started_at,
                  run.endpoint == origin_ ? elapsed / shortest_latency_objective_ : share, fetched);
        } else if (run.endpoint == origin_ &&
                   (result == outcome::overloaded || result == outcome::connect_error)) {
            // Guards an origin that refuses or is down against being asked at once, again and by all, and
            // caches against an origin that is left alone with room: the rest doubles with each refusal and
            // halves with each answer. What was out together was refused once.
            if (run.started_at >= srv.last_rejected_at)
                srv.origin_backoff = std::clamp(2 * srv.origin_backoff, mean_response_time_, trust_memory);
            srv.last_rejected_at = now;
            srv.overloaded_until = now + srv.origin_backoff * (0.5 + random_.fraction());
            learn(srv, run.started_at, 1, false);
        } else if (result == outcome::overloaded) {
            srv.overloaded_until =
                now + mean_response_time_; // it keeps itself from harm, and costs next to nothing
        } else if (result == outcome::timed_out && srv.silent_attempt_time >= elapsed &&
                   share > srv.limit.mean_latency_share) {
            learn(srv, run.started_at, share,
                  false); // guards against a jam whose answers never come to be seen
        }
        count_in(run, false);
        if (run.endpoint == origin_)
            srv.failure_rate = 0; // there is no other origin to turn to
        else if (srv.health == endpoint_health::ejected && answered && result != outcome::overloaded)
            feel(run.endpoint, srv.health_check_failed && run.started_at > srv.ejected_at
                                   ? health_event::restarted
                                   : health_event::answered);
        else if (srv.failure_rate > bad_limit && worse > 0 && run.started_at >= srv.ejected_at)
            feel(run.endpoint, health_event::failure_detected);
        feed(id, over || qry.state == request_state::finished ? request_event::response_finished
                 : result == outcome::cache_miss              ? request_event::cache_miss
                 : known_not_executed(result)                 ? request_event::not_executed
                                                              : request_event::possibly_executed);
        drain();
    }

    void on_response_started(double now, index id, bool fetched) override {
        now_ = now;
        auto &qry = requests_[id];
        auto &run = qry.attempts.back();
        qry.deadline = std::numeric_limits<double>::infinity();
        count_in(run, false);
        endpoints_[run.endpoint].silent_attempt_time = endpoints_[run.endpoint].silent_time = 0;
        learn(endpoints_[run.endpoint], run.started_at,
              (now - run.started_at) / qry.class_settings.latency_objective, fetched);
        drain();
    }

    void on_request_body_sent(double now, index id, double statement_end) override {
        now_ = now;
        auto &qry = requests_[id];
        qry.deadline = statement_end - deadline_margin_;
        timers_.push({qry.deadline, id, qry.generation});
        qry.attempts.back().started_at = now;
        count_in(qry.attempts.back(), true);
    }

    bool avoids_endpoint(index id) const override { return doubted(endpoints_[id]); }
    bool is_ejected(index id) const override { return endpoints_[id].health == endpoint_health::ejected; }

    void on_client_disconnected(double now, index id) override {
        now_ = now;
        feed(id, request_event::client_disconnected);
    }

    // ---- Servers' health and cold starts

    // A limit on what is in flight grows by one for a limit's worth of good answers and is cut by a share.
    // What was sent before the last cut says nothing of the limit in force.
    void grow_or_cut(concurrency_limit &lim, double sent, double share, bool reached, index held) {
        if (sent < lim.decreased_at)
            return;
        // Old news weighs less: of many servers each is heard of rarely.
        lim.mean_latency_share +=
            std::max(lim.sample_weight, 1 - std::exp((lim.sampled_at - now_) / news_memory)) *
            (share - lim.mean_latency_share);
        lim.sampled_at = now_;
        if (lim.mean_latency_share <=
            std::max(lim.latency_target, base_factor * lim.baseline_latency_share)) {
            lim.cap += reached ? 1 / std::max(1.0, lim.cap * lim.warm_endpoints) / lim.warm_endpoints : 0;
        } else {
            lim.cap =
                std::max(lim.minimum, std::min(lim.cap, (held + 1) / lim.warm_endpoints) *
                                          std::min(cut_share, lim.latency_target / lim.mean_latency_share));
            lim.decreased_at = now_;
        }
    }

    // Guards the limit on all against a slow way to a zone: by so much its quickest answers of late lag
    // behind those at home, and that is no load. Of an answer that took so long, s.
    double way(index zone, double took) {
        if (zone == none || proxy_zone_ == none)
            return 0;
        auto &here = zone_latency_[zone];
        here = std::min(took, here + way_weight * (took - here));
        return std::clamp(here - zone_latency_[proxy_zone_], 0.0, took);
    }

    // An answer that took this share of the SLO time: what it says of its server and of the whole.
    void learn(endpoint_record &srv, double sent, double share, bool fetched) {
        auto &lim = srv.limit;
        if (is_origin(srv)) {
            // Guards against starving an origin that is slow of itself: what is slow at the least cap is not
            // slow by its load, and a late fetch still fills the cache.
            // That is not known while it refuses, nor where it says that it holds much for other proxies.
            const bool alone = lim.cap <= lim.minimum && now_ >= srv.overloaded_until &&
                               srv.reported_in_flight < origin_room;
            lim.baseline_latency_share =
                alone ? lim.mean_latency_share : std::min(lim.baseline_latency_share, lim.mean_latency_share);
            return grow_or_cut(lim, sent, share, srv.in_flight + 1 > lim.cap, srv.in_flight);
        }
        const bool all_reached = total_in_flight_ + 1 > total_capacity_;
        if (!fetched) // an answer that had to come from the origin says little of the server itself
            grow_or_cut(lim, sent, share, srv.in_flight + 1 > lim.cap || all_reached, srv.in_flight);
        // Guards against jams of which each of many proxies sees too little at any one server. A time-out,
        // with silence before it, says nothing of the other servers, and a few slow fetches little.
        if (srv.health == endpoint_health::healthy && srv.silent_attempt_time <= 0) {
            const double took = now_ - sent,
                         load = took > 0 ? share * (1 - way(srv.info.zone, took) / took) : share;
            grow_or_cut(total_limit_, sent, fetched ? std::min(load, fetch_share) : load, all_reached,
                        total_in_flight_);
        }
    }

    // What a server says of its load, if it does.
    void heard(endpoint_record &srv, const load_report &report) {
        if (report.in_flight < 0)
            return;
        srv.reported_in_flight = report.in_flight;
        srv.reported_at = now_;
        if (!is_origin(srv))
            mean_reported_in_flight_ += slow_weight / 4 * (srv.reported_in_flight - mean_reported_in_flight_);
    }
    // Old news is drawn to the mean. A cold server's counts for what it can do, as it must be spared sooner.
    double told(const endpoint_record &srv) const {
        const double held = mean_reported_in_flight_ + (srv.reported_in_flight - mean_reported_in_flight_) *
                                                           std::exp((srv.reported_at - now_) / news_memory);
        return held / warmth(srv);
    }

    health_event condemn(index id) {
        auto &srv = endpoints_[id];
        const bool silent = srv.silent_attempt_time >
                            quiet_limit / 4 * mean_response_time_; // else what is out may be answered
        // Guards against a server that answers probes and else errors only: its next trial is later each
        // time.
        const bool relapse = !silent && !srv.attempt_broke && now_ < srv.ejected_at + 2 * most_trial_gap;
        srv.health_check_backoff =
            relapse ? std::max(srv.health_check_backoff, trial_gap / 2) : trial_gap / 2;
        srv.ejected_at = now_;
        back_off(id);
        srv.health_check_failed =
            false; // until a trial fails as well: connections break at a healthy server, too
        refresh();
        for (index each = 0; each < requests_.size(); ++each)
            if (const auto &qry = requests_[each];
                silent && qry.is_live && qry.state == request_state::in_progress)
                if (const auto &last = qry.attempts.back(); last.is_open && last.endpoint == id)
                    feed(each, request_event::endpoint_ejected);
        return health_event::nothing;
    }

    health_event back_off(index id) {
        auto &srv = endpoints_[id];
        srv.health_check_failed = srv.attempt_broke;
        srv.health_check_backoff = std::min(most_trial_gap, srv.health_check_backoff * 2);
        srv.next_health_check_at = now_ + srv.health_check_backoff;
        return health_event::nothing;
    }

    health_event restore(index id) {
        auto &srv = endpoints_[id];
        srv.failure_rate = srv.silent_attempt_time = srv.silent_time = 0;
        srv.attempt_broke = srv.health_check_failed = false;
        return health_event::nothing;
    }

    health_event chill(index id) {
        restore(id);
        auto &srv = endpoints_[id];
        srv.warm_up_started_at = now_;
        srv.limit.cap = cold_cap;
        srv.limit.mean_latency_share = 0;
        return health_event::nothing;
    }

    void on_health_check_finished(double now, index id, bool answered, const load_report &told) override {
        now_ = now;
        heard(endpoints_[id], told);
        if (endpoints_[id].health == endpoint_health::ejected)
            feel(id, !answered                            ? health_event::failure_detected
                     : endpoints_[id].health_check_failed ? health_event::restarted
                                                          : health_event::answered);
    }

    // ---- The list

    void on_endpoints_updated(double now, endpoint_update_kind kind,
                              std::span<const endpoint_info> entries) override {
        now_ = now;
        if (kind == endpoint_update_kind::poll_failed) {
            refresh_.on_poll_failed(now, random_.fraction(), constraints_.max_poll_interval);
            return;
        }
        if (kind != endpoint_update_kind::cached_snapshot && kind != endpoint_update_kind::local) {
            refresh_.on_update();
        }
        std::vector<index> ready; // so far
        for (index id = 0; id < endpoints_.size() && constraints_.removal_is_advisory; ++id)
            if (endpoints_[id].info.state == endpoint_state::ready && !is_origin(endpoints_[id]))
                ready.push_back(id);
        if (is_snapshot(kind)) // what it leaves out is gone
            for (auto &srv : endpoints_)
                srv.info.state = endpoint_state::removed;
        for (const auto &entry : entries) {
            if (entry.endpoint >= endpoints_.size())
                endpoints_.resize(entry.endpoint + 1);
            auto &srv = endpoints_[entry.endpoint];
            const bool fresh = srv.id != entry.id; // also where the index was another's, which is gone
            if (fresh) {
                srv = {};
                ring_.reset(entry.endpoint);
                srv.id = entry.id;
                srv.limit = {std::max(1.0, start_cap / proxy_count_), least_cap / proxy_count_, slow_share,
                             slow_weight};
                srv.limit.mean_latency_share = slow_share; // not known to be quick
                srv.silence_updated_at = now;
            }
            const bool restarted = entry.started_at > srv.info.started_at;
            srv.info = entry;
            srv.info.id = {}; // it is the caller's
            srv.removed_without_drain = srv.removed_without_drain && entry.state == endpoint_state::removed;
            srv.ring_points = virtual_nodes_for_weight(constraints_.weights_are_dynamic ? 1 : entry.weight);
            if (!is_origin(srv) &&
                (restarted || (fresh && (!is_snapshot(kind) || !ring_endpoints_.empty()))) &&
                now - entry.started_at < slow_start_.warm_up_time) {
                feel(entry.endpoint, health_event::restarted);
                srv.warm_up_started_at = entry.started_at > 0 ? std::min(entry.started_at, now) : now;
            }
        }
        for (const index id : ready)
            if (endpoints_[id].info.state == endpoint_state::removed)
                drop_from_list(id);
        recount();
        relay();
        refresh();
        drain();
    }

    // Guards against a list that is late or untrue: what it drops without a drain is a suspect whose process
    // died, and gets work again, as cold, once it answers a trial.
    void drop_from_list(index id) {
        auto &srv = endpoints_[id];
        srv.info.state = endpoint_state::ready;
        if (std::exchange(srv.removed_without_drain, true))
            return; // dropped before; what it did since counts
        if (srv.health != endpoint_health::ejected)
            feel(id, health_event::failure_detected);
        srv.health_check_failed = true;
    }

    // The periodic work, then all that has come due.
    void on_timer(double now) override {
        now_ = now;
        actions.push_back({action_kind::set_timer, none, none, 0, now + sweep_period});
        if (constraints_.watch_required && refresh_.is_due(now)) {
            actions.push_back({action_kind::watch_endpoints});
            refresh_.on_poll_sent(now, constraints_.max_poll_interval);
        }
        // Guards the servers' good names against a pause of this proxy: what came meanwhile is not read yet.
        const double late = std::max(0.0, now - std::exchange(last_sweep_at_, now) - 2 * sweep_period);
        for (const index id : ring_endpoints_) {
            auto &srv = endpoints_[id];
            srv.silence_updated_at = std::min(now, srv.silence_updated_at + late);
            took(srv);
            if (srv.health != endpoint_health::ejected &&
                srv.silent_attempt_time > quiet_limit * mean_response_time_ &&
                srv.silent_time > minimum_silent_time_)
                feel(id, health_event::failure_detected);
            if (srv.health == endpoint_health::warming_up && warmth(srv) >= 1)
                feel(id, health_event::warm_up_finished);
            if (srv.health == endpoint_health::ejected && constraints_.may_check_health &&
                now >= srv.next_health_check_at) {
                actions.push_back({action_kind::check_health, none, id, 0, 0});
                srv.next_health_check_at = now + srv.health_check_backoff;
            }
        }
        refresh();
        while (!timers_.empty() && timers_.top().at <= now) {
            const request_timer top = timers_.top();
            timers_.pop();
            const auto &qry = requests_[top.request];
            if (qry.is_live && qry.generation == top.generation &&
                (now >= qry.deadline || (qry.state == request_state::queued && now >= qry.queue_deadline)))
                feed(top.request, request_event::deadline_expired);
        }
        drain();
    }

private:
    hot_keys hot_keys_;
    endpoint_refresh refresh_;

    template <typename State, typename Input> struct table_row {
        State at;
        Input in;
        State next;
        Input (core::*effect)(index);
    };
    static const std::array<table_row<request_state, request_event>, 15> query_table;
    static const std::array<table_row<endpoint_health, health_event>, 8> server_table;
    request_event none_more(index) { return request_event::nothing; }
    request_event retry(index) { return request_event::dispatch; }
    bool is_origin(const endpoint_record &srv) const {
        return origin_kind_ != none && srv.info.kind == origin_kind_;
    }
    void took(endpoint_record &srv) {
        srv.silent_attempt_time += srv.in_flight * (now_ - srv.silence_updated_at);
        srv.silent_time += srv.in_flight > 0 ? now_ - srv.silence_updated_at : 0;
        srv.silence_updated_at = now_;
    }
};

// What a query does next. A row that is missing means: nothing happens.
const std::array<core::table_row<request_state, request_event>, 15> core::query_table = {{
    {request_state::queued, request_event::received, request_state::queued, &core::admit},
    {request_state::queued, request_event::dispatch, request_state::queued, &core::place},
    {request_state::queued, request_event::attempt_started, request_state::in_progress, &core::none_more},
    {request_state::queued, request_event::no_capacity, request_state::queued, &core::queue},
    {request_state::queued, request_event::not_servable, request_state::finished, &core::finish},
    {request_state::queued, request_event::deadline_expired, request_state::finished, &core::finish},
    {request_state::queued, request_event::client_disconnected, request_state::finished, &core::drop},
    {request_state::in_progress, request_event::not_executed, request_state::queued, &core::retry},
    {request_state::in_progress, request_event::possibly_executed, request_state::queued, &core::repeat},
    {request_state::in_progress, request_event::cache_miss, request_state::queued, &core::fetch},
    {request_state::in_progress, request_event::endpoint_ejected, request_state::in_progress, &core::rescue},
    {request_state::in_progress, request_event::response_finished, request_state::finished, &core::drop},
    {request_state::in_progress, request_event::deadline_expired, request_state::finished, &core::finish},
    {request_state::in_progress, request_event::client_disconnected, request_state::finished, &core::drop},
    {request_state::finished, request_event::response_finished, request_state::finished, &core::drop},
}};

// How a server is thought of. `reborn`: its process started anew, so its cache and its speed did too.
const std::array<core::table_row<endpoint_health, health_event>, 8> core::server_table = {{
    {endpoint_health::healthy, health_event::failure_detected, endpoint_health::ejected, &core::condemn},
    {endpoint_health::warming_up, health_event::failure_detected, endpoint_health::ejected, &core::condemn},
    {endpoint_health::ejected, health_event::failure_detected, endpoint_health::ejected, &core::back_off},
    {endpoint_health::ejected, health_event::answered, endpoint_health::healthy, &core::restore},
    {endpoint_health::ejected, health_event::restarted, endpoint_health::warming_up, &core::chill},
    {endpoint_health::healthy, health_event::restarted, endpoint_health::warming_up, &core::chill},
    {endpoint_health::warming_up, health_event::restarted, endpoint_health::warming_up, &core::chill},
    {endpoint_health::warming_up, health_event::warm_up_finished, endpoint_health::healthy, &core::restore},
}};

} // namespace

std::unique_ptr<router> make_router(const router_settings &given, std::uint32_t seed, double now) {
    return std::make_unique<core>(given, seed, now);
}

} // namespace harrierpass
