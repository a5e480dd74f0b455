// SPDX-License-Identifier: Apache-2.0
// Lifetime of slots: assignment to endpoints, retirement, and reuse for other endpoints.
#include "proxy/discovery/endpoint_registry.hpp"
#include "support/index_literals.hpp"

#include <doctest/doctest.h>
#include <set>

namespace harrierpass::proxy {
namespace {

struct registry_fixture {
    std::set<endpoint_index> referenced;
    endpoint_registry registry{[this](endpoint_index slot) { return referenced.contains(slot); }};

    // Applies a list as the discovery client does; returns the slots that it retired.
    std::vector<endpoint_index> apply(const endpoint_list &list) {
        if (list.is_snapshot)
            registry.clear_listed();
        for (const auto &entry : list.items) {
            const bool removed = entry.info.state == endpoint_state::removed;
            if (removed && !registry.slot_of(entry.id))
                continue;
            endpoint_info info = entry.info;
            info.endpoint = registry.acquire_slot(entry.id);
            if (removed)
                registry.remove_listed(entry.id);
            else
                registry.set_listed(entry.id, info, entry.host_port);
        }
        return registry.retire_missing(list, list.is_snapshot);
    }
    std::vector<endpoint_index> apply_snapshot(const std::vector<std::string> &ids) {
        return apply(list_of(ids, endpoint_state::ready, true));
    }
    std::vector<endpoint_index> apply_delta(const std::vector<std::string> &ids, endpoint_state state) {
        return apply(list_of(ids, state, false));
    }
    static endpoint_list list_of(const std::vector<std::string> &ids, endpoint_state state,
                                 bool is_snapshot) {
        endpoint_list list;
        list.is_snapshot = is_snapshot;
        for (const auto &id : ids) {
            list.items.push_back({id, "127.0.0.1:1", {}});
            list.items.back().info.state = state;
        }
        return list;
    }
};

} // namespace

TEST_CASE("endpoint registry: an endpoint keeps its slot for as long as it is listed") {
    registry_fixture fixture;
    CHECK(fixture.apply_snapshot({"a", "b"}).empty());
    CHECK(fixture.registry.slot_of("a") == 0_endpoint);
    CHECK(fixture.registry.slot_of("b") == 1_endpoint);
    CHECK(fixture.apply_delta({"c"}, endpoint_state::ready).empty());
    CHECK(fixture.apply_delta({"a"}, endpoint_state::draining).empty());
    CHECK(fixture.registry.slot_of("a") == 0_endpoint);
    CHECK(fixture.registry.listed().at("a").info.state == endpoint_state::draining);
    CHECK(fixture.registry.listed().size() == 3);
    CHECK(fixture.registry.slot_count() == 3);
    CHECK_FALSE(fixture.registry.slot_of("d"));
}

TEST_CASE("endpoint registry: a retired slot is reused for another endpoint once nothing refers to it") {
    registry_fixture fixture;
    fixture.apply_snapshot({"a", "b"});
    fixture.referenced = {0_endpoint};
    CHECK(fixture.apply_snapshot({"b"}) == std::vector{0_endpoint});
    CHECK(fixture.registry.slot_of("a") == 0_endpoint); // until another endpoint gets the slot
    CHECK_FALSE(fixture.registry.listed().contains("a"));
    fixture.apply_snapshot({"b", "c"});
    CHECK(fixture.registry.slot_of("c") == 2_endpoint);
    fixture.referenced.clear();
    fixture.apply_snapshot({"b", "c", "d"});
    CHECK(fixture.registry.slot_of("d") == 0_endpoint);
    CHECK_FALSE(fixture.registry.slot_of("a"));
    CHECK(fixture.registry.slot_count() == 3);
}

TEST_CASE("endpoint registry: an endpoint that is listed again gets its retired slot") {
    registry_fixture fixture;
    fixture.apply_snapshot({"a", "b"});
    CHECK(fixture.apply_delta({"a"}, endpoint_state::removed) == std::vector{0_endpoint});
    fixture.apply_delta({"a", "c"}, endpoint_state::ready);
    CHECK(fixture.registry.slot_of("a") == 0_endpoint);
    CHECK(fixture.registry.slot_of("c") == 2_endpoint);
}

TEST_CASE("endpoint registry: an endpoint that was never listed has no slot to retire") {
    registry_fixture fixture;
    fixture.apply_snapshot({"a"});
    CHECK(fixture.apply_delta({"z"}, endpoint_state::removed).empty());
    CHECK(fixture.registry.slot_count() == 1);
}

TEST_CASE("endpoint registry: a slot is retired once even if a list removes its endpoint twice") {
    registry_fixture fixture;
    fixture.apply_snapshot({"a", "b"});
    CHECK(fixture.apply_delta({"b", "b"}, endpoint_state::removed) == std::vector{1_endpoint});
    // Each new endpoint gets a different slot.
    fixture.apply_delta({"c", "d"}, endpoint_state::ready);
    CHECK(fixture.registry.slot_of("c") == 1_endpoint);
    CHECK(fixture.registry.slot_of("d") == 2_endpoint);

    // A snapshot that lists an endpoint as removed.
    auto snapshot = registry_fixture::list_of({"a", "c"}, endpoint_state::ready, true);
    snapshot.items.push_back({"d", "127.0.0.1:1", {}});
    snapshot.items.back().info.state = endpoint_state::removed;
    CHECK(fixture.apply(snapshot) == std::vector{2_endpoint});
    fixture.apply_delta({"e", "f"}, endpoint_state::ready);
    CHECK(fixture.registry.slot_of("e") == 2_endpoint);
    CHECK(fixture.registry.slot_of("f") == 3_endpoint);
}

} // namespace harrierpass::proxy
