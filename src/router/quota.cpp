// SPDX-License-Identifier: Apache-2.0
#include "router/quota.hpp"

#include <algorithm>

namespace harrierpass {
namespace {

constexpr double burst_size = 8;                 // requests; a tenant's requests reach one proxy unevenly
constexpr double over_quota_capacity_factor = 4; // times the weight share

} // namespace

void tenant_quotas::configure(std::span<const double> rates, double proxy_count, double now) {
    buckets_.clear();
    for (const double rate : rates)
        buckets_.push_back({rate / proxy_count, std::max(burst_size, rate / proxy_count), now});
}

bool tenant_quotas::is_over_quota(tenant_index tenant, double now) {
    if (tenant.value() >= buckets_.size())
        return false;
    auto &bucket = buckets_[tenant.value()];
    const double capacity = std::max(burst_size, bucket.rate);
    bucket.tokens = std::min(capacity, bucket.tokens + bucket.rate * (now - bucket.updated_at));
    bucket.updated_at = now;
    const bool over_quota = bucket.rate > 0 && bucket.tokens < 1;
    bucket.tokens -= over_quota ? 0 : 1;
    return over_quota;
}

double over_quota_capacity(double capacity, double weight_share) {
    return capacity * over_quota_capacity_factor * weight_share;
}

} // namespace harrierpass
