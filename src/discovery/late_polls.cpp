// SPDX-License-Identifier: Apache-2.0
#include "discovery/late_polls.hpp"

namespace harrierpass::discovery {
namespace {

constexpr double max_age = 60;   // s; then the first poll is given up, too
constexpr double recent_age = 6; // s; a change has to be known by then

} // namespace

std::optional<std::size_t> surplus_poll(std::span<const double> started_at, double now) {
    if (!started_at.empty() && now - started_at.front() > max_age)
        return 0;
    if (started_at.size() > 1 && now - started_at[1] > recent_age)
        return 1;
    if (started_at.size() <= max_late_polls)
        return std::nullopt;
    std::size_t closest = 1;
    for (std::size_t i = 2; i + 1 < started_at.size(); ++i)
        if (started_at[i] - started_at[i - 1] < started_at[closest] - started_at[closest - 1])
            closest = i;
    return closest;
}

} // namespace harrierpass::discovery
