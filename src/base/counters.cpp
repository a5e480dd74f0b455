// SPDX-License-Identifier: Apache-2.0
#include "base/counters.hpp"

#include <ostream>
#include <string_view>

namespace harrierpass {
namespace {

// The printed names in the order of the counters; dashboards and scripts read them.
// clang-format off
constexpr std::array<std::string_view, static_cast<std::size_t>(counter::total)> printed_names = {
    "queries_taken",
    "queries_malformed",
    "queries_crowded_out",
    "answers_completed",
    "answers_rejected",
    "answers_aborted",
    "queries_left",
    "answers_cut",
    "executions_sent",
    "executions_completed",
    "executions_error",
    "executions_queue_full",
    "executions_timed_out",
    "executions_connect_error",
    "executions_reset",
    "executions_canceled",
    "executions_miss",
    "executions_spoilt",
    "executions_stalled",
    "probes_sent",
    "probes_answered",
    "lists_received",
    "lists_lost",
    "lists_late",
    "list_calls_whole",
    "list_calls_watch",
    "lists_refused",
    "lists_doubted",
    "snapshots_written",
    "snapshots_failed",
    "configurations_adopted",
    "invariants_violated",
    "clients_accepted",
    "clients_ended",
    "server_dials",
    "server_dials_failed",
    "server_kept_used",
    "server_kept_stale"};
// clang-format on

} // namespace

void counters::print(std::ostream &output) const {
    for (std::size_t i = 0; i < printed_names.size(); ++i)
        output << "counter " << printed_names[i] << ' ' << value(static_cast<counter>(i)) << '\n';
    output << std::flush;
}

} // namespace harrierpass
