// SPDX-License-Identifier: Apache-2.0
#include "subsets/chooser.hpp"

#include "subsets/order.hpp"
#include "subsets/seen.hpp"

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
    chooser(const settings &given, std::uint32_t seed, double now)
        : given_(given), inner_(make_router(given, seed, now)), off_(never_gains(given)) {
        pass(now);
    }

    void listed(double now, list_kind kind, std::span<const list_entry> entries) override {
        if (kind == list_kind::lost) {
            inner_->listed(now, kind, entries);
            return pass(now);
        }
        if (is_whole(kind))
            for (auto &each : servers_)
                each.as.state = listing::gone;
        for (const auto &each : entries)
            note(each);
        sort();
        if (!off_ && !seen_.enough())
            level_ = first_level(static_cast<index>(by_distance_.size()), given_.peers);
        choose(now, false);
        if (off_) {
            for (auto &each : servers_)
                each.named = each.changed = false;
            inner_->listed(now, kind, entries);
            return pass(now);
        }
        std::vector<list_entry> told;
        for (index id = 0; id < servers_.size(); ++id) {
            auto &srv = servers_[id];
            const bool named = std::exchange(srv.named, false), changed = std::exchange(srv.changed, false);
            if (named || (changed && srv.as.state == listing::ready))
                told.push_back(entry(id));
        }
        inner_->listed(now, kind, told);
        for (const auto &each : told)
            servers_[each.server].told = true;
        pass(now);
    }

    void arrived(double now, const new_query &from) override {
        seen_.arrived(now, from.query, given_.use_cases[from.use_case]);
        const auto before = sends_;
        inner_->arrived(now, from);
        pass(now);
        if (off_)
            return;
        roomless_ += press_weight * ((sends_ > before ? 0 : 1) - roomless_);
        if (seen_.enough() && seen_.queries() % look_every == 0)
            look(now);
        if (wide_ || pressed_ != (roomless_ > press_limit))
            review(now, sends_ > before);
    }

    void ended(double now, index qry, index execution, outcome result, bool over, bool fetched,
               const load_report &told) override {
        seen_.ended(now, qry, execution, result == outcome::completed, fetched);
        inner_->ended(now, qry, execution, result, over, fetched, told);
        pass(now);
    }
    void begun(double now, index qry, bool fetched) override {
        inner_->begun(now, qry, fetched);
        pass(now);
    }
    void written(double now, index qry, double statement_end) override {
        inner_->written(now, qry, statement_end);
        pass(now);
    }
    void left(double now, index qry) override {
        inner_->left(now, qry);
        pass(now);
    }
    void probed(double now, index id, bool answered, const load_report &told) override {
        inner_->probed(now, id, answered, told);
        pass(now);
    }
    void woken(double now) override {
        inner_->woken(now);
        pass(now);
        if (++sweeps_ % look_sweeps == 0)
            review(now, false);
    }
    // The whole list follows, and with it the servers' distances by another number.
    void adopt(double now, const settings &given) override {
        const bool renumbered = given.me != given_.me;
        given_ = given;
        off_ = never_gains(given);
        level_ = off_ ? 0 : level_;
        for (auto &each : servers_)
            if (renumbered && given_.me != none)
                each.away = distance(given_.me, each.id);
        inner_->adopt(now, given);
        pass(now);
    }
    double write_by(index qry) const override { return inner_->write_by(qry); }
    // Guards what operators count against suspicions that nobody looks into any more.
    bool avoids(index id) const override {
        return id < servers_.size() && servers_[id].in && inner_->avoids(id);
    }
    bool suspects(index id) const override { return inner_->suspects(id); }
    subset_view subset() const override {
        return {
            static_cast<index>(by_distance_.size()), in_, level_, joined_, left_, widened_, pressed_count_};
    }

private:
    struct server {
        std::string id;
        list_entry as;                       // as last listed, but for the id
        std::uint64_t away = 0;              // its distance
        bool in = true;                      // the router may use it
        bool told = false;                   // the router has heard of it
        bool named = false, changed = false; // by the list at hand; by the choice
    };

    void note(const list_entry &from) {
        if (from.server >= servers_.size())
            servers_.resize(from.server + 1);
        auto &to = servers_[from.server];
        if (to.id != from.id) {
            to = {};
            to.id = from.id;
            to.away = given_.me == none ? 0 : distance(given_.me, from.id);
            to.in = false;
        }
        to.as = from;
        to.as.id = {}; // it is the caller's
        to.named = true;
    }

    bool is_origin(const server &srv) const {
        return given_.origin_kind != none && srv.as.kind == given_.origin_kind;
    }

    list_entry entry(index id) const {
        const auto &srv = servers_[id];
        list_entry made = srv.as;
        made.id = srv.id;
        if (made.state == listing::ready && !srv.in && !is_origin(srv))
            made.state = listing::draining;
        return made;
    }

    void sort() {
        by_distance_.clear();
        for (index id = 0; id < servers_.size(); ++id) {
            if (servers_[id].as.state == listing::gone)
                servers_[id].in = false;
            if (servers_[id].as.state == listing::ready && !is_origin(servers_[id]))
                by_distance_.push_back(id);
        }
        std::ranges::sort(by_distance_, {}, [&](index id) { return std::pair(servers_[id].away, id); });
    }

    // The part of a server's work that can be counted on, by the list; by what this proxy saw of it.
    double warmth(double now, index id) const {
        const auto &srv = servers_[id];
        const bool cold = srv.as.started > 0 && now - srv.as.started < given_.cold.warm_time;
        return cold ? given_.cold.start_capacity : 1;
    }
    double usable(double now, index id) const {
        return servers_[id].told && inner_->suspects(id) ? 0 : warmth(now, id);
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
        const reach of = reach_of(distances_, parts_, all > 0 ? warm / static_cast<double>(all) : 1, level_);
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
        const prices given{given_.handshake_price, given_.origin_price, given_.idle_limit * kept_idle_share};
        const index best = best_level(given, seen_.now(now, level_), static_cast<index>(by_distance_.size()),
                                      given_.peers, level_);
        if (best == level_)
            return;
        level_ = best;
        wide_ = true;
        seen_.moved(now);
    }

    // Guards the router against a ring that is laid anew for nothing: it is told of changes only.
    void review(double now, bool narrows) {
        if (off_)
            return;
        choose(now, narrows);
        std::vector<list_entry> told;
        for (const index id : by_distance_)
            if (std::exchange(servers_[id].changed, false))
                told.push_back(entry(id));
        if (told.empty())
            return;
        inner_->listed(now, list_kind::own, told); // guards the calls for a list that was lost
        pass(now);
    }

    // What the router decided, seen on its way to the front.
    void pass(double now) {
        for (const auto &each : inner_->actions) {
            if (each.kind == action_kind::send) {
                seen_.sent(now, each.query, each.server);
                ++sends_;
            } else if (each.kind == action_kind::release) {
                seen_.over(each.query);
            }
            actions.push_back(each);
        }
        inner_->actions.clear();
    }

    settings given_;
    std::unique_ptr<router> inner_;
    bool off_;
    std::vector<server> servers_;
    std::vector<index> by_distance_;       // those that are ready, the nearest first
    std::vector<std::uint64_t> distances_; // theirs
    std::vector<double> parts_;            // what can be counted on of each
    seen_traffic seen_;
    index level_ = 0, in_ = 0;
    bool short_ = false;    // the preferred ones cannot do the work
    bool pressed_ = false;  // most queries find no room with them
    double roomless_ = 0;   // share of the latest queries that were not sent at once
    bool wide_ = false;     // more are in than are wanted
    std::size_t until_ = 0; // so many of the nearest are in, beside those at which an execution is out
    std::uint64_t sweeps_ = 0, sends_ = 0, joined_ = 0, left_ = 0, widened_ = 0, pressed_count_ = 0;
};

} // namespace

std::unique_ptr<router> make_chooser(const settings &given, std::uint32_t seed, double now) {
    return std::make_unique<chooser>(given, seed, now);
}

} // namespace harrierpass::subsets
