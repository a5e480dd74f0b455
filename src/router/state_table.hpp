// SPDX-License-Identifier: Apache-2.0
// Table-driven state machines: one row for each pair of state and event that has an effect.
#pragma once

#include <algorithm>

namespace harrierpass {

/// One row of a table: `event` in `state` leads to `next` and calls `handler`.
template <typename State, typename Event, typename Handler> struct transition {
    State state;
    Event event;
    State next;
    Handler handler;
};

/// Returns the row for a state and an event, or null if the event has no effect in that state.
template <typename Table, typename State, typename Event>
const typename Table::value_type *find_transition(const Table &table, State state, Event event) {
    const auto matches = [&](const auto &row) { return row.state == state && row.event == event; };
    const auto row = std::ranges::find_if(table, matches);
    return row == table.end() ? nullptr : &*row;
}

} // namespace harrierpass
