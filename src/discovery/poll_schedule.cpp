// SPDX-License-Identifier: Apache-2.0
#include "discovery/poll_schedule.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace harrierpass::discovery {
namespace {

constexpr double never = std::numeric_limits<double>::infinity();
constexpr double rejected_window_growth = 1.5; // factor per rejection
constexpr double backoff_growth = 2;           // factor per failure
constexpr double max_retry_after = 60;         // in seconds; a larger value is assumed to be in another unit
constexpr double poll_rate = 1;                // tokens per second added to the poll budget
constexpr double poll_burst = 20;              // tokens; limits the polls for a list that changes constantly
// Minimum share of watch_timeout. The random share keeps watches from ending at the same time.
constexpr double min_watch_share = 0.8;
// The first random numbers of adjacent seeds are similar.
constexpr unsigned long long discarded_draws = 8;
constexpr std::array log_names = {"empty", "known", "current", "doubtful"}; // indexed by poll_state

} // namespace

const char *name_of(poll_state state) {
    return log_names[static_cast<std::size_t>(state)];
}

poll_schedule::poll_schedule(const poll_settings &settings, std::uint32_t seed, double now,
                             std::optional<std::uint64_t> cached_revision)
    : service_kind_(settings.service), intervals_(compute_poll_intervals(settings)),
      random_(seed == 0 ? 1 : seed), tokens_(poll_burst), tokens_updated_at_(now) {
    random_.discard(discarded_draws);
    if (cached_revision && !is_agent()) {
        state_ = poll_state::cached_endpoints;
        revision_ = *cached_revision;
    }
    reset_delays();
    schedule_poll(now, intervals_.initial_poll_window * random_fraction());
}

void poll_schedule::reset_delays() {
    backoff_ = intervals_.min_backoff;
    rejected_window_ = intervals_.rejected_poll_window;
}

double poll_schedule::random_fraction() {
    constexpr double range = std::minstd_rand::max() - std::minstd_rand::min() + 1.0;
    return (static_cast<double>(random_()) - 1) / range;
}

double poll_schedule::available_tokens(double now) const {
    return std::min(poll_burst, tokens_ + (now - tokens_updated_at_) * poll_rate);
}

void poll_schedule::refill_tokens(double now) {
    tokens_ = available_tokens(now);
    tokens_updated_at_ = now;
}

void poll_schedule::schedule_poll(double now, double delay) {
    next_poll_at_ = now + delay;
    if (is_agent())
        return;
    refill_tokens(now);
    if (tokens_ < 1)
        next_poll_at_ = std::max(next_poll_at_, now + (1 - tokens_) / poll_rate);
}

endpoint_poll poll_schedule::start_poll(double now) {
    next_poll_at_ = never;
    const endpoint_poll snapshot_poll{std::nullopt, 0, intervals_.response_timeout};
    if (is_agent()) {
        if (state_ != poll_state::current)
            return snapshot_poll;
        return {revision_, intervals_.watch_timeout, intervals_.watch_timeout + intervals_.response_timeout};
    }
    refill_tokens(now);
    --tokens_;
    if (state_ == poll_state::no_endpoints || state_ == poll_state::awaiting_confirmation)
        return snapshot_poll;
    const double watch_timeout =
        intervals_.watch_timeout * (min_watch_share + (1 - min_watch_share) * random_fraction());
    return {revision_, watch_timeout, watch_timeout + intervals_.response_timeout};
}

bool poll_schedule::on_update(double now, const snapshot_facts &facts) {
    reset_delays();
    const bool is_trusted = is_agent() || state_ == poll_state::no_endpoints;
    const implausibility previous =
        std::exchange(implausibility_, is_trusted ? implausibility::none : find_implausibility(facts));
    if (implausibility_ != implausibility::none && !confirm(previous, facts)) {
        state_ = poll_state::awaiting_confirmation;
        schedule_poll(now, intervals_.initial_poll_window * random_fraction());
        return false;
    }
    state_ = poll_state::current;
    confirmations_ = 0;
    revision_ = facts.revision;
    schedule_poll(now, intervals_.max_watch_delay * random_fraction());
    return true;
}

bool poll_schedule::confirm(implausibility previous, const snapshot_facts &facts) {
    const bool is_repeated =
        previous == implausibility_ && facts.is_snapshot && facts.revision >= implausible_revision_;
    // Only snapshots confirm. A watch response with an older revision means that a snapshot is needed.
    if (!facts.is_snapshot)
        confirmations_ = 0;
    else
        confirmations_ = is_repeated ? confirmations_ + 1 : 1;
    implausible_revision_ = facts.revision;
    return confirmations_ >= confirmations_needed(implausibility_);
}

void poll_schedule::on_rejected(double now, double retry_after) {
    if (is_agent())
        return on_failure(now);
    // The window is limited for a proxy that has a list, because it serves requests and must notice drains.
    const double window = state_ == poll_state::no_endpoints
                              ? rejected_window_
                              : std::min(rejected_window_, intervals_.max_backoff);
    schedule_poll(now, std::clamp(retry_after, 0.0, max_retry_after) + window * random_fraction());
    rejected_window_ =
        std::min(rejected_window_ * rejected_window_growth, std::max(rejected_window_, max_retry_after));
}

void poll_schedule::on_failure(double now) {
    if (is_agent()) {
        state_ = poll_state::no_endpoints;
        next_poll_at_ = never;
        return;
    }
    schedule_poll(now, backoff_ * random_fraction());
    backoff_ = std::min(backoff_ * backoff_growth, intervals_.max_backoff);
}

void poll_schedule::request_poll(double now) {
    if (is_agent() && next_poll_at_ == never)
        next_poll_at_ = now;
}

void poll_schedule::on_settings_changed(double now, const poll_settings &settings) {
    service_kind_ = settings.service;
    intervals_ = compute_poll_intervals(settings);
    reset_delays();
    state_ = poll_state::no_endpoints;
    confirmations_ = 0;
    implausibility_ = implausibility::none;
    next_poll_at_ = now;
}

} // namespace harrierpass::discovery
