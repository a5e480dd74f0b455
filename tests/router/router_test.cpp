// SPDX-License-Identifier: Apache-2.0
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "support/helpers.hpp"
#include "support/index_literals.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <doctest/doctest.h>
#include <functional>
#include <memory>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace harrierpass {
using test::read_file;

// A trace contains events and, indented below each event, the expected actions.
TEST_CASE("router: actions match the recorded traces") {
    const std::string directory = HARRIERPASS_TRACES;
    for (const std::string name :
         {"walk",    "effects",      "timeout", "drain",      "cold",    "miss",  "origin_limit",
          "tenants", "subscription", "silence", "cancel",     "jam",     "crowd", "small_ring",
          "resets",  "errors",       "stuck",   "beyond",     "reports", "full",  "refusing",
          "adopt",   "dropped",      "faults",  "origin_rest"}) {
        CAPTURE(name);
        const std::string trace = read_file(directory + "/" + name + ".txt");
        CHECK(!trace.empty());
        CHECK(test::router_script().replay(trace) == trace);
    }
}

namespace {

constexpr index endpoint_count = 10;
constexpr index no_endpoint = endpoint_count; // result of router_fixture::route_request()
constexpr std::array<std::string_view, endpoint_count> endpoint_ids = {"s0", "s1", "s2", "s3", "s4",
                                                                       "s5", "s6", "s7", "s8", "s9"};

router_settings make_settings() {
    router_settings settings;
    settings.request_classes.push_back({effect_kind::idempotent, deduplication_scope::all, 0, 1, 1, 0});
    return settings;
}

// One of `proxy_count` routers, with slow start.
struct router_fixture {
    explicit router_fixture(index proxy_count, std::uint32_t seed = 1) {
        auto settings = make_settings();
        settings.proxy_count = proxy_count;
        settings.slow_start = {0.1, 10};
        subject = make_router(settings, seed, 0);
    }
    // Lists the first `count` endpoints.
    void update_endpoints(double now, endpoint_update_kind kind, index count, double started_at = 0) {
        std::vector<endpoint_info> entries(count);
        for (index i = 0; i < count; ++i) {
            entries[i].endpoint = endpoint_index(i);
            entries[i].id = endpoint_ids[i];
            entries[i].started_at = started_at;
        }
        subject->on_endpoints_updated(now, kind, entries);
    }
    // Routes and completes a request. Returns its endpoint, or no_endpoint if the request was queued.
    index route_request(double now, std::uint64_t key) {
        const request_info request{0_request, 0_class, 0_tenant, true, false, key, now + 100};
        subject->actions.clear();
        subject->on_request(now, request);
        if (subject->actions.empty()) {
            subject->on_client_disconnected(now, 0_request);
            return no_endpoint;
        }
        subject->on_attempt_finished(now + 0.01, 0_request, 0_attempt, outcome::completed, true, false);
        return subject->actions.at(0).endpoint.value();
    }
    std::unique_ptr<router> subject;
};

// Returns the time in seconds until the first attempt is canceled; without a cancellation 9 s or a little
// more. Two endpoints have one request in flight each and send nothing. Their earlier responses took 0.1 ms,
// so that a silence of twelve response times is shorter than a timer period. The timer fires every 50 ms,
// except for one pause of `pause` seconds that starts `pause_start` seconds after the requests.
double time_until_cancel(double pause_start, double pause) {
    auto settings = make_settings();
    settings.constraints.may_cancel = true;
    settings.constraints.max_attempts = 3;
    const auto subject = make_router(settings, 1, 0);
    const std::array<endpoint_info, 2> endpoints = {{{0_endpoint, "a"}, {1_endpoint, "b"}}};
    subject->on_endpoints_updated(0, endpoint_update_kind::snapshot, endpoints);
    double now = 0.01;
    for (std::uint64_t key = 0; key < 200; ++key, now += 0.0002) {
        subject->on_request(now, {0_request, 0_class, 0_tenant, true, false, key, now + 9});
        subject->on_attempt_finished(now + 0.0001, 0_request, 0_attempt, outcome::completed, true, false);
    }
    const double start = now;
    subject->on_timer(now);
    subject->on_request(now, {0_request, 0_class, 0_tenant, true, false, 1, now + 9});
    subject->on_request(now, {1_request, 0_class, 0_tenant, true, false, 2, now + 9});
    for (subject->actions.clear(); now < start + 9;
         now += now - start >= pause_start && pause > 0 ? std::exchange(pause, 0) : 0.05) {
        subject->on_timer(now);
        if (std::ranges::any_of(subject->actions, [](const action &decision) {
                return decision.kind == action_kind::cancel_attempt;
            }))
            return now - start;
    }
    return now - start;
}

} // namespace

// A short pause of an endpoint's process or of this proxy must not eject endpoints whose responses are fast.
// The latency objective is 1 s.
TEST_CASE("router: a pause of the process does not count as silence of an endpoint") {
    CHECK(time_until_cancel(9, 0) > 0.2);
    CHECK(time_until_cancel(9, 0) < 0.31);
    CHECK(time_until_cancel(0.05, 2) > 2.14); // a pause of 2 s and 0.2 s of observed silence
    CHECK(time_until_cancel(0.05, 2) < 2.36);
}

// Routes requests with 3000 keys to ten endpoints and then to nine. Among 100 proxies, routes requests for a
// hot key, and requests to an endpoint that warms up.
TEST_CASE("router: the distribution of requests among endpoints matches the recorded trace") {
    std::array<std::array<index, 3000>, 2> endpoint_of_key{};
    std::array<int, endpoint_count + 1> requests{}, hot_key_requests{}, warm_up_requests{};
    router_fixture single(1);
    for (index round = 0; round < 2; ++round) {
        single.update_endpoints(0, endpoint_update_kind::snapshot, endpoint_count - round);
        for (index key = 0; key < 3000; ++key)
            requests[endpoint_of_key[round][key] = single.route_request(0, key)] += round == 0;
    }
    const auto [least, most] = std::minmax_element(requests.begin(), requests.end() - 1);
    std::ostringstream trace;
    trace << "least and most of 300: " << *least << ' ' << *most << '\n';
    int moved = 0, moved_needlessly = 0;
    for (std::size_t key = 0; key < 3000; ++key) {
        const index before = endpoint_of_key[0][key], after = endpoint_of_key[1][key];
        moved += before != after;
        moved_needlessly += before != after && before != 9;
    }
    trace << "moved " << moved << " of the " << requests[9] << " that the lost server had, needlessly "
          << moved_needlessly << '\n';
    for (std::uint32_t seed = 1; seed <= 100; ++seed) {
        router_fixture proxy(100, seed * 7654321);
        proxy.update_endpoints(0, endpoint_update_kind::snapshot, endpoint_count);
        for (std::uint64_t key = 0; key < 60; ++key) // every third request is for key 7
            hot_key_requests[proxy.route_request(1, key % 3 == 0 ? 7 : key)] += key % 3 == 0;
        proxy.update_endpoints(20, endpoint_update_kind::delta, 1, 20); // endpoint 0 has restarted
        for (std::uint64_t key = 0; key < 100; ++key)
            ++warm_up_requests[proxy.route_request(20.02, key * seed)];
    }
    trace << "of 2000 for one key the busiest server had "
          << *std::max_element(hot_key_requests.begin(), hot_key_requests.end() - 1) << '\n';
    trace << "of 10000 a server at a tenth of its capacity had " << warm_up_requests[0] << ", the next "
          << warm_up_requests[1] << '\n';
    CHECK(trace.str() == read_file(std::string(HARRIERPASS_TRACES) + "/balance.txt"));
}

// The input is a short batch with damaged lines. Replies and error messages are read from one stream.
TEST_CASE("simulator adapter: replies to valid lines, skips damaged lines and reports them") {
    const std::string directory = HARRIERPASS_TRACES;
    const std::string command =
        std::string(HARRIERPASS_SIMULATOR_ADAPTER) + " 2>&1 < " + directory + "/wire_in.txt";
    std::string output;
    FILE *pipe = popen(command.c_str(), "r");
    REQUIRE(pipe != nullptr);
    for (std::array<char, 256> buffer{}; std::fgets(buffer.data(), buffer.size(), pipe) != nullptr;)
        output += buffer.data();
    CHECK(pclose(pipe) != 0); // the input ends inside a batch
    CHECK(output == read_file(directory + "/wire_out.txt"));
}

// The client's speed determines how long a request body or a response is streamed. If that counted as silence
// of the endpoint, the first timers after 1.2 s would eject it and check its health.
TEST_CASE("router: streaming a request body or a response does not count as silence of an endpoint") {
    auto settings = make_settings();
    settings.constraints.may_check_health = true;
    const auto count_health_checks = [&](const std::function<void(router &)> &report_event,
                                         bool streams_body) {
        const auto subject = make_router(settings, 1, 0);
        const std::array<endpoint_info, 3> endpoints = {
            {{0_endpoint, "a"}, {1_endpoint, "b"}, {2_endpoint, "c"}}};
        subject->on_endpoints_updated(0, endpoint_update_kind::snapshot, endpoints);
        request_info request{0_request, 0_class, 0_tenant, true, false, 5, 100};
        request.streams_body = streams_body;
        subject->on_request(0, request);
        REQUIRE(subject->actions.back().kind == action_kind::start_attempt);
        report_event(*subject);
        std::size_t health_checks = 0;
        for (double now = 0.05; now < 6; now += 0.05) {
            subject->actions.clear();
            subject->on_timer(now);
            health_checks += static_cast<std::size_t>(
                std::ranges::count(subject->actions, action_kind::check_health, &action::kind));
        }
        return health_checks;
    };
    const auto no_event = [](router &) {};
    const auto start_response = [](router &target) { target.on_response_started(0.01, 0_request); };
    const auto finish_body = [](router &target) { target.on_request_body_sent(0.01, 0_request, 90); };
    CHECK(count_health_checks(no_event, true) == 0);        // the request body is being streamed
    CHECK(count_health_checks(start_response, false) == 0); // the response is being streamed
    CHECK(count_health_checks(no_event, false) > 0);        // the endpoint is silent
    CHECK(count_health_checks(finish_body, true) > 0);      // silent after the end of the request body
}

// Half of the endpoints are in another zone, and their response times rise to 1.6 latency objectives because
// of the network. The fleet limit must still leave capacity for the local endpoints.
TEST_CASE("router: network latency to another zone does not lower the fleet limit") {
    const auto count_started = [](zone_index local_zone) {
        auto settings = make_settings();
        settings.local_zone = local_zone;
        const auto subject = make_router(settings, 1, 0);
        std::vector<endpoint_info> entries(endpoint_count);
        for (index i = 0; i < entries.size(); ++i) {
            entries[i].endpoint = endpoint_index(i);
            entries[i].id = endpoint_ids[i];
            entries[i].zone = zone_index(i % 2);
        }
        subject->on_endpoints_updated(0, endpoint_update_kind::snapshot, entries);
        for (index round = 1; round <= 400; ++round) {
            subject->actions.clear();
            subject->on_request(round * 2, {0_request, 0_class, 0_tenant, true, false, round * 7919ULL, 1e6});
            const index endpoint = subject->actions.at(0).endpoint.value();
            subject->on_attempt_finished(round * 2 +
                                             (endpoint % 2 == 1 ? std::min(1.6, 0.3 + round * 0.005) : 0.3),
                                         0_request, 0_attempt, outcome::completed, true, false);
        }
        subject->on_endpoints_updated(899, endpoint_update_kind::delta, {}); // refreshes the limits
        index started = 0;
        for (index key = 0; key < 30; ++key) {
            subject->actions.clear();
            subject->on_request(900,
                                {request_index(key), 0_class, 0_tenant, true, false, key * 104729ULL, 1e6});
            started += !subject->actions.empty();
        }
        return started;
    };
    CHECK(count_started(0_zone) > 25);
    CHECK(count_started(none) <= 20); // without a local zone, network latency counts as load
}

// A few slow origin fetches must not lower the fleet limit too far. One fetch of three latency objectives
// leaves two fifths of the attempts in flight; counted in full it would leave one fifth.
TEST_CASE("router: a slow origin fetch lowers the fleet limit less than a slow endpoint") {
    const auto has_capacity_after = [](bool origin_fetched) {
        router_fixture fixture(1);
        fixture.update_endpoints(0, endpoint_update_kind::snapshot, endpoint_count);
        index started = 0;
        for (index key = 0; key < 60; ++key) {
            fixture.subject->actions.clear();
            fixture.subject->on_request(
                10, {request_index(key), 0_class, 0_tenant, true, false, key * 7919ULL, 99});
            started += !fixture.subject->actions.empty();
        }
        REQUIRE(started == 60);
        fixture.subject->on_attempt_finished(13, 0_request, 0_attempt, outcome::completed, true,
                                             origin_fetched);
        for (index key = 1; key < 38; ++key) // 22 stay in flight
            fixture.subject->on_attempt_finished(13, request_index(key), 0_attempt, outcome::canceled, true,
                                                 false);
        fixture.update_endpoints(13, endpoint_update_kind::snapshot, endpoint_count); // refreshes the limits
        fixture.subject->actions.clear();
        fixture.subject->on_request(13, {60_request, 0_class, 0_tenant, true, false, 3, 99});
        return !fixture.subject->actions.empty();
    };
    CHECK(has_capacity_after(true));
    CHECK_FALSE(has_capacity_after(false));
}

} // namespace harrierpass
