// SPDX-License-Identifier: Apache-2.0
// Tenant quotas as token buckets. A tenant's rate is divided evenly among the proxies; requests over quota
// are not refused here, only marked.
#pragma once

#include "router/types.hpp"

#include <span>
#include <vector>

namespace harrierpass {

/// The buckets of all tenants, owned by the router.
///
/// Invariant: a bucket holds at most the larger of one second's tokens and the burst size. A bucket of rate 0
/// never marks a request.
class tenant_quotas {
public:
    /// Replaces all buckets by full ones. Rates are requests per second over all proxies.
    void configure(std::span<const double> rates, double proxy_count, double now);

    /// Takes a token for a request; true if it is over quota. Tenants without a bucket have no limit.
    [[nodiscard]] bool is_over_quota(tenant_index tenant, double now);

private:
    /// The bucket of one tenant.
    struct token_bucket {
        double rate;       // tokens per second
        double tokens;     // at `updated_at`
        double updated_at; // s
    };

    std::vector<token_bucket> buckets_; // by tenant
};

/// Attempts of all endpoints above which a request over quota is rejected. `weight_share`: the factor on its
/// priority weight.
[[nodiscard]] double over_quota_capacity(double capacity, double weight_share);

} // namespace harrierpass
