// SPDX-License-Identifier: Apache-2.0
// When a proxy polls the discovery service, what it asks for, and what it does with the response. No I/O, no
// clock: the owner waits until next_poll_at(), makes the poll that start_poll() returns, and reports how it
// ended. Times are seconds. One poll is in flight at a time. Owned by the discovery client.
//
// state                 event                  next                   effect
// no_endpoints          start                  no_endpoints           snapshot, at random in the first window
// cached_endpoints      start                  cached_endpoints       watch from the cached revision, at
// random
//                                                                     in the first window; the proxy serves
// any                   plausible response     current                used; the next watch after a short
// delay any                   response in doubt      awaiting_confirmation  set aside; snapshot, at random in
// the
//                                                                     first window
// awaiting_confirmation enough equal responses current                used
// awaiting_confirmation another response       by that response       the doubt is dropped
// any                   rejected               unchanged              not before Retry-After, then at random
// in
//                                                                     a window that grows with each rejection
// any                   failed                 unchanged              at random in a backoff that doubles up
// to
//                                                                     a limit; with a list, a watch
// any                   another service        no_endpoints           snapshot at once; nothing is in doubt
//                                                                     until it has come
//
// With an agent beside the proxy nothing is spread or doubted: the first poll is a snapshot and made at once,
// the next watch follows each response, and after a failure the router says when to poll (request_poll()).
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

    poll_state state() const { return state_; }
    // The doubt that the latest response raised.
    snapshot_doubt latest_doubt() const { return doubt_; }
    // The revision of the list in use.
    std::uint64_t revision() const { return revision_; }
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
    // Counts equal responses in doubt; returns whether this one is confirmed.
    bool confirm(snapshot_doubt previous_doubt, const snapshot_facts &facts);
    // Back to the first backoff and the first window of rejected polls.
    void reset_delays();
    bool is_agent() const { return service_kind_ == list_service_kind::agent; }

    list_service_kind service_kind_;
    poll_intervals intervals_;
    std::minstd_rand random_;
    poll_state state_ = poll_state::no_endpoints;
    snapshot_doubt doubt_ = snapshot_doubt::none;
    index confirmations_ = 0; // equal responses in doubt, in a row
    std::uint64_t revision_ = 0, doubted_revision_ = 0;
    double next_poll_at_ = 0;
    double backoff_ = 0, rejected_window_ = 0;  // s
    double tokens_ = 0, tokens_updated_at_ = 0; // the poll budget, a token bucket
};

} // namespace harrierpass::discovery
