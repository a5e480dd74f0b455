// SPDX-License-Identifier: Apache-2.0
#include "router/quota.hpp"

#include <algorithm>

namespace harrierpass {
namespace {

constexpr double min_bucket_size = 8;            // requests; tenants spread requests unevenly over proxies
constexpr double over_quota_capacity_factor = 4; // factor on the over-quota weight share

} // namespace

void tenant_quotas::configure(std::span<const double> rates, double proxy_count, double now) {
    buckets_.clear();
    for (const double rate : rates)
        buckets_.push_back({rate / proxy_count, std::max(min_bucket_size, rate / proxy_count), now});
}

bool tenant_quotas::charge_request(tenant_index tenant, double now) {
    if (tenant.value() >= buckets_.size())
        return false;
    auto &bucket = buckets_[tenant.value()];
    const double capacity = std::max(min_bucket_size, bucket.rate);
    bucket.tokens = std::min(capacity, bucket.tokens + bucket.rate * (now - bucket.updated_at));
    bucket.updated_at = now;
    const bool over_quota = bucket.rate > 0 && bucket.tokens < 1;
    bucket.tokens -= over_quota ? 0 : 1;
    return over_quota;
}

double over_quota_capacity(double capacity, double over_quota_weight_share) {
    return capacity * over_quota_capacity_factor * over_quota_weight_share;
}

} // namespace harrierpass
