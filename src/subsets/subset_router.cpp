// SPDX-License-Identifier: Apache-2.0
#include "subsets/subset_router.hpp"

#include "subsets/endpoint_ranking.hpp"
#include "subsets/traffic_estimator.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace harrierpass::subsets {
namespace {

constexpr double leave_share = 0.3;     // of the servers too many, that leave with a query; halved in two
constexpr double press_weight = 0.06;   // of a query in the share that found no room; the last sixteen
constexpr double press_limit = 0.5;     // of the queries; fewer that find no room are the whole fleet's load
constexpr std::uint64_t look_every = 8; // queries between looks at the level; each proxy's own turn
constexpr std::uint64_t look_sweeps =
    4; // of the module, between looks at its suspicions; a fifth of a second

class chooser final : public router {
public:
    chooser(const router_settings &given, std::uint32_t seed, double now)
        : given_(given), inner_(make_router(given, seed, now)), off_(subsetting_never_helps(given)) {
        pass(now);
    }

    void on_endpoints_updated(double now, endpoint_update_kind kind,
                              std::span<const endpoint_info> entries) override {
        if (kind == endpoint_update_kind::poll_failed) {
            inner_->on_endpoints_updated(now, kind, entries);
            return pass(now);
        }
        if (is_snapshot(kind))
            for (auto &each : servers_)
                each.as.state = endpoint_state::removed;
        for (const auto &each : entries)
            note(each);
        sort();
        if (!off_ && !seen_.has_enough_samples())
            level_ = initial_level(static_cast<index>(by_distance_.size()), given_.proxy_count);
        choose(now, false);
        if (off_) {
            for (auto &each : servers_)
                each.named = each.changed = false;
            inner_->on_endpoints_updated(now, kind, entries);
            return pass(now);
        }
        std::vector<endpoint_info> told;
        for (index id = 0; id < servers_.size(); ++id) {
            auto &srv = servers_[id];
            const bool named = std::exchange(srv.named, false), changed = std::exchange(srv.changed, false);
            if (named || (changed && srv.as.state == endpoint_state::ready))
                told.push_back(entry(id));
        }
        inner_->on_endpoints_updated(now, kind, told);
        for (const auto &each : told)
            servers_[each.endpoint].told = true;
        pass(now);
    }

    void on_request(double now, const request_info &from) override {
        seen_.on_request(now, from.request, given_.request_classes[from.class_id]);
        const auto before = sends_;
        inner_->on_request(now, from);
        pass(now);
        if (off_)
            return;
        roomless_ += press_weight * ((sends_ > before ? 0 : 1) - roomless_);
        if (seen_.has_enough_samples() && seen_.request_count() % look_every == 0)
            look(now);
        if (wide_ || pressed_ != (roomless_ > press_limit))
            review(now, sends_ > before);
    }

    void on_attempt_finished(double now, index qry, index execution, outcome result, bool over, bool fetched,
                             const load_report &told) override {
        seen_.on_attempt_finished(now, qry, execution, result == outcome::completed, fetched);
        inner_->on_attempt_finished(now, qry, execution, result, over, fetched, told);
        pass(now);
    }
    void on_response_started(double now, index qry, bool fetched) override {
        inner_->on_response_started(now, qry, fetched);
        pass(now);
    }
    void on_request_body_sent(double now, index qry, double statement_end) override {
        inner_->on_request_body_sent(now, qry, statement_end);
        pass(now);
    }
    void on_client_disconnected(double now, index qry) override {
        inner_->on_client_disconnected(now, qry);
        pass(now);
    }
    void on_health_check_finished(double now, index id, bool answered, const load_report &told) override {
        inner_->on_health_check_finished(now, id, answered, told);
        pass(now);
    }
    void on_timer(double now) override {
        inner_->on_timer(now);
        pass(now);
        if (++sweeps_ % look_sweeps == 0)
            review(now, false);
    }
    // The whole list follows, and with it the servers' distances by another number.
    void update_settings(double now, const router_settings &given) override {
        const bool renumbered = given.proxy_index != given_.proxy_index;
        given_ = given;
        off_ = subsetting_never_helps(given);
        level_ = off_ ? 0 : level_;
        for (auto &each : servers_)
            if (renumbered && given_.proxy_index != none)
                each.away = distance(given_.proxy_index, each.id);
        inner_->update_settings(now, given);
        pass(now);
    }
    double attempt_write_deadline(index qry) const override { return inner_->attempt_write_deadline(qry); }
    // Guards what operators count against suspicions that nobody looks into any more.
    bool avoids_endpoint(index id) const override {
        return id < servers_.size() && servers_[id].in && inner_->avoids_endpoint(id);
    }
    bool is_ejected(index id) const override { return inner_->is_ejected(id); }
    subset_view subset() const override {
        return {
            static_cast<index>(by_distance_.size()), in_, level_, joined_, left_, widened_, pressed_count_};
    }

private:
    struct server {
        std::string id;
        endpoint_info as;                    // as last listed, but for the id
        std::uint64_t away = 0;              // its distance
        bool in = true;                      // the router may use it
        bool told = false;                   // the router has heard of it
        bool named = false, changed = false; // by the list at hand; by the choice
    };

    void note(const endpoint_info &from) {
        if (from.endpoint >= servers_.size())
            servers_.resize(from.endpoint + 1);
        auto &to = servers_[from.endpoint];
        if (to.id != from.id) {
            to = {};
            to.id = from.id;
            to.away = given_.proxy_index == none ? 0 : distance(given_.proxy_index, from.id);
            to.in = false;
        }
        to.as = from;
        to.as.id = {}; // it is the caller's
        to.named = true;
    }

    bool is_origin(const server &srv) const {
        return given_.origin_kind != none && srv.as.kind == given_.origin_kind;
    }

    endpoint_info entry(index id) const {
        const auto &srv = servers_[id];
        endpoint_info made = srv.as;
        made.id = srv.id;
        if (made.state == endpoint_state::ready && !srv.in && !is_origin(srv))
            made.state = endpoint_state::draining;
        return made;
    }

    void sort() {
        by_distance_.clear();
        for (index id = 0; id < servers_.size(); ++id) {
            if (servers_[id].as.state == endpoint_state::removed)
                servers_[id].in = false;
            if (servers_[id].as.state == endpoint_state::ready && !is_origin(servers_[id]))
                by_distance_.push_back(id);
        }
        std::ranges::sort(by_distance_, {}, [&](index id) { return std::pair(servers_[id].away, id); });
    }

    // The part of a server's work that can be counted on, by the list; by what this proxy saw of it.
    double warmth(double now, index id) const {
        const auto &srv = servers_[id];
        const bool cold = srv.as.started_at > 0 && now - srv.as.started_at < given_.slow_start.warm_up_time;
        return cold ? given_.slow_start.initial_capacity_share : 1;
    }
    double usable(double now, index id) const {
        return servers_[id].told && inner_->is_ejected(id) ? 0 : warmth(now, id);
    }

    // Which servers are in: the nearest, as many as the level says, more where these cannot do the work.
    // Those too many leave in turns, and none at which an execution is out: its silence would go unseen.
    void choose(double now, bool narrows) {
        const std::size_t all = by_distance_.size();
        distances_.clear();
        parts_.clear();
        double warm = 0;
        for (const index id : by_distance_) {
            distances_.push_back(servers_[id].away);
            parts_.push_back(usable(now, id));
            warm += warmth(now, id);
        }
        const subset_reach of =
            compute_subset_reach(distances_, parts_, all > 0 ? warm / static_cast<double>(all) : 1, level_);
        widened_ += !std::exchange(short_, of.wanted > of.preferred) && short_;
        pressed_count_ += !std::exchange(pressed_, roomless_ > press_limit) && pressed_;
        const std::size_t want = std::min(all, pressed_ ? 2 * of.wanted : of.wanted);
        std::size_t until = std::min(all, until_);
        wide_ = until > want;
        if (narrows && wide_)
            until -= static_cast<std::size_t>(std::ceil(static_cast<double>(until - want) * leave_share));
        until_ = until = off_ ? all : std::max(until, want);
        in_ = 0;
        for (std::size_t i = 0; i < all; ++i) {
            auto &srv = servers_[by_distance_[i]];
            const bool in = i < until || (srv.in && seen_.in_flight(by_distance_[i]) > 0);
            srv.changed = srv.in != in;
            joined_ += srv.changed && in;
            left_ += srv.changed && !in;
            srv.in = in;
            in_ += in;
        }
    }

    void look(double now) {
        const subset_costs given{given_.handshake_cost, given_.origin_fetch_cost,
                                 given_.upstream_idle_timeout * idle_reuse_share};
        const index best = best_level(given, seen_.estimate(now, level_),
                                      static_cast<index>(by_distance_.size()), given_.proxy_count, level_);
        if (best == level_)
            return;
        level_ = best;
        wide_ = true;
        seen_.on_level_changed(now);
    }

    // Guards the router against a ring that is laid anew for nothing: it is told of changes only.
    void review(double now, bool narrows) {
        if (off_)
            return;
        choose(now, narrows);
        std::vector<endpoint_info> told;
        for (const index id : by_distance_)
            if (std::exchange(servers_[id].changed, false))
                told.push_back(entry(id));
        if (told.empty())
            return;
        inner_->on_endpoints_updated(now, endpoint_update_kind::local,
                                     told); // guards the calls for a list that was lost
        pass(now);
    }

    // What the router decided, seen on its way to the front.
    void pass(double now) {
        for (const auto &each : inner_->actions) {
            if (each.kind == action_kind::start_attempt) {
                seen_.on_attempt_started(now, each.request, each.endpoint);
                ++sends_;
            } else if (each.kind == action_kind::release_request) {
                seen_.on_request_released(each.request);
            }
            actions.push_back(each);
        }
        inner_->actions.clear();
    }

    router_settings given_;
    std::unique_ptr<router> inner_;
    bool off_;
    std::vector<server> servers_;
    std::vector<index> by_distance_;       // those that are ready, the nearest first
    std::vector<std::uint64_t> distances_; // theirs
    std::vector<double> parts_;            // what can be counted on of each
    traffic_estimator seen_;
    index level_ = 0, in_ = 0;
    bool short_ = false;    // the preferred ones cannot do the work
    bool pressed_ = false;  // most queries find no room with them
    double roomless_ = 0;   // share of the latest queries that were not sent at once
    bool wide_ = false;     // more are in than are wanted
    std::size_t until_ = 0; // so many of the nearest are in, beside those at which an execution is out
    std::uint64_t sweeps_ = 0, sends_ = 0, joined_ = 0, left_ = 0, widened_ = 0, pressed_count_ = 0;
};

} // namespace

std::unique_ptr<router> make_subset_router(const router_settings &given, std::uint32_t seed, double now) {
    return std::make_unique<chooser>(given, seed, now);
}

} // namespace harrierpass::subsets
