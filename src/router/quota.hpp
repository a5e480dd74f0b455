// SPDX-License-Identifier: Apache-2.0
// Tenant quotas as token buckets. Each proxy enforces an equal part of a tenant's rate. This module only
// detects requests over quota and does not reject them.
#pragma once

#include "router/types.hpp"

#include <span>
#include <vector>

namespace harrierpass {

/// The token buckets of all tenants, owned by one router.
///
/// Invariant: a bucket holds at most the tokens of one second, or the minimum bucket size if that is larger.
/// A bucket with rate 0 has no limit.
class tenant_quotas {
public:
    /// Replaces all buckets with full ones. Rates are in requests per second over all proxies.
    void configure(std::span<const double> rates, double proxy_count, double now);

    /// Takes a token for a request if one is available; returns true if the request is over quota. Tenants
    /// without a bucket have no limit.
    [[nodiscard]] bool charge_request(tenant_index tenant, double now);

private:
    /// The token bucket of one tenant.
    struct token_bucket {
        double rate;       // tokens per second
        double tokens;     // at `updated_at`
        double updated_at; // seconds
    };

    std::vector<token_bucket> buckets_; // indexed by tenant
};

/// Number of attempts in flight at all endpoints from which on requests over quota are rejected.
/// `over_quota_weight_share`: the factor on their priority weight.
[[nodiscard]] double over_quota_capacity(double capacity, double over_quota_weight_share);

} // namespace harrierpass
