// SPDX-License-Identifier: Apache-2.0
#include "router/origin_protection.hpp"

#include <algorithm>

namespace harrierpass {
namespace {

constexpr double max_backoff = 1;  // s; nothing else can take the origin's place
constexpr double min_jitter = 0.5; // of the backoff

} // namespace

double origin_backoff::on_refusal(double attempt_started_at, double now, double minimum, double jitter) {
    if (attempt_started_at >= last_refusal_at_)
        backoff_ = std::clamp(2 * backoff_, minimum, max_backoff);
    last_refusal_at_ = now;
    return now + backoff_ * (min_jitter + jitter);
}

} // namespace harrierpass
