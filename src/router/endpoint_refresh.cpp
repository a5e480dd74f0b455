// SPDX-License-Identifier: Apache-2.0
#include "router/endpoint_refresh.hpp"

#include <algorithm>
#include <limits>

namespace harrierpass {
namespace {

constexpr double initial_backoff = 0.5; // s
constexpr double max_backoff = 8;       // s; long enough not to load the discovery service
constexpr double min_jitter = 0.5;      // share of the backoff

} // namespace

endpoint_refresh::endpoint_refresh(double now, double jitter)
    : next_poll_at_(now + jitter * initial_backoff), backoff_(initial_backoff) {}

void endpoint_refresh::on_poll_sent(double now, double max_poll_interval) {
    next_poll_at_ = now + std::min(max_backoff, max_poll_interval);
}

void endpoint_refresh::on_poll_failed(double now, double jitter, double max_poll_interval) {
    next_poll_at_ = now + backoff_ * (min_jitter + jitter);
    backoff_ = std::min({max_backoff, max_poll_interval, backoff_ * 2});
}

void endpoint_refresh::on_update() {
    next_poll_at_ = std::numeric_limits<double>::infinity();
    backoff_ = initial_backoff;
}

} // namespace harrierpass
