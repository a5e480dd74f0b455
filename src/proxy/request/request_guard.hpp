// SPDX-License-Identifier: Apache-2.0
// The invariants of a request's life, checked at the one place where each step is taken: an attempt is sent,
// an attempt is retried, a response is begun, a connection closes, the process ends. The router decides; the
// guard sees what is really done, by rules of its own, and refuses a step that would break one. Each refusal
// or breach is counted (`invariants_violated`) and logged with the request's id. No I/O but the log.
#pragma once

#include "base/counters.hpp"
#include "base/log.hpp"
#include "router/types.hpp"

#include <cstdint>
#include <string_view>

namespace harrierpass::proxy {

// What holds of every request. A name in the log is name_of().
enum class invariant : std::uint8_t {
    response_before_close, // a request that was read has a response, or its client has left, when it is over
    one_response,          // no second response
    attempt_before_response, // no attempt once the response was begun
    attempt_before_deadline, // no attempt after the client's deadline
    attempt_for_client,      // no attempt once the client was seen to have left
    one_attempt_at_a_time,   // no attempt while another one of the request is in flight
    no_unsafe_retry,         // a non-idempotent request that may have been executed is not sent again
    retry_in_window,         // a deduplicated one that may have been, only while endpoints remember it
    deadline_forwarded,      // the deadline that an endpoint is told is what the client has left
    nothing_left_at_end      // no request is active when the process ends
};
// The invariant's name in the log; operators' pages name it.
const char *name_of(invariant which);

// Counts and logs violations. Safe for use by several threads.
class invariant_monitor {
public:
    // Both have to outlive it.
    invariant_monitor(counters &count, log &logger) : counters_(count), log_(logger) {}
    // Counts and logs a violation; `request_id` is "-" where it concerns no single request.
    void violated(invariant which, std::string_view request_id);

private:
    counters &counters_;
    log &log_;
};

// The guard of one request, used by the thread that serves it. Times are Unix times in seconds.
class request_guard {
public:
    // `monitor` has to outlive it.
    explicit request_guard(invariant_monitor &monitor) : monitor_(monitor) {}
    // The request is over: checks that it has its response.
    ~request_guard();
    request_guard(const request_guard &) = delete;
    request_guard &operator=(const request_guard &) = delete;

    // The request has been read: from now on a response is owed. `id` has to outlive the guard.
    void request_read(std::string_view id, const request_class &kind, double deadline);
    // For a request whose body is forwarded as it comes: the deadline counts from the body's end.
    void move_deadline(double deadline) { deadline_ = deadline; }
    // Whether an attempt may begin now. `forwarded_timeout`: s that its endpoint is told to have.
    bool may_start_attempt(double now, double forwarded_timeout);
    // The attempt that was begun, if any, has ended.
    void attempt_finished(outcome result);
    // Whether the response may be begun.
    bool may_respond();
    // The client has left: no response is owed to it.
    void on_client_disconnected() { client_left_ = true; }

    // Whether the client still waits for a response.
    bool owes_response() const { return read_ && !responded_ && !client_left_; }
    // A step was refused: the request has to end at once.
    bool was_violated() const { return violated_; }
    // An attempt may have been executed, so that no rejection may promise the opposite.
    bool possibly_executed() const { return possibly_executed_; }

private:
    // Returns `condition`; where it is false, records the violation.
    bool require(bool condition, invariant which);

    invariant_monitor &monitor_;
    std::string_view id_;
    request_class class_;
    double deadline_ = 0;
    double last_sent_at_ = 0;
    double first_executed_at_ = 0; // when the first of the attempts was sent that may have been executed
    bool read_ = false;
    bool responded_ = false;
    bool client_left_ = false;
    bool violated_ = false;
    bool attempt_in_flight_ = false;
    bool possibly_executed_ = false;
};

} // namespace harrierpass::proxy
