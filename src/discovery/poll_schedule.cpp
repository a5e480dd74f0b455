// SPDX-License-Identifier: Apache-2.0
#include "discovery/poll_schedule.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace harrierpass::discovery {
namespace {

constexpr double never = std::numeric_limits<double>::infinity();
constexpr double growth = 1.5;        // of the window, with each refusal
constexpr double most_come_back = 60; // s that a service's word is kept; beyond, a unit was taken for another
constexpr double call_rate = 1;       // calls a second that a proxy makes in the long run, ...
constexpr double call_burst = 20;     // ... and at once; a list that changes all the time is read in steps
constexpr double least_of_wait =
    0.8; // of a watch's wait, by chance: guards against watches that end together
constexpr std::array names = {"empty", "known", "current", "doubtful"};

} // namespace

const char *name_of(poll_state of) {
    return names[static_cast<std::size_t>(of)];
}

poll_schedule::poll_schedule(const poll_settings &given, std::uint32_t seed, double now,
                             std::optional<std::uint64_t> known)
    : service_kind_(given.service), intervals_(compute_poll_intervals(given)), random_(seed == 0 ? 1 : seed),
      tokens_(call_burst), tokens_updated_at_(now) {
    random_.discard(8);
    if (known && !is_agent()) {
        state_ = poll_state::cached_endpoints;
        revision_ = *known;
    }
    backoff_ = intervals_.min_backoff;
    rejected_window_ = intervals_.rejected_poll_window;
    schedule_poll(now, intervals_.initial_poll_window * random_fraction());
}

double poll_schedule::random_fraction() {
    return (static_cast<double>(random_()) - 1) / 2147483646.0;
}

double poll_schedule::available_tokens(double now) const {
    return std::min(call_burst, tokens_ + (now - tokens_updated_at_) * call_rate);
}

// Guards the service against one proxy: beyond a burst, calls come at the long run's rate.
void poll_schedule::schedule_poll(double now, double delay) {
    next_poll_at_ = now + delay;
    if (is_agent())
        return;
    tokens_ = available_tokens(now);
    tokens_updated_at_ = now;
    if (tokens_ < 1)
        next_poll_at_ = std::max(next_poll_at_, now + (1 - tokens_) / call_rate);
}

endpoint_poll poll_schedule::start_poll(double now) {
    next_poll_at_ = never; // one call out at a time
    if (!is_agent()) {
        tokens_ = available_tokens(now) - 1;
        tokens_updated_at_ = now;
        if (state_ == poll_state::no_endpoints || state_ == poll_state::awaiting_confirmation)
            return {std::nullopt, 0, intervals_.response_timeout};
        const double wait =
            intervals_.watch_timeout * (least_of_wait + (1 - least_of_wait) * random_fraction());
        return {revision_, wait, wait + intervals_.response_timeout};
    }
    if (state_ != poll_state::current)
        return {std::nullopt, 0, intervals_.response_timeout};
    return {revision_, intervals_.watch_timeout, intervals_.watch_timeout + intervals_.response_timeout};
}

bool poll_schedule::on_update(double now, const snapshot_facts &what) {
    backoff_ = intervals_.min_backoff;
    rejected_window_ = intervals_.rejected_poll_window;
    const snapshot_doubt before = std::exchange(
        doubt_, is_agent() || state_ == poll_state::no_endpoints ? snapshot_doubt::none : assess(what));
    if (doubt_ != snapshot_doubt::none) {
        // An answer to a watch that is older than what it was asked from tells that a whole list is owed.
        const bool again = before == doubt_ && what.is_snapshot && what.revision >= doubted_revision_;
        confirmations_ = what.is_snapshot ? (again ? confirmations_ + 1 : 1) : 0;
        doubted_revision_ = what.revision;
        if (confirmations_ < confirmations_needed(doubt_)) {
            state_ = poll_state::awaiting_confirmation;
            schedule_poll(now, intervals_.initial_poll_window * random_fraction());
            return false;
        }
    }
    state_ = poll_state::current;
    confirmations_ = 0;
    revision_ = what.revision;
    schedule_poll(now, intervals_.max_watch_delay * random_fraction());
    return true;
}

void poll_schedule::on_rejected(double now, double come_back) {
    if (is_agent())
        return on_failure(now);
    // One that has a list must hear of drains; one that has none sends to nobody.
    const double window = state_ == poll_state::no_endpoints
                              ? rejected_window_
                              : std::min(rejected_window_, intervals_.max_backoff);
    schedule_poll(now, std::clamp(come_back, 0.0, most_come_back) + window * random_fraction());
    rejected_window_ = std::min(rejected_window_ * growth, std::max(rejected_window_, most_come_back));
}

void poll_schedule::on_failure(double now) {
    if (is_agent()) {
        state_ = poll_state::no_endpoints;
        next_poll_at_ = never;
        return;
    }
    schedule_poll(now, backoff_ * random_fraction());
    backoff_ = std::min(backoff_ * 2, intervals_.max_backoff);
}

void poll_schedule::request_poll(double now) {
    if (is_agent() && next_poll_at_ == never)
        next_poll_at_ = now;
}

void poll_schedule::on_settings_changed(double now, const poll_settings &given) {
    service_kind_ = given.service;
    intervals_ = compute_poll_intervals(given);
    backoff_ = intervals_.min_backoff;
    rejected_window_ = intervals_.rejected_poll_window;
    state_ = poll_state::no_endpoints;
    confirmations_ = 0;
    doubt_ = snapshot_doubt::none;
    next_poll_at_ = now;
}

} // namespace harrierpass::discovery
