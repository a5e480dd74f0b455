// SPDX-License-Identifier: Apache-2.0
#include "testbed/links/virtual_links.hpp"
#include "testbed/model/experiment_reader.hpp"

#include "support/testbed_helpers.hpp"

namespace harrierpass::testbed {
namespace {

constexpr link_id link_to_server{link_kind::proxy_server, 0, 0};
constexpr double latency = 0.01; // seconds
constexpr std::size_t message_bytes = 500;

// One proxy and one server in virtual time, with one link fault.
struct fixture {
    explicit fixture(const std::string &fault_text)
        : settings(parse_experiment("[fleet]\nservers = 1\n[proxies]\ncount = 1\n" + fault_text +
                                        request_class("lookup"),
                                    "links.toml")),
          table(settings, 1, 1), links(clock, table, 1) {
        table.on_change = [this](const link_id &id, const link_conditions &before,
                                 const link_conditions &now) {
            links.on_conditions_changed(id, before, now);
        };
    }
    // Sends a message, whose arrival time in seconds is appended to `arrivals`.
    void send(const link_id &id, direction flow, const std::function<bool()> &sender_connected = {}) {
        links.carry(
            id, flow, latency, message_bytes, [this] { arrivals.push_back(clock.now()); }, sender_connected);
    }
    void run_until(double when) { clock.advance(when, true); }

    timeline clock;
    experiment settings;
    link_table table;
    virtual_links links;
    std::vector<double> arrivals;
};

} // namespace

TEST_CASE("a message over an unimpaired link arrives after the latency") {
    fixture test(link_fault("drop", "between = [\"proxy-server\"]\n"));
    test.send(link_to_server, direction::forward);
    test.send({link_kind::proxy_list, 0, 0}, direction::forward); // not in the table
    test.run_until(1);
    REQUIRE(test.arrivals.size() == 2);
    CHECK(test.arrivals[0] == doctest::Approx(latency));
    CHECK(test.arrivals[1] == doctest::Approx(latency));
}

TEST_CASE("a slow link adds its delay and the transfer time of the message") {
    fixture test(link_fault("slow", "between = [\"proxy-server\"]\ndelay = \"100ms\"\npace = 1000\n"));
    test.table.apply(0, true);
    test.send(link_to_server, direction::backward);
    test.run_until(2);
    REQUIRE(test.arrivals.size() == 1);
    CHECK(test.arrivals[0] == doctest::Approx(latency + 0.1 + 0.5));
}

TEST_CASE("a dropped direction queues messages until the fault ends; the other direction delivers them") {
    fixture test(link_fault("one_way", "between = [\"proxy-server\"]\ndirection = \"back\"\n"));
    test.table.apply(0, true);
    CHECK(!test.links.can_connect(link_to_server));
    test.send(link_to_server, direction::backward);
    test.run_until(1);
    CHECK(test.arrivals.empty());
    test.send(link_to_server, direction::forward);
    test.run_until(2);
    CHECK(test.arrivals.size() == 1);
    test.table.apply(0, false);
    test.run_until(3);
    REQUIRE(test.arrivals.size() == 2);
    CHECK(test.arrivals[1] == doctest::Approx(2 + latency));
}

TEST_CASE("a queued message is dropped if its sender's connection has ended") {
    fixture test(link_fault("drop", "between = [\"proxy-server\"]\n"));
    test.table.apply(0, true);
    test.send(link_to_server, direction::forward, [] { return false; });
    test.send(link_to_server, direction::forward, [] { return true; });
    test.table.apply(0, false);
    test.run_until(1);
    CHECK(test.arrivals.size() == 1);
}

} // namespace harrierpass::testbed
