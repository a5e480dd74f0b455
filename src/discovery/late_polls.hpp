// SPDX-License-Identifier: Apache-2.0
// Decides how long a proxy keeps the connections of polls that the discovery service has not answered in
// time. Such a poll counts as failed and others follow it, but the service may be slow and not silent: its
// answer counts when it comes. Pure functions; times are in seconds.
#pragma once

#include <cstddef>
#include <optional>
#include <span>

namespace harrierpass::discovery {

// Polls that may be kept at a time.
inline constexpr std::size_t max_late_polls = 8;

// Chooses a poll to be given up, or none if all are kept. `started_at` has the times at which the polls were
// started, the earliest first. Call again after each poll that was given up.
//
// Of the polls that were started long ago only the first is kept, so that a service that answers after a long
// time is heard, too. Where there are too many others, the one goes that was started soonest after another
// one: the answers of a slow service then come at short intervals, whatever its delay. The latest poll is
// kept.
[[nodiscard]] std::optional<std::size_t> surplus_poll(std::span<const double> started_at, double now);

} // namespace harrierpass::discovery
