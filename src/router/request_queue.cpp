// SPDX-License-Identifier: Apache-2.0
#include "router/request_queue.hpp"

#include <algorithm>

namespace harrierpass {
namespace {

constexpr std::size_t max_batch_size = 16; // requests
constexpr double queue_time_share = 0.25;  // share of the allowed time

} // namespace

bool request_queue::add(request_index request, double priority_weight) {
    const auto is_same_request = [&](const entry &queued) { return queued.request == request; };
    if (std::ranges::any_of(entries_, is_same_request))
        return false;
    const auto position = std::ranges::find_if(
        entries_, [&](const entry &queued) { return priority_weight > queued.priority_weight; });
    entries_.insert(position, {request, priority_weight});
    return true;
}

void request_queue::remove(request_index request) {
    std::erase_if(entries_, [&](const entry &queued) { return queued.request == request; });
}

std::vector<request_index> request_queue::next_batch() const {
    std::vector<request_index> batch;
    for (std::size_t i = 0; i < std::min(max_batch_size, entries_.size()); ++i)
        batch.push_back(entries_[i].request);
    return batch;
}

double max_queue_time(double allowed_time) {
    return queue_time_share * allowed_time;
}

} // namespace harrierpass
