// SPDX-License-Identifier: Apache-2.0
#include "router/quota.hpp"
#include "support/index_literals.hpp"

#include <array>
#include <doctest/doctest.h>

namespace harrierpass {
namespace {

int count_within_quota(tenant_quotas &quotas, tenant_index tenant, double now, int requests) {
    int count = 0;
    for (int i = 0; i < requests; ++i)
        count += !quotas.charge_request(tenant, now);
    return count;
}

} // namespace

TEST_CASE("quota: a bucket starts full and is refilled at the proxy's part of the rate") {
    tenant_quotas quotas;
    quotas.configure(std::array{40.0}, 2, 100);
    CHECK(count_within_quota(quotas, 0_tenant, 100, 50) == 20);
    CHECK(count_within_quota(quotas, 0_tenant, 100.25, 50) == 5);
    CHECK(count_within_quota(quotas, 0_tenant, 200, 50) == 20);
}

TEST_CASE("quota: a low rate still allows a burst of the minimum bucket size") {
    tenant_quotas quotas;
    quotas.configure(std::array{2.0}, 4, 0);
    CHECK(count_within_quota(quotas, 0_tenant, 0, 50) == 8);
    CHECK(count_within_quota(quotas, 0_tenant, 2, 50) == 1);
}

TEST_CASE("quota: tenants with rate 0 or without a bucket have no limit") {
    tenant_quotas quotas;
    quotas.configure(std::array{0.0}, 1, 0);
    CHECK(count_within_quota(quotas, 0_tenant, 0, 100) == 100);
    CHECK(count_within_quota(quotas, 7_tenant, 0, 100) == 100);
}

TEST_CASE("quota: tenants have separate buckets, and new settings refill them") {
    tenant_quotas quotas;
    quotas.configure(std::array{10.0, 10.0}, 1, 0);
    CHECK(count_within_quota(quotas, 0_tenant, 0, 50) == 10);
    CHECK(count_within_quota(quotas, 1_tenant, 0, 50) == 10);
    quotas.configure(std::array{10.0, 10.0}, 1, 0);
    CHECK(count_within_quota(quotas, 0_tenant, 0, 50) == 10);
}

} // namespace harrierpass
