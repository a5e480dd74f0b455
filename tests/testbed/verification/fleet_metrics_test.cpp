// SPDX-License-Identifier: Apache-2.0
#include "testbed/model/experiment_reader.hpp"
#include "testbed/verification/fleet_metrics.hpp"

#include "support/testbed_helpers.hpp"

namespace harrierpass::testbed {
namespace {

// Two servers and two proxies in virtual time; the experiment lasts 4 seconds.
struct fixture {
    explicit fixture(const std::string &faults = "")
        : settings(parse_experiment("length = \"4s\"\n[fleet]\nservers = 2\n[proxies]\ncount = 2\n" + faults +
                                        request_class("lookup"),
                                    "metrics.toml")),
          metrics(clock, settings, 2) {}
    double value(const std::string &name, std::uint64_t requests = 1) const {
        for (const auto &[metric, value] : metrics.values(requests))
            if (metric == name)
                return value;
        FAIL("no metric " << name);
        return 0;
    }
    void run_until(double time) { clock.advance(time, true); }

    timeline clock;
    experiment settings;
    fleet_metrics metrics;
};

} // namespace

TEST_CASE("max_within returns the largest number of times in a half-open interval") {
    CHECK(max_within({}, 1) == 0);
    CHECK(max_within({0, 0.4, 0.9, 1.0, 2.5}, 1) == 3); // 1.0 lies outside the interval that begins at 0
    CHECK(max_within({0, 1, 2}, 1) == 1);
}

TEST_CASE("connection metrics count connects per request, the peak in one second and the peak of open ones") {
    fixture test;
    test.metrics.on_connect(0, true);
    test.metrics.on_connection_opened(0);
    test.metrics.on_connect(0, false);
    test.run_until(2);
    test.metrics.on_connect(0, true);
    test.metrics.on_connection_opened(0);
    test.metrics.on_connection_closed(0);
    test.metrics.on_connection_opened(1);
    CHECK(test.value("dials_a_query", 6) == doctest::Approx(0.5));
    CHECK(test.value("dials_most_1s") == 2);
    CHECK(test.value("open_most") == 2);
    CHECK(test.value("dead_dials") == 1);
}

TEST_CASE("polls of the endpoint list are counted by kind of response") {
    fixture test;
    test.metrics.on_poll(list_poll::snapshot, 1024);
    test.metrics.on_poll(list_poll::watch, 512);
    test.metrics.on_poll(list_poll::rejected, 0);
    test.run_until(1);
    test.metrics.on_poll(list_poll::watch, 512);
    CHECK(test.value("list_whole") == 1);
    CHECK(test.value("list_watch") == 2);
    CHECK(test.value("list_refused") == 1);
    CHECK(test.value("list_kb") == 2);
    CHECK(test.value("list_most_100ms") == 3);
}

TEST_CASE("over_mean_most relates the busiest server of a second to the mean of the servers in use") {
    fixture test;
    test.metrics.on_load_started();
    for (int i = 0; i < 3; ++i)
        test.metrics.on_attempt(0);
    test.metrics.on_attempt(1);
    CHECK(test.value("over_mean_most") == doctest::Approx(1.5));
}

TEST_CASE("service is reported separately for the proxies that a fault names and for the others") {
    fixture test(fault("proxy_kill", "1s", "for = \"1s\"\nproxies = [1]"));
    test.metrics.on_request_settled(0, 4, 4);
    test.metrics.on_request_settled(1, 1, 4);
    CHECK(test.value("struck") == doctest::Approx(0.25));
    CHECK(test.value("not_struck") == doctest::Approx(1));
}

} // namespace harrierpass::testbed
