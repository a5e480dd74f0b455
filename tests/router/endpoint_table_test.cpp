// SPDX-License-Identifier: Apache-2.0
#include "router/endpoint_table.hpp"

#include <doctest/doctest.h>

namespace harrierpass {
namespace {

constexpr index cache_kind = 0, origin_kind = 1;

void place(endpoint_table &table, endpoint_index endpoint, index kind) {
    endpoint_info entry;
    entry.endpoint = endpoint;
    entry.id = "e";
    entry.kind = kind;
    auto &record = table.at_or_new(endpoint);
    record = endpoint_table::make_record(entry, adaptive_limit::for_endpoint(1), 5);
    record.info = entry;
    record.info.id = {};
}

} // namespace

TEST_CASE("endpoint table: a new record has its id, its limit and no silence") {
    endpoint_table table;
    place(table, 2, cache_kind);
    CHECK(table.size() == 3);
    CHECK(table[2].id == "e");
    CHECK(table[2].limit.limit() == 8);
    table[2].silence.advance(1, 6);
    CHECK(table[2].silence.time() == 1);
    CHECK(table[0].id.empty());
}

TEST_CASE("endpoint table: the origin is the listed endpoint of its kind") {
    endpoint_table table;
    place(table, 0, cache_kind);
    place(table, 1, origin_kind);
    table.update_origin();
    CHECK(table.origin() == none); // no kind is the origin's
    table.set_origin_kind(origin_kind);
    table.update_origin();
    CHECK(table.origin() == 1);
    CHECK(table.ready_cache_endpoints() == std::vector<endpoint_index>{0});
    place(table, 2, origin_kind);
    table[1].info.state = endpoint_state::removed;
    table.update_origin();
    CHECK(table.origin() == 2);
    table.set_origin_kind(none);
    table.update_origin();
    CHECK(table.origin() == none);
}

TEST_CASE("endpoint table: attempts in flight count once, and the origin's not for the fleet") {
    endpoint_table table;
    place(table, 0, cache_kind);
    place(table, 1, origin_kind);
    table.set_origin_kind(origin_kind);
    table.update_origin();
    attempt_record one = {0, 5}, other = {1, 5};
    table.count_in_flight(one, true, 5);
    table.count_in_flight(one, true, 6);
    table.count_in_flight(other, true, 6);
    CHECK(table[0].in_flight == 1);
    CHECK(table[1].in_flight == 1);
    CHECK(table.fleet_in_flight() == 1);
    table.set_origin_kind(none);
    table.update_origin();
    CHECK(table.fleet_in_flight() == 2);
    table.count_in_flight(one, false, 8);
    table.count_in_flight(one, false, 9);
    CHECK(table[0].in_flight == 0);
    CHECK(table.fleet_in_flight() == 1);
    CHECK(table[0].silence.time() == 3);
}

TEST_CASE("endpoint table: what a snapshot leaves out is removed") {
    endpoint_table table;
    place(table, 0, cache_kind);
    place(table, 1, cache_kind);
    table.mark_all_removed();
    table[1].info.state = endpoint_state::ready;
    CHECK(table.ready_cache_endpoints() == std::vector<endpoint_index>{1});
}

} // namespace harrierpass
