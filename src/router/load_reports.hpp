// SPDX-License-Identifier: Apache-2.0
// Load reports of endpoints: requests in flight, of all proxies. The estimate from a report decays with its
// age towards the mean of all endpoints.
#pragma once

#include "router/types.hpp"

namespace harrierpass {

/// Latest load report of one endpoint.
struct reported_load {
    double in_flight = 0;   // requests
    double reported_at = 0; // s
};

/// Mean of the load reports of all endpoints, owned by one router.
class load_reports {
public:
    /// Records a report, unless it is empty. The mean does not include reports of the origin.
    void record(reported_load &load, const load_report &report, bool is_origin, double now);

    /// Estimates the present load of an endpoint, in requests in flight.
    [[nodiscard]] double estimate(const reported_load &load, double now) const;

    /// Mean of the reports, in requests in flight.
    [[nodiscard]] double mean() const { return mean_in_flight_; }

private:
    double mean_in_flight_ = 0; // requests
};

} // namespace harrierpass
