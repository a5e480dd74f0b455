// SPDX-License-Identifier: Apache-2.0
#include "router/origin_protection.hpp"

#include <algorithm>

namespace harrierpass {
namespace {

constexpr double max_backoff = 1;  // seconds; short because no other endpoint can replace the origin
constexpr double min_jitter = 0.5; // share of the backoff

} // namespace

double origin_backoff::on_rejection(double attempt_started_at, double now, double min_backoff,
                                    double jitter) {
    if (attempt_started_at >= last_rejection_at_)
        backoff_ = std::clamp(2 * backoff_, min_backoff, max_backoff);
    last_rejection_at_ = now;
    return now + backoff_ * (min_jitter + jitter);
}

} // namespace harrierpass
