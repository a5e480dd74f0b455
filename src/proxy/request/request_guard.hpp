// SPDX-License-Identifier: Apache-2.0
// Checks the invariants of a request at each step: an attempt is sent, an attempt is retried, a response is
// started, a connection closes, the process ends. The router decides on the steps; the guard checks them
// independently when they are carried out, and refuses one that would violate an invariant. Each violation is
// counted (`invariants_violated`) and logged with the request's id. Does no I/O except for logging.
#pragma once

#include "base/counters.hpp"
#include "base/log.hpp"
#include "router/types.hpp"

#include <cstdint>
#include <string_view>

namespace harrierpass::proxy {

// The invariants of every request. name_of() is the name in the log.
enum class invariant : std::uint8_t {
    response_before_close,   // a request that was read ends with a response or with the client disconnected
    one_response,            // no second response
    attempt_before_response, // no attempt once the response has started
    attempt_before_deadline, // no attempt after the client's deadline
    attempt_for_client,      // no attempt once the client is known to have disconnected
    one_attempt_at_a_time,   // no attempt while another one of the request is in flight
    no_unsafe_retry,         // a non-idempotent request that may have been executed is not retried
    retry_in_window,         // no retry of a deduplicated, possibly executed request after its window
    deadline_forwarded,      // an endpoint is not given more time than the client has left
    nothing_left_at_end      // no request is active when the process ends
};
// Returns the invariant's name in the log; the operators' documentation lists it.
const char *name_of(invariant value);

// Counts and logs violations. Safe for use by several threads.
class invariant_monitor {
public:
    // Both arguments must outlive the monitor.
    invariant_monitor(counters &counts, log &logger) : counters_(counts), log_(logger) {}
    // Counts and logs a violation; `request_id` is "-" if it does not concern a single request.
    void report_violation(invariant violated, std::string_view request_id);

private:
    counters &counters_;
    log &log_;
};

// Checks the steps of one request; used by the thread that serves it. Times are Unix times in seconds.
class request_guard {
public:
    // `monitor` must outlive the guard.
    explicit request_guard(invariant_monitor &monitor) : monitor_(monitor) {}
    // Checks that the request has its response, unless its client disconnected.
    ~request_guard();
    request_guard(const request_guard &) = delete;
    request_guard &operator=(const request_guard &) = delete;

    // Reports that the request has been read: a response is required from now on. `id` must outlive the
    // guard.
    void request_read(std::string_view id, const request_class &settings, double deadline);
    // Replaces the deadline of a request whose streamed body is not complete: it counts from the last byte.
    void set_deadline(double deadline) { deadline_ = deadline; }
    // Returns whether an attempt may start now. `forwarded_timeout`: seconds that its endpoint is given.
    bool may_start_attempt(double now, double forwarded_timeout);
    // Reports the end of the attempt in flight, if any.
    void attempt_finished(outcome result);
    // Returns whether the response may start.
    bool may_respond();
    // Reports that the client disconnected: no response is required.
    void on_client_disconnected() { client_disconnected_ = true; }

    // Returns whether the client still waits for a response.
    bool owes_response() const { return is_read_ && !response_started_ && !client_disconnected_; }
    // Returns whether a step was refused; the request must then end at once.
    bool step_was_refused() const { return step_refused_; }
    // Returns whether an endpoint may have executed the request. A rejection would deny that.
    bool possibly_executed() const { return possibly_executed_; }

private:
    // Returns `condition`; reports a violation if it is false.
    bool require(bool condition, invariant checked);

    invariant_monitor &monitor_;
    std::string_view id_;
    request_class class_settings_;
    double deadline_ = 0;
    double last_sent_at_ = 0;
    double first_executed_at_ = 0; // start of the first attempt that may have been executed
    bool is_read_ = false;
    bool response_started_ = false;
    bool client_disconnected_ = false;
    bool step_refused_ = false;
    bool attempt_in_flight_ = false;
    bool possibly_executed_ = false;
};

} // namespace harrierpass::proxy
