// SPDX-License-Identifier: Apache-2.0
#include "router/load_reports.hpp"

#include <cmath>

namespace harrierpass {
namespace {

constexpr double report_weight = 0.05;  // weight of a report in the mean
constexpr double report_decay_time = 4; // s; time constant of the decay towards the mean

} // namespace

void load_reports::record(reported_load &load, const load_report &report, bool is_origin, double now) {
    if (report.in_flight < 0)
        return;
    load.in_flight = report.in_flight;
    load.reported_at = now;
    if (!is_origin)
        mean_in_flight_ += report_weight * (load.in_flight - mean_in_flight_);
}

double load_reports::estimate(const reported_load &load, double now) const {
    return mean_in_flight_ +
           (load.in_flight - mean_in_flight_) * std::exp((load.reported_at - now) / report_decay_time);
}

} // namespace harrierpass
