// SPDX-License-Identifier: Apache-2.0
#include "router/load_reports.hpp"

#include <doctest/doctest.h>

namespace harrierpass {

TEST_CASE("load reports: the estimate is the latest report and decays to the mean") {
    load_reports reports;
    reported_load load;
    reports.record(load, {20}, false, 100);
    CHECK(reports.mean() == doctest::Approx(1));
    CHECK(reports.estimate(load, 100) == 20);
    CHECK(reports.estimate(load, 104) == doctest::Approx(1 + 19 * 0.367879));
    CHECK(reports.estimate(load, 1000) == doctest::Approx(1));
}

TEST_CASE("load reports: an empty report changes nothing") {
    load_reports reports;
    reported_load load;
    reports.record(load, {20}, false, 100);
    reports.record(load, {}, false, 101);
    CHECK(load.in_flight == 20);
    CHECK(load.reported_at == 100);
    CHECK(reports.mean() == doctest::Approx(1));
}

TEST_CASE("load reports: the mean does not include reports of the origin") {
    load_reports reports;
    reported_load load;
    reports.record(load, {20}, true, 100);
    CHECK(load.in_flight == 20);
    CHECK(reports.mean() == 0);
}

} // namespace harrierpass
