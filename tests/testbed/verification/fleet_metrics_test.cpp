// SPDX-License-Identifier: Apache-2.0
#include "testbed/model/experiment_reader.hpp"
#include "testbed/verification/fleet_metrics.hpp"

#include "support/testbed_helpers.hpp"

namespace harrierpass::testbed {
namespace {

// Two servers and two proxies over four seconds, in virtual time.
struct fixture {
    explicit fixture(const std::string &faults = "")
        : given(parse_experiment("length = \"4s\"\n[fleet]\nservers = 2\n[proxies]\ncount = 2\n" + faults +
                                     request_class("lookup"),
                                 "metrics.toml")),
          metrics(clock, given, 2) {}
    double value(const std::string &name, std::uint64_t requests = 1) const {
        for (const auto &[known, value] : metrics.all(requests))
            if (known == name)
                return value;
        FAIL("no metric " << name);
        return 0;
    }
    void run_until(double when) { clock.advance(when, true); }

    timeline clock;
    experiment given;
    fleet_metrics metrics;
};

} // namespace

TEST_CASE("the largest number of times within a span") {
    CHECK(max_within({}, 1) == 0);
    CHECK(max_within({0, 0.4, 0.9, 1.0, 2.5}, 1) == 3); // 1.0 is a whole span after 0
    CHECK(max_within({0, 1, 2}, 1) == 1);
}

TEST_CASE("connections: attempts a request, most within a second, most open at a server") {
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

TEST_CASE("polls of the list are counted by how they were answered") {
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

TEST_CASE("the busiest server of a second against the mean of all that got any") {
    fixture test;
    test.metrics.on_load_started();
    for (int i = 0; i < 3; ++i)
        test.metrics.on_attempt(0);
    test.metrics.on_attempt(1);
    CHECK(test.value("over_mean_most") == doctest::Approx(1.5));
}

TEST_CASE("service of proxies that a fault names stands beside that of the others") {
    fixture test(fault("proxy_kill", "1s", "for = \"1s\"\nproxies = [1]"));
    test.metrics.on_request_settled(0, 4, 4);
    test.metrics.on_request_settled(1, 1, 4);
    CHECK(test.value("struck") == doctest::Approx(0.25));
    CHECK(test.value("not_struck") == doctest::Approx(1));
}

} // namespace harrierpass::testbed
