// SPDX-License-Identifier: Apache-2.0
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "support/helpers.hpp"
#include "support/index_literals.hpp"

#include <cstdio>
#include <doctest/doctest.h>
#include <utility>

namespace harrierpass {
using test::read_file;

// Each trace holds its events and, indented, the decisions that must follow them.
TEST_CASE("decisions match the kept traces") {
    const std::string folder = HARRIERPASS_TRACES;
    for (const std::string name :
         {"walk",    "effects",      "timeout", "drain",      "cold",    "miss",  "origin_limit",
          "tenants", "subscription", "silence", "cancel",     "jam",     "crowd", "small_ring",
          "resets",  "errors",       "stuck",   "beyond",     "reports", "full",  "refusing",
          "adopt",   "dropped",      "faults",  "origin_rest"}) {
        CAPTURE(name);
        const std::string kept = read_file(folder + "/" + name + ".txt");
        CHECK(!kept.empty());
        CHECK(test::router_script().replay(kept) == kept);
    }
}

// A router among `peers`, and the servers s0, s1 ... that its list names.
struct side {
    explicit side(index peers, std::uint32_t seed = 1) {
        router_settings given;
        given.request_classes.push_back({effect_kind::idempotent, deduplication_scope::all, 0, 1, 1, 0});
        given.proxy_count = peers;
        given.slow_start = {0.1, 10};
        route = make_router(given, seed, 0);
    }
    void list(double now, endpoint_update_kind kind, index count, double started = 0) {
        std::vector<endpoint_info> entries(count);
        for (index i = 0; i < count; ++i) {
            entries[i].endpoint = endpoint_index(i);
            entries[i].id = names[i];
            entries[i].started_at = started;
        }
        route->on_endpoints_updated(now, kind, entries);
    }
    index ask(double now, std::uint64_t key) { // where a query goes, and it is answered; 10: nowhere
        request_info made{0_request, 0_class, 0_tenant, true, false, key, now + 100};
        route->actions.clear();
        route->on_request(now, made);
        if (route->actions.empty()) { // held
            route->on_client_disconnected(now, 0_request);
            return 10;
        }
        route->on_attempt_finished(now + 0.01, 0_request, 0_attempt, outcome::completed, true, false);
        return route->actions.at(0).endpoint.value();
    }
    const std::array<std::string, 10> names = {"s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9"};
    std::unique_ptr<router> route;
};

// What is called off, and when, at two servers that hold a query each and say nothing, after answers so quick
// that a silence of twelve of them is a twinkling; sweeps come as usual, but for one gap.
double called_off_after(double gap_at, double gap) {
    router_settings given;
    given.request_classes.push_back({effect_kind::idempotent, deduplication_scope::all, 0, 1, 1, 0});
    given.constraints.may_cancel = true;
    given.constraints.max_attempts = 3;
    const auto route = make_router(given, 1, 0);
    const std::array<endpoint_info, 2> both = {{{0_endpoint, "a"}, {1_endpoint, "b"}}};
    route->on_endpoints_updated(0, endpoint_update_kind::snapshot, both);
    double now = 0.01;
    for (std::uint64_t key = 0; key < 200; ++key, now += 0.0002) {
        route->on_request(now, {0_request, 0_class, 0_tenant, true, false, key, now + 9});
        route->on_attempt_finished(now + 0.0001, 0_request, 0_attempt, outcome::completed, true, false);
    }
    const double since = now;
    route->on_timer(now);
    route->on_request(now, {0_request, 0_class, 0_tenant, true, false, 1, now + 9});
    route->on_request(now, {1_request, 0_class, 0_tenant, true, false, 2, now + 9});
    for (route->actions.clear(); now < since + 9;
         now += now - since >= gap_at && gap > 0 ? std::exchange(gap, 0) : 0.05) {
        route->on_timer(now);
        if (std::any_of(route->actions.begin(), route->actions.end(),
                        [](const action &each) { return each.kind == action_kind::cancel_attempt; }))
            return now - since;
    }
    return now - since;
}

// Guards healthy servers' good names against pauses of a process, theirs or this proxy's own, where answers
// are quick: the SLO time is 1 s.
TEST_CASE("a pause is no silence") {
    CHECK(called_off_after(9, 0) > 0.2);
    CHECK(called_off_after(9, 0) < 0.31);
    CHECK(called_off_after(0.05, 2) > 2.14); // it slept for 2 s, and has looked for 0.2 s in all
    CHECK(called_off_after(0.05, 2) < 2.36);
}

// Queries with 3000 keys over ten servers, then over nine; a hot key among many proxies; a server that
// started.
TEST_CASE("shares of servers, of one router and of many side by side") {
    std::array<std::array<index, 3000>, 2> to{};
    std::array<int, 11> share{}, hot{}, cold{};
    side one(1);
    for (index round = 0; round < 2; ++round) {
        one.list(0, endpoint_update_kind::snapshot, 10 - round);
        for (index key = 0; key < 3000; ++key)
            share[to[round][key] = one.ask(0, key)] += round == 0;
    }
    const auto [least, most] = std::minmax_element(share.begin(), share.end() - 1);
    std::ostringstream trace;
    trace << "least and most of 300: " << *least << ' ' << *most << '\n';
    int moved = 0, needless = 0;
    for (std::size_t key = 0; key < 3000; ++key) {
        moved += to[0][key] != to[1][key];
        needless += to[0][key] != to[1][key] && to[0][key] != 9;
    }
    trace << "moved " << moved << " of the " << share[9] << " that the lost server had, needlessly "
          << needless << '\n';
    for (std::uint32_t seed = 1; seed <= 100; ++seed) {
        side each(100, seed * 7654321);
        each.list(0, endpoint_update_kind::snapshot, 10);
        for (std::uint64_t key = 0; key < 60; ++key) // every third query is for one key
            hot[each.ask(1, key % 3 == 0 ? 7 : key)] += key % 3 == 0;
        each.list(20, endpoint_update_kind::delta, 1, 20);
        for (std::uint64_t key = 0; key < 100; ++key)
            ++cold[each.ask(20.02, key * seed)];
    }
    trace << "of 2000 for one key the busiest server had " << *std::max_element(hot.begin(), hot.end() - 1)
          << '\n';
    trace << "of 10000 a server at a tenth of its capacity had " << cold[0] << ", the next " << cold[1]
          << '\n';
    CHECK(trace.str() == read_file(std::string(HARRIERPASS_TRACES) + "/balance.txt"));
}

// The adapter on a short batch with damaged lines: replies and complaints together.
TEST_CASE("the adapter answers, skips what is damaged and says so") {
    const std::string folder = HARRIERPASS_TRACES;
    const std::string command =
        std::string(HARRIERPASS_SIMULATOR_ADAPTER) + " 2>&1 < " + folder + "/wire_in.txt";
    std::string said;
    FILE *pipe = popen(command.c_str(), "r");
    REQUIRE(pipe != nullptr);
    for (std::array<char, 256> part{}; std::fgets(part.data(), part.size(), pipe) != nullptr;)
        said += part.data();
    CHECK(pclose(pipe) != 0); // the input ends inside a batch
    CHECK(said == read_file(folder + "/wire_out.txt"));
}

// Guards a server's good name: a long body on its way there and a long answer on its way back take their
// client's time. Without either guard the first sweeps after 1.2 s find it silent and probe it.
TEST_CASE("a long body or answer is no silence") {
    router_settings given;
    given.request_classes.push_back({effect_kind::idempotent, deduplication_scope::all, 0, 1, 1, 0});
    given.constraints.may_check_health = true;
    const auto probes = [&](const std::function<void(router &)> &then, bool uploading) {
        const auto route = make_router(given, 1, 0);
        const std::array<endpoint_info, 3> all = {{{0_endpoint, "a"}, {1_endpoint, "b"}, {2_endpoint, "c"}}};
        route->on_endpoints_updated(0, endpoint_update_kind::snapshot, all);
        request_info made{0_request, 0_class, 0_tenant, true, false, 5, 100};
        made.streams_body = uploading;
        route->on_request(0, made);
        REQUIRE(route->actions.back().kind == action_kind::start_attempt);
        then(*route);
        std::size_t sent = 0;
        for (double now = 0.05; now < 6; now += 0.05) {
            route->actions.clear();
            route->on_timer(now);
            sent += static_cast<std::size_t>(
                std::count_if(route->actions.begin(), route->actions.end(),
                              [](const action &each) { return each.kind == action_kind::check_health; }));
        }
        return sent;
    };
    const auto nothing = [](router &) {};
    CHECK(probes(nothing, true) == 0); // a body on its way
    CHECK(probes([](router &of) { of.on_response_started(0.01, 0_request); }, false) ==
          0);                          // an answer on its way
    CHECK(probes(nothing, false) > 0); // silence
    CHECK(probes([](router &of) { of.on_request_body_sent(0.01, 0_request, 90); }, true) >
          0); // likewise, once it is written
}

// Guards the limit on all against a slow way to another zone: half of the servers lie beyond it, and their
// answers come later and later, up to 1.6 SLO times; those at home have room all the same.
TEST_CASE("a slow way is no load") {
    const auto sent_at_once = [](zone_index home) {
        router_settings given;
        given.request_classes.push_back({effect_kind::idempotent, deduplication_scope::all, 0, 1, 1, 0});
        given.local_zone = home;
        const auto route = make_router(given, 1, 0);
        const std::array<std::string, 10> names = {"s0", "s1", "s2", "s3", "s4",
                                                   "s5", "s6", "s7", "s8", "s9"};
        std::vector<endpoint_info> entries(names.size());
        for (index i = 0; i < entries.size(); ++i) {
            entries[i].endpoint = endpoint_index(i);
            entries[i].id = names[i];
            entries[i].zone = zone_index(i % 2);
        }
        route->on_endpoints_updated(0, endpoint_update_kind::snapshot, entries);
        for (index turn = 1; turn <= 400; ++turn) {
            route->actions.clear();
            route->on_request(turn * 2, {0_request, 0_class, 0_tenant, true, false, turn * 7919ULL, 1e6});
            const index to = route->actions.at(0).endpoint.value();
            route->on_attempt_finished(turn * 2 + (to % 2 == 1 ? std::min(1.6, 0.3 + turn * 0.005) : 0.3),
                                       0_request, 0_attempt, outcome::completed, true, false);
        }
        route->on_endpoints_updated(899, endpoint_update_kind::delta, {}); // the limits are looked at anew
        index sent = 0;
        for (index key = 0; key < 30; ++key) {
            route->actions.clear();
            route->on_request(900,
                              {request_index(key), 0_class, 0_tenant, true, false, key * 104729ULL, 1e6});
            sent += !route->actions.empty();
        }
        return sent;
    };
    CHECK(sent_at_once(0_zone) > 25);
    CHECK(sent_at_once(none) <= 20); // where no zone is home, slow is slow
}

// Guards the limit on all against a few slow fetches: one of three times the SLO time leaves two fifths of
// what was in hand; as it stands in time it would leave one.
TEST_CASE("a slow fetch cuts the limit on all less than a slow server") {
    const auto goes_on = [](bool fetched) {
        side one(1);
        one.list(0, endpoint_update_kind::snapshot, 10);
        index sent = 0;
        for (index key = 0; key < 60; ++key) {
            one.route->actions.clear();
            one.route->on_request(10,
                                  {request_index(key), 0_class, 0_tenant, true, false, key * 7919ULL, 99});
            sent += !one.route->actions.empty();
        }
        REQUIRE(sent == 60);
        one.route->on_attempt_finished(13, 0_request, 0_attempt, outcome::completed, true, fetched);
        for (index key = 1; key < 38; ++key) // 22 stay in hand
            one.route->on_attempt_finished(13, request_index(key), 0_attempt, outcome::canceled, true, false);
        one.list(13, endpoint_update_kind::snapshot, 10); // the limits are looked at anew
        one.route->actions.clear();
        one.route->on_request(13, {60_request, 0_class, 0_tenant, true, false, 3, 99});
        return !one.route->actions.empty();
    };
    CHECK(goes_on(true));
    CHECK_FALSE(goes_on(false));
}

} // namespace harrierpass
