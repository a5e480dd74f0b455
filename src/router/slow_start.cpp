// SPDX-License-Identifier: Apache-2.0
#include "router/slow_start.hpp"

#include <algorithm>

namespace harrierpass {
namespace {

constexpr double limit_lead = 1.4; // share of the limit per share of the warm-up progress

} // namespace

double slow_start::progress(double warm_up_started_at, double now) const {
    if (settings_.warm_up_time <= 0)
        return 1;
    const double elapsed_share = std::max(0.0, now - warm_up_started_at) / settings_.warm_up_time;
    const double initial = settings_.initial_capacity_share;
    return std::min(1.0, initial + (1 - initial) * elapsed_share);
}

double slow_start::limit_share(double progress) {
    return std::min(1.0, limit_lead * progress);
}

double slow_start::warm_up_start(double started_at, double now) {
    return started_at > 0 ? std::min(started_at, now) : now;
}

} // namespace harrierpass
