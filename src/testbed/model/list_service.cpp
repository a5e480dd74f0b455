// SPDX-License-Identifier: Apache-2.0
#include "testbed/model/list_service.hpp"

#include <algorithm>

namespace harrierpass::testbed {
namespace {

constexpr double max_watch_time = 60; // seconds that a watch may stay open

} // namespace

list_service::list_service(timeline &clock, const list_service_settings &settings, member_list &list)
    : clock_(clock), settings_(settings), list_(list), workers_(clock, settings.workers, settings.queue) {}

list_response list_service::changes(std::uint64_t since) const {
    return {false, false, 0, list_.revision(), list_.since(since)};
}

std::uint64_t list_service::poll(std::optional<std::uint64_t> since, double wait,
                                 const response_callback &done) {
    const std::uint64_t poll_number = next_poll_++;
    if (!list_.responding() || !up_)
        return poll_number;
    const auto respond = [this, poll_number, since, wait, done, incarnation = incarnation_] {
        if (incarnation != incarnation_ || pending_.erase(poll_number) == 0 || !list_.responding())
            return;
        if (since)
            return open_watch(poll_number, *since, wait, done);
        list_response snapshot{false, true, 0, list_.revision(), {}};
        for (const auto &member : list_.all())
            if (member.state != endpoint_state::removed)
                snapshot.members.push_back(member);
        done(snapshot);
    };
    pending_[poll_number] = true;
    if (settings_.form == list_service_kind::agent) {
        respond();
        return poll_number;
    }
    const double work = since ? settings_.watch_work : settings_.snapshot_work;
    if (!workers_.submit([work] { return work; }, respond)) {
        pending_.erase(poll_number);
        done({true, false, settings_.retry_after, 0, {}});
    }
    return poll_number;
}

void list_service::open_watch(std::uint64_t poll_number, std::uint64_t since, double wait,
                              const response_callback &done) {
    if (since < list_.revision())
        return done(changes(since));
    watches_[poll_number] = {since, done};
    clock_.after(std::clamp(wait, 0.0, max_watch_time), [this, poll_number, incarnation = incarnation_] {
        const auto found = watches_.find(poll_number);
        if (incarnation != incarnation_ || found == watches_.end() || !list_.responding())
            return;
        const watch expired = std::move(found->second);
        watches_.erase(found);
        expired.done(changes(expired.since));
    });
}

void list_service::cancel(std::uint64_t poll_number) {
    watches_.erase(poll_number);
    pending_.erase(poll_number); // its worker stays in use: the service does not notice the cancellation
}

void list_service::on_list_changed() {
    if (!list_.responding())
        return;
    const auto open_watches = std::move(watches_);
    watches_.clear();
    for (const auto &[poll_number, each] : open_watches)
        each.done(changes(each.since));
}

void list_service::stop() {
    ++incarnation_;
    up_ = false;
    watches_.clear();
    pending_.clear();
    workers_.clear();
}

} // namespace harrierpass::testbed
