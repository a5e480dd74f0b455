// SPDX-License-Identifier: Apache-2.0
#include "router/endpoint_table.hpp"
#include "support/index_literals.hpp"

#include <doctest/doctest.h>

namespace harrierpass {
namespace {

constexpr kind_index cache_kind = 0_kind, origin_kind = 1_kind;

void add_endpoint(endpoint_table &table, endpoint_index endpoint, kind_index kind) {
    endpoint_info entry;
    entry.endpoint = endpoint;
    entry.id = "e";
    entry.kind = kind;
    auto &record = table.find_or_create(endpoint);
    record = endpoint_table::make_record(entry, adaptive_limit::for_endpoint(1), 5);
    record.info = entry;
    record.info.id = {};
}

} // namespace

TEST_CASE("endpoint table: a new record has its id, its initial limit and no silence") {
    endpoint_table table;
    add_endpoint(table, 2_endpoint, cache_kind);
    CHECK(table.end_index() == 3_endpoint);
    CHECK(table[2_endpoint].id == "e");
    CHECK(table[2_endpoint].limit.limit() == 8);
    table[2_endpoint].silence.advance(1, 6);
    CHECK(table[2_endpoint].silence.duration() == 1);
    CHECK(table[0_endpoint].id.empty());
}

TEST_CASE("endpoint table: the origin is the listed endpoint of the origin's kind") {
    endpoint_table table;
    add_endpoint(table, 0_endpoint, cache_kind);
    add_endpoint(table, 1_endpoint, origin_kind);
    table.update_origin();
    CHECK(table.origin() == none); // no origin kind is set
    table.set_origin_kind(origin_kind);
    table.update_origin();
    CHECK(table.origin() == 1_endpoint);
    CHECK(table.ready_cache_endpoints() == std::vector{0_endpoint});
    add_endpoint(table, 2_endpoint, origin_kind);
    table[1_endpoint].info.state = endpoint_state::removed;
    table.update_origin();
    CHECK(table.origin() == 2_endpoint);
    table.set_origin_kind(none);
    table.update_origin();
    CHECK(table.origin() == none);
}

TEST_CASE("endpoint table: attempts in flight count once, and the fleet's count excludes the origin") {
    endpoint_table table;
    add_endpoint(table, 0_endpoint, cache_kind);
    add_endpoint(table, 1_endpoint, origin_kind);
    table.set_origin_kind(origin_kind);
    table.update_origin();
    attempt_record cache_attempt = {0_endpoint, 5}, origin_attempt = {1_endpoint, 5};
    table.count_in_flight(cache_attempt, true, 5);
    table.count_in_flight(cache_attempt, true, 6);
    table.count_in_flight(origin_attempt, true, 6);
    CHECK(table[0_endpoint].in_flight == 1);
    CHECK(table[1_endpoint].in_flight == 1);
    CHECK(table.fleet_in_flight() == 1);
    table.set_origin_kind(none);
    table.update_origin();
    CHECK(table.fleet_in_flight() == 2);
    table.count_in_flight(cache_attempt, false, 8);
    table.count_in_flight(cache_attempt, false, 9);
    CHECK(table[0_endpoint].in_flight == 0);
    CHECK(table.fleet_in_flight() == 1);
    CHECK(table[0_endpoint].silence.duration() == 3);
}

TEST_CASE("endpoint table: endpoints that a snapshot does not list are removed") {
    endpoint_table table;
    add_endpoint(table, 0_endpoint, cache_kind);
    add_endpoint(table, 1_endpoint, cache_kind);
    table.mark_all_removed();
    table[1_endpoint].info.state = endpoint_state::ready;
    CHECK(table.ready_cache_endpoints() == std::vector{1_endpoint});
}

} // namespace harrierpass
