// SPDX-License-Identifier: Apache-2.0
// Decides when a proxy polls the discovery service, whether it requests a snapshot or a watch, and whether it
// uses the response. No I/O, no clock: the owner waits until next_poll_at(), sends the poll that start_poll()
// returns, and reports its result. Times are in seconds. At most one poll is in flight. Owned by the
// discovery client.
//
// Transitions, as "state, event -> next state: effect":
// - no_endpoints, start -> no_endpoints: polls a snapshot within initial_poll_window
// - cached_endpoints, start -> cached_endpoints: starts a watch within initial_poll_window
// - any, plausible response -> current: uses it; starts the next watch after a short delay
// - any, implausible response -> awaiting_confirmation: discards it; polls a snapshot within
//   initial_poll_window
// - awaiting_confirmation, enough equal responses -> current: uses the latest
// - awaiting_confirmation, different response -> state for that response: restarts the confirmations
// - any, rejected -> unchanged: polls again after Retry-After, within the window for rejected polls
// - any, failed -> unchanged: polls again after a backoff, with a watch if there is a list
// - any, new settings -> no_endpoints: polls a snapshot at once
//
// The first watch after a start begins at the cached revision, and the proxy uses the cached list meanwhile.
// Polls are spread at random over their window. The window for rejected polls grows with each rejection; the
// backoff doubles up to a limit. In no_endpoints, every response is plausible, as there is no list to
// compare.
//
// Polls of a local agent are not spread, and its responses are always plausible: the first poll is an
// immediate snapshot, each response is followed by the next watch, and after a failure the router requests
// the next poll by request_poll().
#pragma once

#include "discovery/poll_intervals.hpp"
#include "discovery/snapshot_plausibility.hpp"

#include <optional>
#include <random>

namespace harrierpass::discovery {

// State of the endpoint list at a proxy.
enum class poll_state : std::uint8_t { no_endpoints, cached_endpoints, current, awaiting_confirmation };

// Returns the name for logs and metrics.
const char *name_of(poll_state state);

// A poll to send.
struct endpoint_poll {
    std::optional<std::uint64_t> watch_revision; // watches changes after it; empty: polls a snapshot
    double watch_timeout = 0;                    // s that the service may delay the response
    double timeout = 0;                          // s until the poll counts as failed, including watch_timeout
};

// Poll schedule of one proxy. Not thread-safe: the polling thread owns it.
class poll_schedule {
public:
    // `cached_revision` is the revision of the cached list, if there is one.
    poll_schedule(const poll_settings &settings, std::uint32_t seed, double now,
                  std::optional<std::uint64_t> cached_revision);

    // Time of the next poll; infinity while a poll is in flight or an agent's schedule waits for
    // request_poll().
    double next_poll_at() const { return next_poll_at_; }
    // Returns the next poll, which is in flight from now on.
    endpoint_poll start_poll(double now);

    // Handles a response with a list. Returns whether the list is to be used; otherwise the caller discards
    // it.
    bool on_update(double now, const snapshot_facts &facts);
    // Handles a rejection of the poll; `retry_after` is in seconds, 0 if the response had none.
    void on_rejected(double now, double retry_after);
    // Handles a failure of the poll.
    void on_failure(double now);
    // Handles a poll request of the router. Has an effect only if the service is an agent.
    void request_poll(double now);
    // Applies new settings and restarts the schedule.
    void on_settings_changed(double now, const poll_settings &settings);

    poll_state state() const { return state_; }
    // Reason why the latest response was implausible; none if it was plausible.
    implausibility latest_implausibility() const { return implausibility_; }
    // Revision of the list in use.
    std::uint64_t revision() const { return revision_; }
    // Intervals for the current settings.
    const poll_intervals &intervals() const { return intervals_; }

private:
    // Draws a random number from 0 to 1.
    double random_fraction();
    // Sets the time of the next poll, as early as the poll budget allows.
    void schedule_poll(double now, double delay);
    // Returns the tokens of the poll budget at `now`.
    double available_tokens(double now) const;
    // Adds the tokens accrued until `now`.
    void refill_tokens(double now);
    // Counts equal implausible responses in a row; returns whether they are enough to confirm the response.
    bool confirm(implausibility previous, const snapshot_facts &facts);
    // Resets the backoff and the window for rejected polls to their initial values.
    void reset_delays();
    // Whether the service is an agent local to the proxy.
    bool is_agent() const { return service_kind_ == list_service_kind::agent; }

    list_service_kind service_kind_;
    poll_intervals intervals_;
    std::minstd_rand random_;
    poll_state state_ = poll_state::no_endpoints;
    implausibility implausibility_ = implausibility::none;
    index confirmations_ = 0; // equal implausible responses in a row
    std::uint64_t revision_ = 0, implausible_revision_ = 0;
    double next_poll_at_ = 0;
    double backoff_ = 0, rejected_window_ = 0;  // in seconds
    double tokens_ = 0, tokens_updated_at_ = 0; // token bucket of the poll budget
};

} // namespace harrierpass::discovery
