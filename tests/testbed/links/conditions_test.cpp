// SPDX-License-Identifier: Apache-2.0
#include "testbed/links/conditions.hpp"
#include "testbed/model/experiment_reader.hpp"

#include "support/testbed_helpers.hpp"

namespace harrierpass::testbed {
namespace {

constexpr link_id faulty_link{link_kind::proxy_server, 0, 1};
const std::string faulty_link_keys = "between = [\"proxy-server\"]\nproxies = [0]\nservers = [1]\n";

// An experiment with two proxies, two servers and the given link faults.
experiment with_links(const std::string &faults) {
    return parse_experiment("[fleet]\nservers = 2\n[proxies]\ncount = 2\n" + faults + request_class("lookup"),
                            "links.toml");
}

} // namespace

TEST_CASE("the table contains only links that a fault affects") {
    const experiment settings = with_links(link_fault("drop", faulty_link_keys));
    link_table table(settings, 2, 1);
    CHECK(table.size() == 1);
    CHECK(table.link_ids() == std::vector<link_id>{faulty_link});
    CHECK(table.contains(faulty_link));
    const link_id other{link_kind::proxy_server, 0, 0};
    CHECK(!table.contains(other));
    table.apply(0, true);
    CHECK(!table.conditions(other).impaired());
}

TEST_CASE("a fault that begins twice is in force until it has ended twice") {
    const experiment settings = with_links(link_fault("drop", faulty_link_keys));
    link_table table(settings, 2, 1);
    int changes = 0;
    table.on_change = [&](const link_id &id, const link_conditions &before, const link_conditions &now) {
        ++changes;
        CHECK(id == faulty_link);
        CHECK(before.impaired() != now.impaired());
    };
    table.apply(0, true);
    CHECK(!table.conditions(faulty_link).can_connect());
    table.apply(0, true);
    table.apply(0, false);
    CHECK(!table.conditions(faulty_link).can_connect());
    CHECK(changes == 1);
    table.apply(0, false);
    CHECK(!table.conditions(faulty_link).impaired());
    CHECK(changes == 2);
}

TEST_CASE("overlapping slow faults: delays add up, and the lowest rate applies") {
    const experiment settings = with_links(
        link_fault("slow", faulty_link_keys + "delay = \"100ms\"\npace = 2000\n") +
        link_fault("slow", faulty_link_keys + "delay = \"50ms\"\npace = 1000\ndirection = \"there\"\n"));
    link_table table(settings, 2, 1);
    table.apply(0, true);
    table.apply(1, true);
    const link_conditions &now = table.conditions(faulty_link);
    CHECK(now.forward.delay == doctest::Approx(0.15));
    CHECK(now.forward.bytes_per_second == 1000);
    CHECK(now.backward.delay == doctest::Approx(0.1));
    CHECK(now.backward.bytes_per_second == 2000);
    CHECK(now.can_connect());
    table.apply(1, false);
    CHECK(table.conditions(faulty_link).forward.bytes_per_second == 2000);
}

TEST_CASE("a partition affects exactly the links between its group and the other ends") {
    const experiment settings = with_links(link_fault("partition", "proxies = [0]\nservers = [0]\n"));
    link_table table(settings, 2, 1);
    CHECK(table.contains({link_kind::proxy_server, 0, 1}));
    CHECK(table.contains({link_kind::proxy_server, 1, 0}));
    CHECK(!table.contains({link_kind::proxy_server, 0, 0}));
    CHECK(!table.contains({link_kind::proxy_server, 1, 1}));
    CHECK(table.contains({link_kind::proxy_list, 0, 0}));
    CHECK(!table.contains({link_kind::proxy_list, 1, 0}));
    CHECK(!table.contains({link_kind::client_proxy, 0, 0}));
}

TEST_CASE("a datagram is subject to the link faults of its sender and its receiver") {
    const std::string between = "between = [\"proxy-proxy\"]\nproxies = [0]\n";
    const experiment settings =
        with_links(link_fault("datagrams", between + "direction = \"there\"\nlost = 0.25\n") +
                   link_fault("datagrams", between + "direction = \"back\"\ndoubled = 0.5\n"));
    link_table table(settings, 2, 1);
    table.apply(0, true);
    table.apply(1, true);
    CHECK(table.datagram_conditions(0, 1).loss_share == 0.25);
    CHECK(table.datagram_conditions(0, 1).duplicate_share == 0);
    CHECK(table.datagram_conditions(1, 0).loss_share == 0);
    CHECK(table.datagram_conditions(1, 0).duplicate_share == 0.5);
}

} // namespace harrierpass::testbed
