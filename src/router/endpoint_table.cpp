// SPDX-License-Identifier: Apache-2.0
#include "router/endpoint_table.hpp"

#include <utility>

namespace harrierpass {

endpoint_record endpoint_table::make_record(const endpoint_info &entry, adaptive_limit limit, double now) {
    endpoint_record record;
    record.id = entry.id;
    record.limit = limit;
    record.silence = silence_tracker(now);
    return record;
}

endpoint_record &endpoint_table::find_or_create(endpoint_index endpoint) {
    records_.grow_to(endpoint);
    return records_[endpoint];
}

void endpoint_table::mark_all_removed() {
    for (auto &record : records_)
        record.info.state = endpoint_state::removed;
}

std::vector<endpoint_index> endpoint_table::ready_cache_endpoints() const {
    std::vector<endpoint_index> ready;
    for (endpoint_index endpoint{0}; endpoint < end_index(); ++endpoint)
        if (records_[endpoint].info.state == endpoint_state::ready && !is_origin(records_[endpoint]))
            ready.push_back(endpoint);
    return ready;
}

void endpoint_table::update_origin() {
    if (origin_ != none && !is_origin(records_[origin_]))
        origin_ = none;
    for (endpoint_index endpoint{0}; endpoint < end_index(); ++endpoint) {
        auto &record = records_[endpoint];
        record.limit.set_origin(is_origin(record));
        if (is_origin(record) && (origin_ == none || record.info.state != endpoint_state::removed))
            origin_ = endpoint;
    }
    fleet_in_flight_ = 0;
    for (endpoint_index endpoint{0}; endpoint < end_index(); ++endpoint)
        fleet_in_flight_ += endpoint == origin_ ? 0 : records_[endpoint].in_flight;
}

void endpoint_table::count_in_flight(attempt_record &attempt, bool in_flight, double now) {
    if (std::exchange(attempt.counts_in_flight, in_flight) == in_flight)
        return;
    auto &record = records_[attempt.endpoint];
    record.silence.advance(record.awaiting_response(), now);
    if (std::exchange(attempt.has_begun_response, false))
        --record.responding;
    const std::uint32_t change = in_flight ? 1 : -1U; // unsigned arithmetic wraps
    record.in_flight += change;
    fleet_in_flight_ += attempt.endpoint == origin_ ? 0 : change;
}

void endpoint_table::record_response_begin(attempt_record &attempt, double now) {
    if (!attempt.counts_in_flight || std::exchange(attempt.has_begun_response, true))
        return;
    auto &record = records_[attempt.endpoint];
    record.silence.advance(record.awaiting_response(), now);
    record.silence.reset();
    ++record.responding;
}

} // namespace harrierpass
