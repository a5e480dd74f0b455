// SPDX-License-Identifier: Apache-2.0
#include "testbed/runs/baseline_policies.hpp"

#include "subsets/subset_router.hpp"
#include "testbed/model/random.hpp"

#include <algorithm>
#include <cmath>
#include <queue>

namespace harrierpass::testbed {
namespace {

constexpr double sweep = 0.05;    // s between looks for queries whose time is up
constexpr double margin = 0.06;   // s before its client's end at which a query gets its final answer
constexpr index points = 160;     // of a server on the plain ring
constexpr std::size_t walked = 3; // candidates on the plain ring
constexpr double ask_gap = 1;     // s until the list is asked for again after a loss

class baseline final : public router {
public:
    baseline(policy_kind by, router_settings settings, std::uint32_t seed, double now)
        : by_(by), settings_(std::move(settings)), random_(seed), ask_at_(now) {
        wake(now);
    }

    void on_endpoints_updated(double now, endpoint_update_kind kind,
                              std::span<const endpoint_info> entries) override {
        if (kind == endpoint_update_kind::poll_failed) {
            ask_at_ = now + ask_gap;
            return;
        }
        if (kind != endpoint_update_kind::cached_snapshot && kind != endpoint_update_kind::local)
            ask_at_ = 1e18;
        if (is_snapshot(kind))
            for (auto &each : servers_)
                each.state = endpoint_state::removed;
        for (const auto &each : entries) {
            const index position = each.endpoint.value();
            if (position >= servers_.size())
                servers_.resize(position + 1);
            auto &to = servers_[position];
            to.id = each.id;
            to.state = each.state;
            to.cell = each.cell;
            to.zone = each.zone;
            to.is_origin = settings_.origin_kind != none && each.kind == settings_.origin_kind;
        }
        ready_.clear();
        ring_.clear();
        origin_ = none;
        for (index i = 0; i < servers_.size(); ++i) {
            if (servers_[i].state != endpoint_state::ready)
                continue;
            if (servers_[i].is_origin) {
                origin_ = i;
                continue;
            }
            ready_.push_back(i);
            for (index k = 0; by_ == policy_kind::plain_ring && k < points; ++k)
                ring_.emplace_back(ring_hash(servers_[i].id + ":" + std::to_string(k)), i);
        }
        std::sort(ring_.begin(), ring_.end());
    }

    void on_request(double now, const request_info &from) override {
        const index id = from.request.value();
        if (id >= queries_.size())
            queries_.resize(id + 1);
        auto &qry = queries_[id];
        const auto generation = qry.generation + 1;
        qry = {};
        qry.generation = generation;
        qry.is = from;
        qry.live = true;
        qry.to_origin = from.is_write && settings_.origin_kind != none;
        due_.push({from.deadline - margin, id, generation});
        place(now, id);
    }

    void on_attempt_finished(double now, request_index request, attempt_number number, outcome result,
                             bool over, bool, const load_report &) override {
        const index id = request.value();
        auto &qry = queries_[id];
        if (!qry.live || number.value() >= qry.sent || !qry.out)
            return;
        qry.out = false;
        --servers_[qry.last].in_flight;
        --in_flight_;
        qry.doubt = qry.doubt || !known_not_executed(result);
        if (over || qry.answered)
            return release(id);
        if (result == outcome::cache_miss && origin_ != none && !qry.to_origin)
            qry.to_origin = true;
        else if (!known_not_executed(result))
            return finish(id);
        place(now, id);
    }
    void on_response_started(double, request_index, bool) override {}
    void on_client_disconnected(double, request_index request) override {
        const index id = request.value();
        queries_[id].answered = true;
        if (!queries_[id].out)
            release(id);
    }
    void on_health_check_finished(double, endpoint_index, bool, const load_report &) override {}
    void on_timer(double now) override {
        wake(now);
        if (now >= ask_at_) {
            actions.push_back({.kind = action_kind::watch_endpoints});
            ask_at_ = now + 4 * ask_gap;
        }
        while (!due_.empty() && due_.top().at <= now) {
            const due top = due_.top();
            due_.pop();
            const auto &qry = queries_[top.query];
            if (qry.live && qry.generation == top.generation && !qry.answered)
                finish(top.query);
        }
    }

private:
    struct server {
        std::string id;
        endpoint_state state = endpoint_state::removed;
        cell_index cell = none;
        zone_index zone = none;
        index in_flight = 0;
        bool is_origin = false;
    };
    struct query {
        request_info is;
        bool live = false, out = false, doubt = false, answered = false, to_origin = false;
        index sent = 0, last = none, generation = 0;
        std::vector<index> tried;
    };
    struct due {
        double at;
        index query, generation;
        bool operator<(const due &that) const { return at > that.at; }
    };

    void wake(double now) { actions.push_back({.kind = action_kind::set_timer, .time = now + sweep}); }

    void place(double now, index id) {
        auto &qry = queries_[id];
        index to = qry.to_origin ? origin_ : choose(qry);
        const bool may = qry.sent < settings_.constraints.max_attempts && now < qry.is.deadline - margin;
        if (!may || to == none)
            return finish(id);
        qry.out = true;
        qry.last = to;
        ++qry.sent;
        qry.tried.push_back(to);
        ++servers_[to].in_flight;
        ++in_flight_;
        actions.push_back({.kind = action_kind::start_attempt,
                           .request = request_index(id),
                           .endpoint = endpoint_index(to)});
    }

    index choose(const query &qry) {
        const auto tried = [&](index id) {
            return std::find(qry.tried.begin(), qry.tried.end(), id) != qry.tried.end();
        };
        std::vector<index> open;
        if (by_ == policy_kind::plain_ring) {
            const std::uint64_t key = qry.is.has_key ? ring_hash(std::to_string(qry.is.key))
                                                     : ring_hash(std::to_string(random_.seed()));
            auto at = std::upper_bound(ring_.begin(), ring_.end(), std::pair(key, index{none}));
            std::vector<index> found;
            const auto wanted = std::min(walked, ready_.size());
            for (std::size_t seen = 0; seen < ring_.size() && found.size() < wanted; ++seen) {
                if (at == ring_.begin())
                    at = ring_.end();
                --at;
                if (std::find(found.begin(), found.end(), at->second) == found.end())
                    found.push_back(at->second);
            }
            const double most =
                std::max(2.0, std::ceil(2 * (in_flight_ + 1.0) / static_cast<double>(ready_.size())));
            index least = none;
            for (const index id : found) {
                if (tried(id))
                    continue;
                if (servers_[id].in_flight + 1 <= most)
                    return id;
                if (least == none || servers_[id].in_flight < servers_[least].in_flight)
                    least = id;
            }
            return least;
        }
        for (const index id : ready_)
            if (!tried(id))
                open.push_back(id);
        if (open.empty())
            return none;
        const auto size = static_cast<std::uint32_t>(open.size());
        const index one = open[random_.below(size)];
        if (by_ == policy_kind::random)
            return one;
        const index two = open[random_.below(size)];
        return servers_[two].in_flight < servers_[one].in_flight ? two : one;
    }

    void finish(index id) {
        auto &qry = queries_[id];
        const bool rejects = !qry.out && !qry.doubt;
        actions.push_back({.kind = rejects ? action_kind::reject_request : action_kind::fail_request,
                           .request = request_index(id),
                           .time = rejects ? settings_.constraints.max_retry_after : 0});
        qry.answered = true;
        if (!qry.out)
            release(id);
    }

    void release(index id) {
        queries_[id].live = false;
        actions.push_back({.kind = action_kind::release_request, .request = request_index(id)});
    }

    const policy_kind by_;
    const router_settings settings_;
    random_generator random_;
    double ask_at_;
    std::vector<server> servers_;
    std::vector<index> ready_;
    std::vector<std::pair<std::uint64_t, index>> ring_;
    std::vector<query> queries_;
    std::priority_queue<due> due_;
    index origin_ = none;
    std::uint64_t in_flight_ = 0;
};

} // namespace

std::unique_ptr<router> make_policy(policy_kind by, const router_settings &settings, std::uint32_t seed,
                                    double now) {
    if (by == policy_kind::module)
        return subsets::make_subset_router(settings, seed, now);
    if (by == policy_kind::full_list)
        return make_router(settings, seed, now);
    return std::make_unique<baseline>(by, settings, seed, now);
}

policy_factory policy_factory_for(policy_kind by) {
    switch (by) {
    case policy_kind::random:
        return [](const router_settings &settings, std::uint32_t seed, double now) {
            return make_policy(policy_kind::random, settings, seed, now);
        };
    case policy_kind::less_loaded_of_two:
        return [](const router_settings &settings, std::uint32_t seed, double now) {
            return make_policy(policy_kind::less_loaded_of_two, settings, seed, now);
        };
    case policy_kind::plain_ring:
        return [](const router_settings &settings, std::uint32_t seed, double now) {
            return make_policy(policy_kind::plain_ring, settings, seed, now);
        };
    case policy_kind::full_list:
        return make_router;
    case policy_kind::module:
        break;
    }
    return subsets::make_subset_router;
}

policy_factory policy_factory_for(const std::string &name) {
    return policy_factory_for(parse_policy_kind(name));
}

} // namespace harrierpass::testbed
