// SPDX-License-Identifier: Apache-2.0
// The invariants of a request's life, checked at the one place where each step is taken: an attempt is sent,
// an attempt is repeated, an answer is begun, a connection closes, the process ends. The router decides; the
// guard sees what is really done, by rules of its own, and refuses a step that would break one. Each refusal
// or breach is counted (`invariants_violated`) and logged with the request's id. No I/O but the log.
#pragma once

#include "base/counters.hpp"
#include "base/log.hpp"
#include "router/types.hpp"

#include <string_view>

namespace harrierpass::proxy {

enum class invariant : std::uint8_t {
    response_before_close,   // a request that was read has an answer, or its client has left, when it is over
    one_response,            // no second answer
    attempt_before_response, // no attempt once the answer was begun
    attempt_before_deadline, // no attempt after the client's deadline
    attempt_for_client,      // no attempt once the client was seen to have left
    one_attempt_at_a_time,   // no attempt while another one of the request is out
    no_unsafe_retry,         // a non-idempotent request that may have run is not sent again
    retry_in_window,         // a deduplicated one that may have run, only while servers know it
    deadline_forwarded,      // the deadline told to a server is what the client has left
    nothing_left_at_end      // no request is in hand when the process ends
};
const char *name_of(invariant which);

// Where violations go.
class invariant_monitor {
public:
    invariant_monitor(counters &count, log &lines) : counters_(count), log_(lines) {}
    void violated(invariant which, std::string_view request_id);

private:
    counters &counters_;
    log &log_;
};

// One request's, used by the thread that serves it. Times are the proxy's clock, s.
class request_guard {
public:
    explicit request_guard(invariant_monitor &to) : monitor_(to) {}
    ~request_guard(); // the request is over: checks that it was answered

    request_guard(const request_guard &) = delete;
    request_guard &operator=(const request_guard &) = delete;

    // The request has been read whole: from now on an answer is owed. `id` has to outlive the guard.
    void request_read(std::string_view id, const request_class &kind, double deadline);
    // Its body comes while it is sent: the deadline counts from the body's end.
    void move_deadline(double deadline) { deadline_ = deadline; }
    // Whether an attempt may begin now; `told`: s that its server is told to have, from now on.
    bool may_start_attempt(double now, double told);
    void attempt_finished(outcome result);
    // Whether the answer may be begun.
    bool may_respond();
    void on_client_disconnected() { client_left_ = true; }

    bool owes_response() const { return read_ && !answered_ && !client_left_; }
    bool was_violated() const { return refused_; }           // a step: the request is to end at once
    bool possibly_executed() const { return may_have_run_; } // so that no refusal may promise the opposite

private:
    bool holds(bool condition, invariant which);

    invariant_monitor &monitor_;
    std::string_view id_;
    request_class kind_;
    double deadline_ = 0;
    double first_sent_ = 0; // of the attempts that may have run
    double last_sent_ = 0;
    bool read_ = false, answered_ = false, client_left_ = false, refused_ = false;
    bool attempt_out_ = false, may_have_run_ = false;
};

} // namespace harrierpass::proxy
