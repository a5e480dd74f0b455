// SPDX-License-Identifier: Apache-2.0
// Which requests may be attempted again, where, and until when, so that no effect happens twice; and a retry
// budget, which keeps retries to a share of the requests (as in Finagle). Times are seconds.
#pragma once

#include "router/endpoint_table.hpp"
#include "router/request_table.hpp"

#include <cstddef>

namespace harrierpass {

/// Attempts that may follow ones that possibly were executed, owned by one router.
///
/// Invariant: between 0 and the burst size.
class retry_budget {
public:
    /// A full budget.
    retry_budget();
    /// A request arrived.
    void earn();
    /// A retry may be sent.
    [[nodiscard]] bool is_available() const { return tokens_ >= 1; }
    /// A retry is being sent; one has to be available.
    void spend() { --tokens_; }

private:
    double tokens_;
};

/// The rules, in the settings of one router, which owns them.
class retry_policy {
public:
    /// `deadline_margin`: time by which a deduplication window is left before its end, s.
    void configure(const deployment_constraints &constraints, double deadline_margin);

    /// Until when a request whose first `attempt_count` attempts were sent may be sent to this endpoint;
    /// infinite where a second execution does no harm, 0: never.
    [[nodiscard]] double dispatch_deadline(const request_record &request, std::size_t attempt_count,
                                           const endpoint_table &endpoints, endpoint_index to) const;
    /// Until when the client may send the request again, through any endpoint; 0: never.
    [[nodiscard]] double client_retry_deadline(const request_record &request) const;
    /// The wait to advise to a client that may retry for so long: it is to come back within the window.
    [[nodiscard]] double advised_wait(double time_left) const;

    /// A request whose last attempt possibly was executed may be sent again, as far as its class is
    /// concerned.
    [[nodiscard]] static bool allows_retry(const request_record &request);
    /// An attempt at an ejected endpoint may be canceled in favor of another one.
    [[nodiscard]] bool allows_cancel(const request_record &request, double now) const;
    /// The attempts or the time of the request are used up.
    [[nodiscard]] bool is_exhausted(const request_record &request, double now) const;
    /// Its next attempt is the last one allowed, and not the first.
    [[nodiscard]] bool is_last_retry(const request_record &request) const;
    /// It may wait for another request's fetch and then be attempted at a cache and at the origin.
    [[nodiscard]] bool has_attempts_for_fetch(const request_record &request) const;

private:
    deployment_constraints constraints_;
    double deadline_margin_ = 0; // s
};

} // namespace harrierpass
