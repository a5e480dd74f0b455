// SPDX-License-Identifier: Apache-2.0
#include "router/request_table.hpp"

namespace harrierpass {

request_record &request_table::create(request_index request) {
    records_.grow_to(request);
    auto &record = records_[request];
    const std::uint32_t generation = record.generation + 1;
    record = request_record{};
    record.generation = generation;
    record.is_live = true;
    record.state = request_state::queued;
    return record;
}

void request_table::release(request_index request) {
    auto &record = records_[request];
    record.is_live = false;
    ++record.generation;
}

std::optional<request_timer> request_timers::take_due(double now) {
    if (timers_.empty() || timers_.top().due_at > now)
        return std::nullopt;
    const request_timer timer = timers_.top();
    timers_.pop();
    return timer;
}

bool is_expired(const request_timer &timer, const request_record &request, double now) {
    if (!request.is_live || request.generation != timer.generation)
        return false;
    return now >= request.deadline ||
           (request.state == request_state::queued && now >= request.queue_deadline);
}

} // namespace harrierpass
