// SPDX-License-Identifier: Apache-2.0
#include "proxy/discovery/operator_overrides.hpp"

#include <doctest/doctest.h>

namespace harrierpass::proxy {

TEST_CASE("operator overrides: a disabled endpoint drains, an enabled one counts as started when enabled") {
    operator_overrides overrides;
    endpoint_info listed;
    listed.started_at = 50;
    CHECK(overrides.apply("a", listed).state == endpoint_state::ready);

    CHECK(overrides.disable("a"));
    CHECK_FALSE(overrides.disable("a"));
    CHECK(overrides.is_disabled("a"));
    CHECK(overrides.apply("a", listed).state == endpoint_state::draining);
    CHECK(overrides.apply("b", listed).state == endpoint_state::ready);
    listed.state = endpoint_state::removed;
    CHECK(overrides.apply("a", listed).state == endpoint_state::removed);

    listed.state = endpoint_state::ready;
    CHECK(overrides.enable("a", 100));
    CHECK_FALSE(overrides.enable("a", 200));
    CHECK(overrides.apply("a", listed).state == endpoint_state::ready);
    CHECK(overrides.apply("a", listed).started_at == 100);
    listed.started_at = 150; // its process started later
    CHECK(overrides.apply("a", listed).started_at == 150);
}

TEST_CASE("operator overrides: times of enabling are removed after the longest warm-up") {
    operator_overrides overrides;
    overrides.record_enabled("a", 100);
    overrides.disable("b");
    CHECK(overrides.enable("b", 3700)); // 3600 s later
    CHECK(overrides.enabled_at().contains("a"));
    overrides.disable("b");
    CHECK(overrides.enable("b", 3701));
    CHECK_FALSE(overrides.enabled_at().contains("a"));
    CHECK(overrides.enabled_at().at("b") == 3701);
    CHECK(overrides.disabled().empty());
}

} // namespace harrierpass::proxy
