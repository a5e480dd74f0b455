// SPDX-License-Identifier: Apache-2.0
// When a proxy polls the discovery service, what it asks for, and what it does with the response. No I/O, no
// clock: the owner waits until next_poll_at(), makes the poll that start_poll() returns, and reports how it
// ended. Times are seconds. One poll is in flight at a time. Owned by the discovery client.
//
// Transitions, as "state, event -> next state: effect":
// - no_endpoints, start -> no_endpoints: a snapshot in the first window
// - cached_endpoints, start -> cached_endpoints: a watch in the first window
// - any, plausible response -> current: it is used; the next watch after a short delay
// - any, implausible response -> awaiting_confirmation: it is set aside; a snapshot in the first window
// - awaiting_confirmation, enough equal responses -> current: the latest is used
// - awaiting_confirmation, another response -> by that response: what was set aside is dropped
// - any, rejected -> unchanged: polled again after Retry-After, within the window after rejections
// - any, failed -> unchanged: polled again after a backoff, by a watch where there is a list
// - any, another service -> no_endpoints: a snapshot at once
//
// A watch after a start begins at the cached revision, and the proxy serves by the cached list meanwhile.
// Polls are spread at random over their window. The window after rejections grows with each; the backoff
// doubles up to a limit. Nothing of another service is implausible until its first snapshot has come.
//
// With an agent beside the proxy nothing is spread or implausible: the first poll is a snapshot and made at
// once, the next watch follows each response, and after a failure the router says when to poll
// (request_poll()).
#pragma once

#include "discovery/poll_intervals.hpp"
#include "discovery/snapshot_plausibility.hpp"

#include <optional>
#include <random>

namespace harrierpass::discovery {

// What a proxy has of the endpoint list.
enum class poll_state : std::uint8_t { no_endpoints, cached_endpoints, current, awaiting_confirmation };

// The name as in logs and metrics.
const char *name_of(poll_state state);

// One poll to make.
struct endpoint_poll {
    std::optional<std::uint64_t> watch_revision; // watch for changes from this revision on; none: a snapshot
    double watch_timeout = 0;                    // s that the service may hold the poll
    double timeout = 0;                          // s until it counts as failed, watch_timeout included
};

// The schedule of one proxy. Not thread-safe: the polling thread owns it.
class poll_schedule {
public:
    // `cached_revision`: of the list that the proxy starts with, if it has one.
    poll_schedule(const poll_settings &settings, std::uint32_t seed, double now,
                  std::optional<std::uint64_t> cached_revision);

    // When the next poll is due; infinity while one is in flight or an agent waits for request_poll().
    double next_poll_at() const { return next_poll_at_; }
    // The poll that is due, from now on in flight.
    endpoint_poll start_poll(double now);

    // The poll was answered with a list. Returns whether it is to be used; else it is set aside.
    bool on_update(double now, const snapshot_facts &facts);
    // The poll was rejected for now; `retry_after` in s, 0 where not told.
    void on_rejected(double now, double retry_after);
    // The poll failed.
    void on_failure(double now);
    // The router asks for a poll; only an agent's polls wait for it.
    void request_poll(double now);
    // Another deployment: the schedule starts over.
    void on_settings_changed(double now, const poll_settings &settings);

    // What the proxy has of the endpoint list.
    poll_state state() const { return state_; }
    // Why the latest response was implausible, if it was.
    implausibility latest_implausibility() const { return implausibility_; }
    // The revision of the list in use.
    std::uint64_t revision() const { return revision_; }
    // The intervals of the present settings.
    const poll_intervals &intervals() const { return intervals_; }

private:
    // A random number from 0 to 1.
    double random_fraction();
    // Sets the next poll, not before the poll budget allows it.
    void schedule_poll(double now, double delay);
    // The poll budget's tokens at this time.
    double available_tokens(double now) const;
    // Takes the tokens that have come by now into account.
    void refill_tokens(double now);
    // Counts equal implausible responses; returns whether this one is confirmed.
    bool confirm(implausibility previous, const snapshot_facts &facts);
    // Back to the first backoff and the first window of rejected polls.
    void reset_delays();
    // Whether polls go to an agent beside the proxy.
    bool is_agent() const { return service_kind_ == list_service_kind::agent; }

    list_service_kind service_kind_;
    poll_intervals intervals_;
    std::minstd_rand random_;
    poll_state state_ = poll_state::no_endpoints;
    implausibility implausibility_ = implausibility::none;
    index confirmations_ = 0; // equal implausible responses in a row
    std::uint64_t revision_ = 0, implausible_revision_ = 0;
    double next_poll_at_ = 0;
    double backoff_ = 0, rejected_window_ = 0;  // s
    double tokens_ = 0, tokens_updated_at_ = 0; // the poll budget, a token bucket
};

} // namespace harrierpass::discovery
