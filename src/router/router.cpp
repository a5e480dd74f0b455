// SPDX-License-Identifier: Apache-2.0
// All decisions of harrierpass. The interface is router.hpp, its plain types are in types.hpp.
// A front makes one router for each proxy with make_router(), reports every event with its clock in
// seconds, and after each call carries out `actions` in order and empties it. Each query has a small index,
// free again after `release`; each server id one, free for another id once it was told to be gone and no
// query in hand was sent there. A `wake` asks for woken() at that time. Only queries not released and servers
// listed before are named. Executions of a query are numbered 0, 1, 2 ... in the order of their `send`.
#include "router/router.hpp"
#include "router/records.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <xxhash.h>

namespace harrierpass {
namespace {

// Every constant, with its unit and the reason for its size.
constexpr double points_per_weight = 160;  // points; the design's start value, 8% imbalance
constexpr double most_points = 2560;       // points; bounds the ring's memory when weights are large
constexpr std::size_t candidate_count = 3; // servers; the design's
constexpr std::size_t zone_walk = 64;   // points walked for a candidate in the own zone; a zone may be small
constexpr std::size_t recent_keys = 64; // queries; a few seconds of one proxy's, and 2% of them show
constexpr double dear_crossing = 0.05;  // of an answer's worth; above it a key is worth a copy in each zone
constexpr double hot_factor = 2;        // servers for each server's fair share of queries that a key draws
constexpr double spill_factor = 2;      // times the mean in flight; the design's
constexpr double spill_floor = 2;       // queries; the design's
constexpr double sweep_period = 0.05;   // s; short beside any SLO time, cheap at 20 a second
constexpr double start_cap = 8;         // executions of all proxies at a warm server not yet known
constexpr double cold_cap = 1;          // executions; the least that still learns
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
constexpr double tenant_burst = 8;   // queries; a proxy's small part of a share comes unevenly
constexpr std::size_t drain_batch = 16; // held queries looked at for one freed place; bounds the CPU
constexpr double first_call_gap = 0.5;  // s between calls for the list after a lost one, doubling
constexpr double most_call_gap = 8;     // s; the list service is never loaded by waiting proxies

class core final : public router, private memory {
public:
    core(const settings &given, std::uint32_t seed, double now) : memory(seed, now) {
        take(given);
        mean_answer_ = least_silent_ / silent_share * slow_share / 2;
        repeats_ = repeat_burst;
        own_part_ = chance();
        call_gap_ = first_call_gap;
        swept_ = now;
        all_ = {start_cap, least_cap / peers_, all_slow_share, all_weight};
        call_at_ = now + chance() * call_gap_;
        actions.push_back({action_kind::wake, none, none, 0, now + sweep_period});
    }

    // Settings and the figures that follow from them; what was learned stays.
    void take(const settings &given) {
        use_cases_ = given.use_cases;
        allow_ = given.allow;
        cold_ = given.cold;
        peers_ = given.peers;
        excess_importance_ = given.excess_importance;
        origin_kind_ = given.origin_kind;
        home_zone_ = given.own_zone;
        own_zone_ = given.cross_price > given.origin_price ? given.own_zone : none;
        cross_price_ = own_zone_ == none ? 0 : given.cross_price;
        auto by_time = use_cases_;
        std::ranges::sort(by_time, {}, &use_case::slo_time);
        shortest_ = by_time.front().slo_time;
        least_silent_ = by_time[(by_time.size() - 1) / 2].slo_time * silent_share;
        end_margin_ = std::max(sweep_period, given.tick) + 2 * given.tick;
        tenants_.clear();
        for (const double quota : given.tenant_quota)
            tenants_.push_back({quota / peers_, std::max(tenant_burst, quota / peers_), now_});
    }

    // Guards queries in hand against other settings: each keeps its use case, its end and what it was sent
    // to. The whole list follows, by whose kinds and zones the servers are then known.
    void adopt(double now, const settings &given) override {
        now_ = now;
        take(given);
        quickest_.clear(); // zones have other numbers
        all_.least = least_cap / peers_;
        for (auto &srv : servers_)
            srv.lim.least = least_cap / peers_;
        for (auto &qry : queries_)
            if (qry.live)
                qry.to_origin = origin_kind_ != none && (qry.to_origin || qry.write);
    }

    // Reads a table: the row for a state and an input moves the state on and says what is done.
    template <typename Table, typename Record, typename Input>
    Input follow(const Table &table, Record &record, index id, Input in) {
        const auto row = std::find_if(table.begin(), table.end(), [&](const auto &each) {
            return each.at == record.at && each.in == in;
        });
        if (row == table.end())
            return Input::nothing;
        record.at = row->next;
        return (this->*row->effect)(id);
    }
    void feed(index id, input in) {
        while (in != input::nothing)
            in = follow(query_table, queries_[id], id, in);
    }
    void feel(index id, sign in) {
        follow(server_table, servers_[id], id, in);
        refresh();
    }

    // ---- Ring and walk

    // Which server is the origin, as other settings may name another kind, and what is in flight elsewhere.
    void recount() {
        if (origin_ != none && !is_origin(servers_[origin_]))
            origin_ = none;
        for (index id = 0; id < servers_.size(); ++id) {
            auto &srv = servers_[id];
            srv.lim.target = is_origin(srv) ? origin_share : slow_share;
            if (is_origin(srv) && (origin_ == none || srv.as.state != listing::gone))
                origin_ = id;
        }
        total_in_flight_ = 0;
        for (index id = 0; id < servers_.size(); ++id)
            total_in_flight_ += id == origin_ ? 0 : servers_[id].in_flight;
    }

    // Guards against hashing and sorting a large ring anew at every change: points that stay are left alone.
    void relay() {
        on_ring_.clear();
        for (index id = 0; id < servers_.size(); ++id) {
            auto &srv = servers_[id];
            if (srv.as.state != listing::ready || is_origin(srv))
                srv.points = 0;
            else
                on_ring_.push_back(id);
        }
        std::erase_if(ring_, [&](const point &each) { return each.order >= servers_[each.server].points; });
        const auto kept = static_cast<std::ptrdiff_t>(ring_.size());
        for (index id = 0; id < servers_.size(); ++id) {
            auto &srv = servers_[id];
            for (index order = srv.laid; order < srv.points; ++order)
                ring_.push_back({ring_hash(srv.id + ":" + std::to_string(order)), id, order});
            srv.laid = srv.points;
        }
        std::sort(ring_.begin() + kept, ring_.end());
        std::inplace_merge(ring_.begin(), ring_.begin() + kept, ring_.end());
    }

    // The figures that depend on every server: who can take work, and how much.
    void refresh() {
        // Guards against emptying the ring on suspicion: when most look bad, the cause is likely shared. That
        // the list drops many is told by the list.
        std::size_t listed = 0, suspects = 0;
        for (index id : on_ring_) {
            listed += !servers_[id].dropped;
            suspects += !servers_[id].dropped && servers_[id].at == health::suspect;
        }
        mass_doubt_ = suspects * 2 > listed;
        usable_ = 0;
        all_.parts = 0;
        for (index id : on_ring_) {
            auto &srv = servers_[id];
            srv.active = static_cast<index>(std::ceil(srv.points * warmth(srv)));
            if (doubted(srv))
                continue;
            ++usable_;
            all_.parts += warmth(srv);
        }
        usable_ = std::max<index>(1, usable_);
        room_ = all_.cap * all_.parts;
    }

    double warmth(const server &srv) const {
        if (srv.at != health::cold || cold_.warm_time <= 0)
            return 1;
        const double gone = std::max(0.0, now_ - srv.cold_since) / cold_.warm_time;
        return std::min(1.0, cold_.start_capacity + (1 - cold_.start_capacity) * gone);
    }

    // Guards "no cold server pushed over": it takes part of its keys by its warmth, and part of their queries
    // by somewhat more than that, so that what all proxies send it keeps under what it can do whatever their
    // number.
    bool has_room(const server &srv, const query &qry) const {
        // Guards against an origin left alone for want of news: what cut its limit is soon forgotten. But
        // where it said that it holds much, not by all of many proxies at once.
        const double forgot = is_origin(srv) ? (1 - std::exp((srv.lim.heard_at - now_) / trust_memory)) *
                                                   std::min(1.0, origin_room / std::max(1.0, srv.told))
                                             : 0;
        const double cap = std::max(srv.lim.cap, forgot) * std::min(1.0, cold_haste * warmth(srv));
        return srv.in_flight + qry.luck < cap && now_ >= srv.full_until;
    }

    bool doubted(const server &srv) const {
        return srv.at == health::suspect && (!mass_doubt_ || srv.dropped);
    }

    bool usable(index id, const query &qry) const {
        const auto &srv = servers_[id];
        return !doubted(srv) || (!allow_.may_probe && now_ >= srv.trial_at && srv.in_flight == 0 &&
                                 qry.executions.empty() && qry.use.effect == effect_kind::idempotent);
    }

    // Walks left from a query's position and collects the first distinct servers that may take it; those in
    // the own zone go first, and where crossing is dear the last place is kept for one of them.
    std::vector<index> walk(const query &qry) const {
        std::vector<index> found;
        const auto own = [&](index id) { return servers_[id].as.zone == own_zone_; };
        const auto tried = [&](index id) {
            return std::any_of(qry.executions.begin(), qry.executions.end(), [&](const execution &each) {
                return each.server == id && (each.open || each.result != outcome::miss);
            });
        };
        bool at_home = cross_price_ < dear_crossing;
        const std::size_t wanted = std::min<std::size_t>(candidate_count, on_ring_.size());
        auto at = std::upper_bound(ring_.begin(), ring_.end(), qry.hash,
                                   [](std::uint64_t key, const point &each) { return key < each.position; });
        for (std::size_t seen = 0; seen < ring_.size() && found.size() < wanted; ++seen) {
            if (at == ring_.begin())
                at = ring_.end();
            --at;
            const index id = at->server;
            const bool waits = !at_home && !own(id) && found.size() + 1 == wanted && seen < zone_walk;
            if (waits || at->order >= servers_[id].active || (qry.hot && servers_[id].at == health::cold) ||
                std::find(found.begin(), found.end(), id) != found.end() || tried(id) || !usable(id, qry) ||
                !may_go(qry, id))
                continue;
            at_home = at_home || own(id);
            found.push_back(id);
        }
        std::stable_partition(found.begin(), found.end(), own);
        return found;
    }

    index choose(const query &qry) {
        if (qry.to_origin) {
            const bool there = origin_ != none && servers_[origin_].as.state == listing::ready;
            return there && has_room(servers_[origin_], qry) && may_go(qry, origin_) ? origin_ : none;
        }
        const auto found = walk(qry);
        const auto most = std::max(spill_floor, std::ceil(spill_factor * (total_in_flight_ + 1.0) / usable_));
        index best = !found.empty() || on_ring_.empty() ? none : nobody;
        for (index id : found) {
            auto &srv = servers_[id];
            if (doubted(srv)) {
                srv.trial_at = now_ + srv.gap;
                return id;
            }
            // Guards against many proxies each holding one execution too many at every server: a part of one
            // is open to that part of the queries, so that the sum over all proxies keeps the limit.
            if ((total_in_flight_ + qry.luck >= room_ && srv.lim.slow > quick_share) || !has_room(srv, qry))
                continue;
            if (srv.in_flight + 1 <= most && told(srv) <= spill_factor * mean_told_)
                return id;
            if (best >= nobody || std::pair(srv.in_flight + 1 > most, told(srv)) <
                                      std::pair(servers_[best].in_flight + 1 > most, told(servers_[best])))
                best = id;
        }
        return best;
    }

    // ---- Queries

    // Guards "no effect twice" for every send after the first and, with no server, for a rejection.
    bool may_go(const query &qry, index id) const { return now_ < go_by(qry, qry.executions.size(), id); }

    // Until when a query may be sent there after so many executions; 0: never.
    double go_by(const query &qry, std::size_t after, index id) const {
        static constexpr double any_time = std::numeric_limits<double>::infinity();
        const auto &use = qry.use;
        const auto end = qry.executions.begin() + static_cast<std::ptrdiff_t>(after);
        const auto doubt = // the earliest execution that is still out or may have run
            std::find_if(qry.executions.begin(), end,
                         [](const execution &each) { return each.open || !never_ran(each.result); });
        if (doubt == end || use.effect == effect_kind::idempotent)
            return any_time;
        const double closes = doubt->sent + use.window - end_margin_;
        if (use.effect == effect_kind::non_idempotent)
            return 0;
        if (use.group == repeat_group::all || id == none) // the client may come back through any server
            return use.group == repeat_group::all ? closes : 0;
        const auto &one = servers_[doubt->server].as, &two = servers_[id].as;
        return (use.group == repeat_group::zone ? one.zone == two.zone : one.cell == two.cell) ? closes : 0;
    }

    // Guards what was decided before a dial against what came meanwhile: the window's end, a drain, the end
    // of the query.
    double write_by(index id) const override {
        const auto &qry = queries_[id];
        const auto &last = qry.executions.back();
        const bool stands = qry.at == stage::running && servers_[last.server].as.state == listing::ready;
        return stands ? go_by(qry, qry.executions.size() - 1, last.server) : 0;
    }

    input admit(index id) {
        const bool full = total_in_flight_ + queries_[id].luck >= room_ * excess_room * excess_importance_;
        return queries_[id].excess && full ? input::hopeless : input::go;
    }

    input place(index id) {
        auto &qry = queries_[id];
        if (qry.executions.size() >= allow_.max_executions || now_ >= qry.end)
            return input::hopeless;
        // Guards against a miss on the last execution allowed, which nobody could fetch any more.
        qry.to_origin = qry.to_origin || (origin_ != none && qry.executions.size() > 0 &&
                                          qry.executions.size() + 1 == allow_.max_executions);
        const index to = choose(qry);
        if (to == none || to == nobody)
            return to == none ? input::wait : input::hopeless;
        send(id, to);
        return input::sent;
    }

    void send(index id, index to) {
        auto &qry = queries_[id];
        std::erase(held_, id);
        ++qry.open;
        qry.executions.push_back({to, now_});
        count_in(qry.executions.back(), !qry.uploading);
        actions.push_back({action_kind::send, id, to, 0, 0});
    }

    // Guards a server's good name and its limit against the time of a long body or answer, its client's.
    void count_in(execution &run, bool in) {
        if (std::exchange(run.counted, in) == in)
            return;
        took(servers_[run.server]);
        servers_[run.server].in_flight += in ? 1 : -1U;
        total_in_flight_ += run.server == origin_ ? 0 : in ? 1 : -1U;
    }

    input queue(index id) {
        auto &qry = queries_[id];
        if (std::find(held_.begin(), held_.end(), id) == held_.end()) {
            const auto less = [&](index one, index two) { return queries_[one].worth > queries_[two].worth; };
            held_.insert(std::upper_bound(held_.begin(), held_.end(), id, less), id);
            due_.push({qry.hold_end, id, qry.generation});
        }
        return now_ >= qry.hold_end ? input::hopeless : input::nothing;
    }

    input finish(index id) {
        // Guards "no effect twice" against a wait that is advised beyond the window: the client comes back
        // inside it, where servers still know what may have run.
        const auto &qry = queries_[id];
        const double left = go_by(qry, qry.executions.size(), none) - now_;
        actions.push_back({left > 0 ? action_kind::reject : action_kind::abort, id});
        actions.back().time = std::min(allow_.max_advice, std::max(0.0, left * advice_share));
        return drop(id);
    }

    input drop(index id) {
        auto &qry = queries_[id];
        std::erase(held_, id);
        if (std::exchange(qry.leads, false))
            fetches_.erase(qry.key);
        if (qry.open == 0) {
            qry.live = false;
            ++qry.generation;
            actions.push_back({action_kind::release, id, none, 0, 0});
        }
        return input::nothing;
    }

    // Guards servers' good names, and room, against queries that fail wherever they go: many errors, and as
    // many here as elsewhere.
    bool fails_anywhere(const server &srv) const {
        return errors_ > fault_share && srv.errors < errors_ + fault_lead;
    }

    input repeat(index id) {
        const auto &qry = queries_[id];
        const auto &last = qry.executions.back();
        if (last.result == outcome::error && fails_anywhere(servers_[last.server]))
            return input::hopeless;
        if (repeats_ < 1 || (qry.to_origin && !qry.write) || qry.use.effect == effect_kind::non_idempotent)
            return input::hopeless;
        --repeats_;
        return input::go;
    }

    // A miss goes to the origin, once for each key; later ones wait and then ask the cache again.
    input fetch(index id) {
        auto &qry = queries_[id];
        if (origin_ == none)
            return input::hopeless;
        const double until = now_ + qry.use.slo_time * hold_share;
        qry.hold_end = std::max(qry.hold_end, std::min(until, qry.end));
        if (qry.has_key && fetches_.contains(qry.key) && qry.executions.size() + 2 <= allow_.max_executions) {
            qry.follows = true;
            return input::wait;
        }
        qry.to_origin = true;
        qry.leads = qry.leads || (qry.has_key && fetches_.emplace(qry.key, id).second);
        return input::go;
    }

    // The server holding this query is suspect: it is called off, and goes elsewhere when that is heard of.
    input rescue(index id) {
        auto &qry = queries_[id];
        if (qry.use.effect == effect_kind::non_idempotent || repeats_ < 1 || !allow_.may_cancel ||
            qry.executions.size() >= allow_.max_executions || now_ >= qry.end)
            return input::nothing;
        actions.push_back({action_kind::cancel, id, none, static_cast<index>(qry.executions.size() - 1), 0});
        return input::nothing;
    }

    // Room may have come free: those who wait longest for what is worth most go first.
    void drain() {
        const auto count = static_cast<std::ptrdiff_t>(std::min(drain_batch, held_.size()));
        const std::vector<index> waiting(held_.begin(), held_.begin() + count);
        for (index id : waiting) {
            auto &qry = queries_[id];
            qry.follows = qry.follows && fetches_.contains(qry.key);
            if (!qry.follows)
                feed(id, input::go);
        }
    }

    // Guards against keys hotter than their candidates: by its share of the latest queries, alike at all
    // proxies, a key gets more places on the ring, and each proxy uses one.
    index places_of(std::uint64_t key) {
        recent_.push_back(key);
        const double count = ++seen_[key];
        if (recent_.size() > recent_keys) {
            const auto oldest = seen_.find(recent_.front());
            recent_.pop_front();
            if (--oldest->second == 0)
                seen_.erase(oldest);
        }
        const double servers = (count - 1) / recent_keys * static_cast<double>(on_ring_.size());
        return static_cast<index>(std::max(1.0, std::floor(hot_factor * servers)));
    }

    void arrived(double now, const new_query &from) override {
        now_ = now;
        if (from.query >= queries_.size())
            queries_.resize(from.query + 1);
        auto &qry = queries_[from.query];
        const index generation = qry.generation + 1;
        qry = query{};
        qry.generation = generation;
        qry.live = true;
        qry.at = stage::held;
        qry.write = from.write;
        qry.uploading = from.uploading;
        qry.to_origin = from.write && origin_kind_ != none;
        qry.use = use_cases_[from.use_case];
        qry.has_key = from.has_key;
        qry.key = from.key;
        const std::uint64_t key = from.has_key ? from.key : (std::uint64_t{chance_()} << 31) + chance_();
        const index places = from.has_key ? places_of(key) : 1;
        const auto at = static_cast<index>(own_part_ * places);
        qry.hot = places > 1;
        qry.hash =
            ring_hash(std::to_string(key) + (at > 0 ? std::string("/").append(std::to_string(at)) : ""));
        qry.end = from.statement_end - end_margin_;
        qry.luck = chance();
        qry.hold_end = now + hold_share * std::min(qry.use.slo_time, qry.end - now);
        repeats_ = std::min(repeat_burst, repeats_ + repeat_share);
        if (from.tenant < tenants_.size()) {
            auto &share = tenants_[from.tenant];
            share.tokens =
                std::min(std::max(tenant_burst, share.rate), share.tokens + share.rate * (now - share.at));
            share.at = now;
            qry.excess = share.rate > 0 && share.tokens < 1;
            share.tokens -= qry.excess ? 0 : 1;
        }
        qry.worth = qry.use.importance * (qry.excess ? excess_importance_ : 1);
        due_.push({qry.end, from.query, generation});
        feed(from.query, input::arrives);
    }

    void ended(double now, index id, index number, outcome result, bool over, bool fetched,
               const load_report &told) override {
        now_ = now;
        auto &qry = queries_[id];
        if (number >= qry.executions.size() || !qry.executions[number].open)
            return;
        auto &run = qry.executions[number];
        auto &srv = servers_[run.server];
        run.open = false;
        run.result = result;
        --qry.open;
        took(srv);
        const double elapsed = now - run.sent, share = elapsed / qry.use.slo_time;
        const bool answered = is_answer(result), counted = run.counted;
        heard(srv, told);
        if (answered)
            srv.quiet = srv.silent = 0;
        const bool broken = result == outcome::reset || result == outcome::connect_error;
        srv.broke = srv.broke || broken;
        if (answered && result != outcome::queue_full) {
            const double error = result == outcome::error ? 1 : 0;
            srv.errors += error_weight * (error - srv.errors);
            errors_ += fault_weight * (error - errors_);
        }
        const double worse = broken                                             ? bad_weight
                             : result == outcome::error && !fails_anywhere(srv) ? error_weight
                                                                                : 0;
        srv.bad += worse > 0 ? worse * (1 - srv.bad) : answered ? -bad_weight * srv.bad : 0;
        if (counted && (result == outcome::completed || result == outcome::miss)) {
            mean_answer_ += slow_weight / 4 * (elapsed - mean_answer_);
            srv.rest /= 2;
            // Guards the use case with the least time: all come to the one origin, and wait for each other.
            learn(srv, run.sent, run.server == origin_ ? elapsed / shortest_ : share, fetched);
        } else if (run.server == origin_ &&
                   (result == outcome::queue_full || result == outcome::connect_error)) {
            // Guards an origin that refuses or is down against being asked at once, again and by all, and
            // caches against an origin that is left alone with room: the rest doubles with each refusal and
            // halves with each answer. What was out together was refused once.
            if (run.sent >= srv.refused_at)
                srv.rest = std::clamp(2 * srv.rest, mean_answer_, trust_memory);
            srv.refused_at = now;
            srv.full_until = now + srv.rest * (0.5 + chance());
            learn(srv, run.sent, 1, false);
        } else if (result == outcome::queue_full) {
            srv.full_until = now + mean_answer_; // it keeps itself from harm, and costs next to nothing
        } else if (result == outcome::timed_out && srv.quiet >= elapsed && share > srv.lim.slow) {
            learn(srv, run.sent, share, false); // guards against a jam whose answers never come to be seen
        }
        count_in(run, false);
        if (run.server == origin_)
            srv.bad = 0; // there is no other origin to turn to
        else if (srv.at == health::suspect && answered && result != outcome::queue_full)
            feel(run.server, srv.died && run.sent > srv.condemned_at ? sign::reborn : sign::answered);
        else if (srv.bad > bad_limit && worse > 0 && run.sent >= srv.condemned_at)
            feel(run.server, sign::struck);
        feed(id, over || qry.at == stage::over ? input::done
                 : result == outcome::miss     ? input::missed
                 : never_ran(result)           ? input::unrun
                                               : input::doubtful);
        drain();
    }

    void begun(double now, index id, bool fetched) override {
        now_ = now;
        auto &qry = queries_[id];
        auto &run = qry.executions.back();
        qry.end = std::numeric_limits<double>::infinity();
        count_in(run, false);
        servers_[run.server].quiet = servers_[run.server].silent = 0;
        learn(servers_[run.server], run.sent, (now - run.sent) / qry.use.slo_time, fetched);
        drain();
    }

    void written(double now, index id, double statement_end) override {
        now_ = now;
        auto &qry = queries_[id];
        qry.end = statement_end - end_margin_;
        due_.push({qry.end, id, qry.generation});
        qry.executions.back().sent = now;
        count_in(qry.executions.back(), true);
    }

    bool avoids(index id) const override { return doubted(servers_[id]); }
    bool suspects(index id) const override { return servers_[id].at == health::suspect; }

    void left(double now, index id) override {
        now_ = now;
        feed(id, input::left);
    }

    // ---- Servers' health and cold starts

    // A limit on what is in flight grows by one for a limit's worth of good answers and is cut by a share.
    // What was sent before the last cut says nothing of the limit in force.
    void grow_or_cut(limit &lim, double sent, double share, bool reached, index held) {
        if (sent < lim.cut_at)
            return;
        // Old news weighs less: of many servers each is heard of rarely.
        lim.slow +=
            std::max(lim.weight, 1 - std::exp((lim.heard_at - now_) / news_memory)) * (share - lim.slow);
        lim.heard_at = now_;
        if (lim.slow <= std::max(lim.target, base_factor * lim.base)) {
            lim.cap += reached ? 1 / std::max(1.0, lim.cap * lim.parts) / lim.parts : 0;
        } else {
            lim.cap = std::max(lim.least, std::min(lim.cap, (held + 1) / lim.parts) *
                                              std::min(cut_share, lim.target / lim.slow));
            lim.cut_at = now_;
        }
    }

    // Guards the limit on all against a slow way to a zone: by so much its quickest answers of late lag
    // behind those at home, and that is no load. Of an answer that took so long, s.
    double way(index zone, double took) {
        if (zone == none || home_zone_ == none)
            return 0;
        auto &here = quickest_[zone];
        here = std::min(took, here + way_weight * (took - here));
        return std::clamp(here - quickest_[home_zone_], 0.0, took);
    }

    // An answer that took this share of the SLO time: what it says of its server and of the whole.
    void learn(server &srv, double sent, double share, bool fetched) {
        auto &lim = srv.lim;
        if (is_origin(srv)) {
            // Guards against starving an origin that is slow of itself: what is slow at the least cap is not
            // slow by its load, and a late fetch still fills the cache.
            // That is not known while it refuses, nor where it says that it holds much for other proxies.
            const bool alone = lim.cap <= lim.least && now_ >= srv.full_until && srv.told < origin_room;
            lim.base = alone ? lim.slow : std::min(lim.base, lim.slow);
            return grow_or_cut(lim, sent, share, srv.in_flight + 1 > lim.cap, srv.in_flight);
        }
        const bool all_reached = total_in_flight_ + 1 > room_;
        if (!fetched) // an answer that had to come from the origin says little of the server itself
            grow_or_cut(lim, sent, share, srv.in_flight + 1 > lim.cap || all_reached, srv.in_flight);
        // Guards against jams of which each of many proxies sees too little at any one server. A time-out,
        // with silence before it, says nothing of the other servers, and a few slow fetches little.
        if (srv.at == health::ready && srv.quiet <= 0) {
            const double took = now_ - sent,
                         load = took > 0 ? share * (1 - way(srv.as.zone, took) / took) : share;
            grow_or_cut(all_, sent, fetched ? std::min(load, fetch_share) : load, all_reached,
                        total_in_flight_);
        }
    }

    // What a server says of its load, if it does.
    void heard(server &srv, const load_report &report) {
        if (report.held < 0)
            return;
        srv.told = report.held;
        srv.told_at = now_;
        if (!is_origin(srv))
            mean_told_ += slow_weight / 4 * (srv.told - mean_told_);
    }
    // Old news is drawn to the mean. A cold server's counts for what it can do, as it must be spared sooner.
    double told(const server &srv) const {
        const double held =
            mean_told_ + (srv.told - mean_told_) * std::exp((srv.told_at - now_) / news_memory);
        return held / warmth(srv);
    }

    sign condemn(index id) {
        auto &srv = servers_[id];
        const bool silent = srv.quiet > quiet_limit / 4 * mean_answer_; // else what is out may be answered
        // Guards against a server that answers probes and else errors only: its next trial is later each
        // time.
        const bool relapse = !silent && !srv.broke && now_ < srv.condemned_at + 2 * most_trial_gap;
        srv.gap = relapse ? std::max(srv.gap, trial_gap / 2) : trial_gap / 2;
        srv.condemned_at = now_;
        back_off(id);
        srv.died = false; // until a trial fails as well: connections break at a healthy server, too
        refresh();
        for (index each = 0; each < queries_.size(); ++each)
            if (const auto &qry = queries_[each]; silent && qry.live && qry.at == stage::running)
                if (const auto &last = qry.executions.back(); last.open && last.server == id)
                    feed(each, input::doubted);
        return sign::nothing;
    }

    sign back_off(index id) {
        auto &srv = servers_[id];
        srv.died = srv.broke;
        srv.gap = std::min(most_trial_gap, srv.gap * 2);
        srv.trial_at = now_ + srv.gap;
        return sign::nothing;
    }

    sign restore(index id) {
        auto &srv = servers_[id];
        srv.bad = srv.quiet = srv.silent = 0;
        srv.broke = srv.died = false;
        return sign::nothing;
    }

    sign chill(index id) {
        restore(id);
        auto &srv = servers_[id];
        srv.cold_since = now_;
        srv.lim.cap = cold_cap;
        srv.lim.slow = 0;
        return sign::nothing;
    }

    void probed(double now, index id, bool answered, const load_report &told) override {
        now_ = now;
        heard(servers_[id], told);
        if (servers_[id].at == health::suspect)
            feel(id, !answered ? sign::struck : servers_[id].died ? sign::reborn : sign::answered);
    }

    // ---- The list

    void listed(double now, list_kind kind, std::span<const list_entry> entries) override {
        now_ = now;
        if (kind == list_kind::lost) {
            call_at_ = now + call_gap_ * (0.5 + chance());
            call_gap_ = std::min({most_call_gap, allow_.must_ask_in, call_gap_ * 2});
            return;
        }
        if (kind != list_kind::cached && kind != list_kind::own) {
            call_at_ = std::numeric_limits<double>::infinity(); // subscribed, until it is lost
            call_gap_ = first_call_gap;
        }
        std::vector<index> ready; // so far
        for (index id = 0; id < servers_.size() && allow_.drain_binds_alone; ++id)
            if (servers_[id].as.state == listing::ready && !is_origin(servers_[id]))
                ready.push_back(id);
        if (is_whole(kind)) // what it leaves out is gone
            for (auto &srv : servers_)
                srv.as.state = listing::gone;
        for (const auto &entry : entries) {
            if (entry.server >= servers_.size())
                servers_.resize(entry.server + 1);
            auto &srv = servers_[entry.server];
            const bool fresh = srv.id != entry.id; // also where the index was another's, which is gone
            if (fresh) {
                srv = {};
                srv.id = entry.id;
                srv.lim = {std::max(1.0, start_cap / peers_), least_cap / peers_, slow_share, slow_weight};
                srv.lim.slow = slow_share; // not known to be quick
                srv.quiet_at = now;
            }
            const bool restarted = entry.started > srv.as.started;
            srv.as = entry;
            srv.as.id = {}; // it is the caller's
            srv.dropped = srv.dropped && entry.state == listing::gone;
            const double points = (allow_.weights_live ? 1 : entry.weight) * points_per_weight;
            srv.points = static_cast<index>(std::clamp(std::round(points), 1.0, most_points));
            if (!is_origin(srv) && (restarted || (fresh && (!is_whole(kind) || !on_ring_.empty()))) &&
                now - entry.started < cold_.warm_time) {
                feel(entry.server, sign::reborn);
                srv.cold_since = entry.started > 0 ? std::min(entry.started, now) : now;
            }
        }
        for (const index id : ready)
            if (servers_[id].as.state == listing::gone)
                drop_from_list(id);
        recount();
        relay();
        refresh();
        drain();
    }

    // Guards against a list that is late or untrue: what it drops without a drain is a suspect whose process
    // died, and gets work again, as cold, once it answers a trial.
    void drop_from_list(index id) {
        auto &srv = servers_[id];
        srv.as.state = listing::ready;
        if (std::exchange(srv.dropped, true))
            return; // dropped before; what it did since counts
        if (srv.at != health::suspect)
            feel(id, sign::struck);
        srv.died = true;
    }

    // The periodic work, then all that has come due.
    void woken(double now) override {
        now_ = now;
        actions.push_back({action_kind::wake, none, none, 0, now + sweep_period});
        if (allow_.must_subscribe && now >= call_at_) {
            actions.push_back({action_kind::subscribe});
            call_at_ = now + std::min(most_call_gap, allow_.must_ask_in); // mostly answered before this
        }
        // Guards the servers' good names against a pause of this proxy: what came meanwhile is not read yet.
        const double late = std::max(0.0, now - std::exchange(swept_, now) - 2 * sweep_period);
        for (const index id : on_ring_) {
            auto &srv = servers_[id];
            srv.quiet_at = std::min(now, srv.quiet_at + late);
            took(srv);
            if (srv.at != health::suspect && srv.quiet > quiet_limit * mean_answer_ &&
                srv.silent > least_silent_)
                feel(id, sign::struck);
            if (srv.at == health::cold && warmth(srv) >= 1)
                feel(id, sign::warmed);
            if (srv.at == health::suspect && allow_.may_probe && now >= srv.trial_at) {
                actions.push_back({action_kind::probe, none, id, 0, 0});
                srv.trial_at = now + srv.gap;
            }
        }
        refresh();
        while (!due_.empty() && due_.top().at <= now) {
            const due top = due_.top();
            due_.pop();
            const auto &qry = queries_[top.query];
            if (qry.live && qry.generation == top.generation &&
                (now >= qry.end || (qry.at == stage::held && now >= qry.hold_end)))
                feed(top.query, input::time_up);
        }
        drain();
    }

private:
    template <typename State, typename Input> struct table_row {
        State at;
        Input in;
        State next;
        Input (core::*effect)(index);
    };
    static const std::array<table_row<stage, input>, 15> query_table;
    static const std::array<table_row<health, sign>, 8> server_table;
    input none_more(index) { return input::nothing; }
    input retry(index) { return input::go; }
    bool is_origin(const server &srv) const { return origin_kind_ != none && srv.as.kind == origin_kind_; }
    void took(server &srv) {
        srv.quiet += srv.in_flight * (now_ - srv.quiet_at);
        srv.silent += srv.in_flight > 0 ? now_ - srv.quiet_at : 0;
        srv.quiet_at = now_;
    }
    double chance() { return (static_cast<double>(chance_()) - 1) / 2147483646.0; }
};

// What a query does next. A row that is missing means: nothing happens.
const std::array<core::table_row<stage, input>, 15> core::query_table = {{
    {stage::held, input::arrives, stage::held, &core::admit},
    {stage::held, input::go, stage::held, &core::place},
    {stage::held, input::sent, stage::running, &core::none_more},
    {stage::held, input::wait, stage::held, &core::queue},
    {stage::held, input::hopeless, stage::over, &core::finish},
    {stage::held, input::time_up, stage::over, &core::finish},
    {stage::held, input::left, stage::over, &core::drop},
    {stage::running, input::unrun, stage::held, &core::retry},
    {stage::running, input::doubtful, stage::held, &core::repeat},
    {stage::running, input::missed, stage::held, &core::fetch},
    {stage::running, input::doubted, stage::running, &core::rescue},
    {stage::running, input::done, stage::over, &core::drop},
    {stage::running, input::time_up, stage::over, &core::finish},
    {stage::running, input::left, stage::over, &core::drop},
    {stage::over, input::done, stage::over, &core::drop},
}};

// How a server is thought of. `reborn`: its process started anew, so its cache and its speed did too.
const std::array<core::table_row<health, sign>, 8> core::server_table = {{
    {health::ready, sign::struck, health::suspect, &core::condemn},
    {health::cold, sign::struck, health::suspect, &core::condemn},
    {health::suspect, sign::struck, health::suspect, &core::back_off},
    {health::suspect, sign::answered, health::ready, &core::restore},
    {health::suspect, sign::reborn, health::cold, &core::chill},
    {health::ready, sign::reborn, health::cold, &core::chill},
    {health::cold, sign::reborn, health::cold, &core::chill},
    {health::cold, sign::warmed, health::ready, &core::restore},
}};

} // namespace

std::uint64_t ring_hash(std::string_view text) {
    return XXH64(text.data(), text.size(), 0);
}

std::unique_ptr<router> make_router(const settings &given, std::uint32_t seed, double now) {
    return std::make_unique<core>(given, seed, now);
}

} // namespace harrierpass
