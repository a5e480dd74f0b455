// SPDX-License-Identifier: Apache-2.0
#include "proxy/discovery/endpoint_list.hpp"

#include "base/text.hpp"

#include <doctest/doctest.h>

namespace harrierpass::proxy {
namespace {

configuration named_zones_and_kinds() {
    configuration names;
    names.zones = {"east", "we\"st"};
    names.kinds = {"small", "large"};
    return names;
}

} // namespace

TEST_CASE("endpoint list: reading a written list restores every field") {
    const configuration names = named_zones_and_kinds();
    endpoint_list list;
    list.revision = 18446744073709551615U;
    list.is_snapshot = true;
    list.items = {{"a\\\"\n", "127.0.0.1:80", {}}, {"b", "[::1]:81", {}}};
    list.items[0].info.zone = zone_index(1);
    list.items[0].info.kind = kind_index(0);
    list.items[0].info.cell = cell_index(7);
    list.items[0].info.weight = 0.1;
    list.items[0].info.started_at = 1785000000.125;
    list.items[1].info.state = endpoint_state::draining;

    const endpoint_list read = read_endpoint_list(read_json(write_endpoint_list(list, names)), names);
    CHECK(read.revision == list.revision);
    CHECK(read.is_snapshot);
    REQUIRE(read.items.size() == list.items.size());
    for (std::size_t i = 0; i < list.items.size(); ++i) {
        const auto &expected = list.items[i], &actual = read.items[i];
        CHECK(actual.id == expected.id);
        CHECK(actual.host_port == expected.host_port);
        CHECK(actual.info.state == expected.info.state);
        CHECK(actual.info.zone == expected.info.zone);
        CHECK(actual.info.kind == expected.info.kind);
        CHECK(actual.info.cell == expected.info.cell);
        CHECK(actual.info.weight == expected.info.weight);
        CHECK(actual.info.started_at == expected.info.started_at);
    }
}

TEST_CASE("endpoint list: invalid entries are skipped, messages that are not a list are rejected") {
    const configuration names = named_zones_and_kinds();
    const endpoint_list list = read_endpoint_list(read_json(R"({"revision":3,"complete":false,"members":[
            {"id":"","host_port":"127.0.0.1:1","phase":"active"},
            {"id":"a","host_port":"127.0.0.1:1","phase":"resting"},
            {"id":"b","host_port":"127.0.0.1:1","phase":"left"},
            {"id":"c","host_port":"127.0.0.1:1","phase":"active","locality":"north","cell":-4}]})"),
                                                  names);
    CHECK(list.revision == 3);
    CHECK_FALSE(list.is_snapshot);
    REQUIRE(list.items.size() == 2);
    CHECK(list.items[0].info.state == endpoint_state::removed);
    CHECK(list.items[1].info.state == endpoint_state::ready);
    CHECK(list.items[1].info.zone == none);
    CHECK(list.items[1].info.cell == none);
    CHECK(list.items[1].info.weight == 1);
    for (const char *text : {R"({"revision":3})", R"({"revision":3,"members":{}})",
                             R"({"revision":"x","members":[]})", R"({"members":[]})"})
        CHECK_THROWS_AS(static_cast<void>(read_endpoint_list(read_json(text), names)), parse_error);
}

} // namespace harrierpass::proxy
