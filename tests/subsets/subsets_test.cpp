// SPDX-License-Identifier: Apache-2.0
// Subsets: the bounds that docs/subsets.md states, over sizes; what the choice does when servers fail, come,
// go and drain; and that it changes nothing where it cannot gain.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "subsets/coverage_report.hpp"
#include "subsets/endpoint_ranking.hpp"
#include "subsets/subset_router.hpp"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <map>
#include <random>
#include <set>

namespace harrierpass::subsets {
namespace {

constexpr subset_costs thin{0.08, 0, 3.5};

std::vector<coverage_endpoint> servers(index count, bool uneven = false) {
    std::vector<coverage_endpoint> made;
    for (index i = 0; i < count; ++i)
        made.push_back(
            {"s" + std::to_string(i * 7919), uneven ? 0.5 + i % 4 * 0.5 : 1.0, i % 3 == 0 ? 0 : 1U});
    return made;
}

// Parts as uneven as a fleet's: a few carry several times the mean.
std::vector<coverage_proxy> proxies(index count, index servers, bool uneven, double mean = 10) {
    std::minstd_rand chance(count + 7);
    std::lognormal_distribution<double> part(-0.32, uneven ? 0.8 : 0);
    std::vector<coverage_proxy> made;
    for (index me = 0; me < count; ++me) {
        const double rate = mean * part(chance);
        made.push_back({me, rate, best_level(thin, {rate, rate * 0.2, 0, 0, 0}, servers, count, 0)});
    }
    return made;
}

router_settings thin_settings(index me = 5) {
    router_settings made;
    made.request_classes.push_back({effect_kind::idempotent, deduplication_scope::all, 0, 1, 1, 0});
    made.request_classes.push_back({effect_kind::non_idempotent, deduplication_scope::all, 0, 1, 1, 0});
    made.constraints.max_attempts = 4;
    made.constraints.may_check_health = true;
    made.slow_start = {0.25, 8};
    made.proxy_count = 300;
    made.proxy_index = me;
    made.handshake_cost = 0.08;
    made.upstream_idle_timeout = 5;
    return made;
}

// One proxy with a chooser before servers that do as they are told.
struct stand {
    explicit stand(const router_settings &given, index count, std::uint32_t seed = 1) : chance(seed) {
        decides = make_subset_router(given, seed, 0);
        for (index i = 0; i < count; ++i)
            names.push_back("s" + std::to_string(i * 7919));
        std::vector<endpoint_info> all;
        for (index i = 0; i < count; ++i)
            all.push_back(entry(i));
        state.assign(count, endpoint_state::ready);
        decides->on_endpoints_updated(0, endpoint_update_kind::snapshot, all);
        obey();
    }
    endpoint_info entry(index server, endpoint_state as = endpoint_state::ready, double started = 0) const {
        endpoint_info made;
        made.endpoint = server;
        made.id = names[server];
        made.state = as;
        made.started_at = started;
        return made;
    }
    void tell(index server, endpoint_state as, double started = 0) {
        state[server] = as;
        const endpoint_info one = entry(server, as, started);
        decides->on_endpoints_updated(now, endpoint_update_kind::delta, {&one, 1});
        obey();
    }
    void obey() {
        for (std::size_t i = 0; i < decides->actions.size(); ++i) {
            const action act = decides->actions[i];
            if (act.kind == action_kind::set_timer)
                wake_at = act.time;
            else if (act.kind == action_kind::watch_endpoints)
                ++subscribes;
            else if (act.kind == action_kind::start_attempt) {
                CHECK(state[act.endpoint] ==
                      endpoint_state::ready); // drains are kept, whatever the subset does
                ++sent[act.endpoint];
                out[act.request] = {act.endpoint, runs[act.request]++};
            } else if (act.kind == action_kind::check_health) {
                probes.push_back(act.endpoint);
            } else if (act.kind == action_kind::reject_request || act.kind == action_kind::fail_request) {
                ++answered[act.request];
            } else if (act.kind == action_kind::release_request) {
                live.erase(act.request);
                free.push_back(act.request);
            }
        }
        decides->actions.clear();
    }
    void pass(double until) {
        while (wake_at <= until) {
            now = std::max(now, wake_at);
            decides->on_timer(now);
            obey();
            for (const index server : std::exchange(probes, {})) {
                decides->on_health_check_finished(now, server, !dead.contains(server));
                obey();
            }
        }
        now = until;
    }
    index ask(index use = 0) {
        if (free.empty())
            free.push_back(static_cast<index>(answered.size()));
        const index query = free.back();
        free.pop_back();
        answered.resize(std::max<std::size_t>(answered.size(), query + 1));
        answered[query] = 0;
        runs[query] = 0;
        live.insert(query);
        request_info made;
        made.request = query;
        made.class_id = use;
        made.has_key = true;
        made.key = chance() % 5000;
        made.deadline = now + 2;
        decides->on_request(now, made);
        obey();
        return query;
    }
    void end_all() {
        while (!out.empty()) {
            const auto [query, where] = *out.begin();
            out.erase(out.begin());
            const bool bad = dead.contains(where.first);
            answered[query] += !bad;
            decides->on_attempt_finished(now, query, where.second,
                                         bad ? outcome::connect_error : outcome::completed, !bad, false);
            obey();
        }
    }
    // So many queries, ten a second, each answered after 50 ms.
    void play(int queries) {
        for (int i = 0; i < queries; ++i) {
            pass(now + 0.05);
            const index query = ask();
            pass(now + 0.05);
            end_all();
            if (!live.contains(query))
                CHECK(answered[query] == 1);
        }
    }
    std::set<index> used_in(int queries) {
        sent.clear();
        play(queries);
        std::set<index> made;
        for (const auto &[server, count] : sent)
            made.insert(server);
        return made;
    }

    std::minstd_rand chance;
    std::unique_ptr<router> decides;
    std::vector<std::string> names;
    std::vector<endpoint_state> state;
    double now = 0, wake_at = 0;
    std::map<index, std::pair<index, index>> out; // by query: server and execution
    std::map<index, index> runs, sent;
    std::vector<int> answered;
    std::vector<index> free, probes;
    std::set<index> live, dead;
    std::size_t subscribes = 0; // calls for the list
};

} // namespace

TEST_CASE("at one level all servers are preferred by as many proxies, give or take one") {
    for (const index count : {1U, 2U, 3U, 7U, 24U, 63U, 64U, 65U, 200U, 300U, 520U})
        for (const index number : {1U, 3U, 16U, 100U, 200U, 400U})
            for (index level = 0; level <= max_subset_level; ++level)
                for (const auto &each : servers(number)) {
                    index by = 0;
                    for (index me = 0; me < count; ++me)
                        by += is_preferred(distance(me, each.id), level);
                    const double mean = count / std::exp2(level);
                    if (by != std::floor(mean) && by != std::ceil(mean))
                        FAIL(count << " proxies, " << number << " servers, level " << level << ": " << by);
                }
}

TEST_CASE("load stays near each server's share, and connections near those of all, at uneven traffic") {
    for (const index count : {24U, 100U, 300U, 520U})
        for (const index number : {3U, 16U, 40U, 100U, 200U, 400U})
            for (const bool uneven : {false, true}) {
                const auto all = servers(number, uneven);
                const auto now = proxies(count, number, true);
                const auto found = compute_coverage(now, all, thin);
                double users = 0, connections = 0;
                for (index i = 0; i < number; ++i) {
                    users += found.proxies_per_endpoint[i];
                    connections += found.idle_connections[i];
                }
                users /= number;
                connections /= number;
                CAPTURE(count);
                CAPTURE(number);
                CAPTURE(users);
                // As far as a sum of so many parts, so uneven, goes astray.
                const double most = *std::ranges::max_element(found.relative_load);
                CHECK(most <= 1 + 3.5 / std::sqrt(users));
                double weight = 0;
                for (const auto &each : all)
                    weight += each.weight / number;
                for (index i = 0; i < number; ++i)
                    CHECK(found.idle_connections[i] <=
                          connections * std::max(1.0, all[i].weight / weight) * (1 + 4 / std::sqrt(users)) +
                              1);
            }
}

TEST_CASE("a change moves few preferences, and other proxies' changes none") {
    for (const index count : {24U, 300U, 520U})
        for (const index number : {20U, 100U, 200U, 400U}) {
            const auto now = proxies(count, number, true);
            auto all = servers(number + 1);
            const std::vector<coverage_endpoint> before(all.begin(), all.end() - 1);
            double mean = 0;
            for (const auto &each : now)
                mean += std::exp2(-static_cast<double>(each.level));
            CAPTURE(count);
            CAPTURE(number);
            CHECK(static_cast<double>(count_new_assignments(now, before, now, all)) <=
                  mean + 4 * std::sqrt(mean) + 1);
            // One less: only those that are then short of servers take another.
            CHECK(static_cast<double>(count_new_assignments(now, all, now, before)) <= mean / 2 + 4);
            auto less = now;
            less.pop_back();
            CHECK(count_new_assignments(now, all, less, all) == 0);
        }
}

TEST_CASE("a tenth of the servers at a time: what moves is what came, and little more") {
    const auto all = servers(220);
    const std::vector<coverage_endpoint> before(all.begin(), all.begin() + 200),
        after(all.begin() + 20, all.end());
    const auto now = proxies(300, 200, true);
    std::size_t had = 0;
    for (const auto &each : now)
        had += selected_endpoints(each, before).size();
    CHECK(static_cast<double>(count_new_assignments(now, before, now, after)) <
          0.15 * static_cast<double>(had));
}

TEST_CASE("the width: narrow where handshakes cost most, none where that cannot gain") {
    const auto level = [](subset_costs at, double rate, index servers, index peers, double fetched = 0,
                          double loss = 0) {
        return best_level(at, {rate, rate * 0.2, fetched, loss, 0}, servers, peers, 0);
    };
    CHECK(level(thin, 10, 200, 300) == 4);
    CHECK(level(thin, 40, 200, 300) < level(thin, 10, 200, 300)); // busier proxies: wider
    CHECK(level(thin, 3000, 200, 300) == 0);                      // so busy that connections never rest
    CHECK(level(thin, 10, 23, 300) == 0);                         // too few servers to leave some out
    CHECK(level(thin, 10, 200, 15) == 0);                         // too few proxies to even their traffic out
    CHECK(level({0, 0, 3.5}, 10, 200, 300) == 0);
    CHECK(level({0.08, 1, 3.5}, 10, 200, 300, 0.2) == 0);         // an origin that is dear
    CHECK(level(thin, 10, 200, 300, 0.2, 0.5) == 0);              // one that is late
    CHECK(level({0.08, 0.02, 3.5}, 10, 200, 300, 0.9) > 0);       // most is fetched anyway
    CHECK(best_level(thin, {10, 30, 0, 0, 0}, 200, 300, 0) == 0); // as much in flight as half of the servers
    for (const index wrong : {150U, 450U}) // a count of proxies that is wrong by a half
        CHECK(level(thin, 10, 200, wrong, 0.5, 0.01) == level(thin, 10, 200, 300, 0.5, 0.01));
    router_settings alone = thin_settings();
    CHECK_FALSE(subsetting_never_helps(alone));
    alone.proxy_index = none;
    CHECK(subsetting_never_helps(alone));
    alone = thin_settings();
    alone.origin_kind = 1;
    CHECK(subsetting_never_helps(alone));
    alone = thin_settings();
    alone.proxy_count = 15;
    CHECK(subsetting_never_helps(alone));
}

TEST_CASE("without a price of handshakes every decision is the module's own") {
    router_settings given = thin_settings();
    given.handshake_cost = 0;
    stand chosen(given, 40), plain(given, 40);
    plain.decides = make_router(given, 1, 0);
    std::vector<endpoint_info> all;
    for (index i = 0; i < 40; ++i)
        all.push_back(plain.entry(i));
    plain.decides->on_endpoints_updated(0, endpoint_update_kind::snapshot, all);
    plain.obey();
    chosen.dead = plain.dead = {3, 4, 5};
    CHECK(chosen.used_in(300) == plain.used_in(300));
    CHECK(chosen.sent == plain.sent);
    CHECK(chosen.decides->subset().endpoints_removed == 0);
}

// Guards servers against a fleet that starts at once: first connections go where they will be kept.
TEST_CASE("a proxy that does not know its traffic starts with a part of the servers") {
    CHECK(initial_level(200, 300) == 2);
    CHECK(initial_level(200, 20) == 1); // as many proxies to each server as ever
    CHECK(initial_level(95, 300) == 0);
    CHECK(initial_level(400, 520) == 3);
    std::size_t kept = 0, met = 0;
    for (index me = 0; me < 20; ++me) {
        stand one(thin_settings(me), 200);
        CHECK(one.decides->subset().selected_endpoints >= 35); // 50, give or take the hash
        CHECK(one.decides->subset().selected_endpoints <= 65);
        const auto first = one.used_in(7);
        one.play(200);
        const auto later = one.used_in(300);
        met += first.size();
        for (const index each : first)
            kept += later.contains(each);
    }
    CHECK(kept * 5 >= met); // at level 2 of 4 a quarter is preferred for good; of all 200 a sixteenth
    router_settings whale = thin_settings(); // no price, no part
    whale.handshake_cost = 0;
    CHECK(stand(whale, 200).decides->subset().selected_endpoints == 200);
}

TEST_CASE("a thin proxy comes to use few servers, the same after its restart") {
    stand one(thin_settings(), 200), again(thin_settings(), 200, 99);
    one.play(100);
    again.play(100);
    CHECK(one.decides->subset().level == 4);
    const auto few = one.used_in(200);
    CHECK(few.size() <= 24);
    CHECK(few == again.used_in(200));
    stand other(thin_settings(6), 200);
    other.play(100);
    CHECK(other.used_in(200) != few);
}

// A server that stays in use only until what is out there has ended drew all nearer ones in again.
// Guards "drains are kept": a choice made after the list was lost is no word of the list service.
TEST_CASE("a list that was lost is asked for again, however the choice changes meanwhile") {
    router_settings given = thin_settings();
    given.constraints.watch_required = true;
    given.constraints.max_poll_interval = 0.5;
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
        stand one(given, 200, seed);
        one.play(6); // just before it becomes narrower, step by step
        one.decides->on_endpoints_updated(one.now, endpoint_update_kind::poll_failed, {});
        one.obey();
        const auto before = one.decides->subset().endpoints_removed;
        one.play(10);
        CHECK(one.decides->subset().endpoints_removed > before);
        CHECK(one.subscribes > 0);
    }
}

TEST_CASE("executions that are out while servers leave bring none back") {
    stand one(thin_settings(), 200);
    for (int i = 0; i < 7; ++i) { // all over the fleet, before the proxy knows its traffic
        one.pass(one.now + 0.1);
        one.ask();
    }
    for (int i = 0; i < 60; ++i) {
        one.pass(one.now + 0.1);
        const index query = one.ask();
        if (const auto at = one.out.find(query); at != one.out.end()) {
            const auto run = at->second.second;
            one.out.erase(at);
            ++one.answered[query];
            one.decides->on_attempt_finished(one.now, query, run, outcome::completed, true, false);
            one.obey();
        }
    }
    CHECK(one.decides->subset().level > 0);
    CHECK(one.decides->subset().endpoints_added < 300); // 1,514 without the guard; those silent bring a few
    one.end_all();
}

TEST_CASE("most of its servers dead at once: it widens by what it saw, and narrows when they are back") {
    stand one(thin_settings(), 200);
    one.play(100);
    const auto few = one.used_in(100);
    one.dead = few;
    one.dead.erase(one.dead.begin());
    one.play(60);
    const auto wide = one.decides->subset();
    CHECK(wide.widened_for_availability > 0);
    std::size_t alive = 0;
    for (const index each : one.used_in(100))
        alive += !one.dead.contains(each);
    CHECK(alive >= 6);
    one.dead.clear();
    one.play(200);
    for (index each = 0; each < 200; ++each)
        CHECK_FALSE(one.decides->avoids_endpoint(each));
    CHECK(one.decides->subset().selected_endpoints < wide.selected_endpoints);
    CHECK(one.used_in(100).size() <= few.size() + 2);
}

TEST_CASE("a lost zone turns the proxies to many servers, not to the same ones") {
    const auto all = servers(200);
    std::vector<index> more(200);
    index widened = 0;
    for (index me = 0; me < 300; ++me) {
        std::vector<std::pair<std::uint64_t, index>> nearest;
        for (index i = 0; i < all.size(); ++i)
            nearest.emplace_back(distance(me, all[i].id), i);
        std::ranges::sort(nearest);
        std::vector<std::uint64_t> distances;
        std::vector<double> parts;
        for (const auto &[away, id] : nearest) {
            distances.push_back(away);
            parts.push_back(all[id].zone == 0 ? 0 : 1);
        }
        const auto normal = compute_subset_reach(distances, std::vector<double>(200, 1.0), 1, 4).wanted;
        const auto now = compute_subset_reach(distances, parts, 1, 4).wanted;
        CHECK(now < 2.5 * static_cast<double>(normal) + 8);
        for (auto i = normal; i < now; ++i) {
            ++more[nearest[i].second];
            ++widened;
        }
    }
    CHECK(widened > 0);
    CHECK(*std::ranges::max_element(more) <= 12 + 3 * widened / 200);
}

TEST_CASE("a fleet that is mostly cold is no reason to use all of it") {
    stand one(thin_settings(), 200);
    one.play(100);
    const auto before = one.decides->subset().selected_endpoints;
    for (index i = 0; i < 140; ++i)
        one.tell(i, endpoint_state::ready, one.now);
    one.play(20);
    CHECK(one.decides->subset().selected_endpoints <= 2 * before);
}

TEST_CASE("any order of servers that come, go, drain and fail: rules kept, nothing left out") {
    for (std::uint32_t seed = 1; seed <= 8; ++seed) {
        stand one(thin_settings(seed), 60, seed);
        std::minstd_rand chance(seed);
        for (int step = 0; step < 600; ++step) {
            const index server = chance() % 60;
            switch (chance() % 6) {
            case 0:
                one.tell(server, endpoint_state::draining);
                break;
            case 1:
                one.tell(server, endpoint_state::removed);
                break;
            case 2:
                one.tell(server, endpoint_state::ready, one.now);
                break;
            case 3:
                if (!one.dead.insert(server).second)
                    one.dead.erase(server);
                break;
            default:
                break;
            }
            one.ask(chance() % 2);
            one.pass(one.now + 0.05);
            if (chance() % 3 != 0)
                one.end_all();
        }
        one.end_all();
        one.pass(one.now + 4);
        one.end_all();
        one.pass(one.now + 1);
        CHECK(one.live.empty());
        for (const int each : one.answered)
            CHECK(each == 1);
        const auto now = one.decides->subset();
        CHECK(now.ready_endpoints ==
              static_cast<index>(std::ranges::count(one.state, endpoint_state::ready)));
        CHECK(now.selected_endpoints >= std::min<index>(6, now.ready_endpoints));
    }
}

} // namespace harrierpass::subsets
