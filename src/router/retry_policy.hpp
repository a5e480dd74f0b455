// SPDX-License-Identifier: Apache-2.0
// The retry policy decides which requests may be retried, at which endpoints and until when, such that no
// effect happens twice. The retry budget limits retries to a share of the requests (as in Finagle). Times are
// in seconds.
#pragma once

#include "router/endpoint_table.hpp"
#include "router/request_table.hpp"

#include <cstddef>

namespace harrierpass {

/// Limits retries of possibly executed requests. Owned by one router.
///
/// Invariant: the balance is between 0 and the maximum budget.
class retry_budget {
public:
    /// Starts with the maximum budget.
    retry_budget();
    /// Adds the share of a retry that an arriving request allows.
    void deposit();
    /// The budget allows a retry.
    [[nodiscard]] bool is_available() const { return tokens_ >= 1; }
    /// Takes one retry, which must be available.
    void withdraw() { --tokens_; }

private:
    double tokens_;
};

/// The retry rules under the settings of one router, which owns the policy.
class retry_policy {
public:
    /// `deadline_margin`: a deduplication window counts as closed this long before its end, s.
    void configure(const deployment_constraints &constraints, double deadline_margin);

    /// Latest time at which a request may be sent to this endpoint after its first `attempt_count` attempts:
    /// infinity if a second execution is harmless or impossible, 0 if it must not be sent again.
    [[nodiscard]] double dispatch_deadline(const request_record &request, std::size_t attempt_count,
                                           const endpoint_table &endpoints, endpoint_index endpoint) const;
    /// Latest time at which the client may retry the request, at any endpoint; 0 if it must not.
    [[nodiscard]] double client_retry_deadline(const request_record &request) const;
    /// Wait to advise to a client that may retry during `remaining_time`, such that its retry arrives in
    /// time.
    [[nodiscard]] double advised_wait(double remaining_time) const;

    /// The class and the origin mode of the request allow a retry after a possibly executed attempt.
    [[nodiscard]] static bool allows_retry(const request_record &request);
    /// An open attempt at an ejected endpoint may be canceled in order to retry the request.
    [[nodiscard]] bool allows_cancel(const request_record &request, double now) const;
    /// The request has no attempts left, or its deadline has passed.
    [[nodiscard]] bool is_exhausted(const request_record &request, double now) const;
    /// The next attempt is a retry and the last attempt allowed.
    [[nodiscard]] bool is_last_retry(const request_record &request) const;
    /// Attempts are left for one at a cache, after another request's origin fetch, and one at the origin.
    [[nodiscard]] bool has_attempts_for_fetch(const request_record &request) const;

private:
    deployment_constraints constraints_;
    double deadline_margin_ = 0; // seconds
};

} // namespace harrierpass
