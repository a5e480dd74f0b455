// SPDX-License-Identifier: Apache-2.0
// What endpoints report of their load: requests in flight, of all proxies. An old report loses weight and is
// drawn to the mean of all endpoints.
#pragma once

#include "router/types.hpp"

namespace harrierpass {

/// The latest report of one endpoint, in requests in flight.
struct reported_load {
    double in_flight = 0;
    double reported_at = 0; // s
};

/// The mean of all reports, owned by one router.
class load_reports {
public:
    /// Takes a report, if it says anything; the origin's does not count in the mean.
    void record(reported_load &load, const load_report &report, bool is_origin, double now);

    /// Present load of an endpoint, in requests in flight.
    [[nodiscard]] double estimate(const reported_load &load, double now) const;

    /// Mean of the reports, in requests in flight.
    [[nodiscard]] double mean() const { return mean_in_flight_; }

private:
    double mean_in_flight_ = 0; // requests
};

} // namespace harrierpass
