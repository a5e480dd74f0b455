// SPDX-License-Identifier: Apache-2.0
#include "testbed/model/list_service.hpp"

#include <algorithm>

namespace harrierpass::testbed {
namespace {

constexpr double max_watch_time = 60; // s that a watch may wait

} // namespace

list_service::list_service(timeline &clock, const list_service_settings &settings, member_list &list)
    : clock_(clock), settings_(settings), list_(list), workers_(clock, settings.workers, settings.queue) {}

list_answer list_service::changes(std::uint64_t since) const {
    return {false, false, 0, list_.revision(), list_.since(since)};
}

std::uint64_t list_service::call(std::optional<std::uint64_t> since, double wait, const done_to &done) {
    const std::uint64_t number = next_++;
    if (!list_.answers() || !up_)
        return number;
    const auto serve = [this, number, since, wait, done, incarnation = incarnation_] {
        if (incarnation != incarnation_ || waiting_.erase(number) == 0 || !list_.answers())
            return;
        if (since)
            return open(number, *since, wait, done);
        list_answer all{false, true, 0, list_.revision(), {}};
        for (const auto &each : list_.all())
            if (each.state != endpoint_state::removed)
                all.members.push_back(each);
        done(all);
    };
    waiting_[number] = true;
    if (settings_.form == list_service_kind::agent) {
        serve();
        return number;
    }
    const double work = since ? settings_.watch_work : settings_.snapshot_work;
    if (!workers_.take([work] { return work; }, serve)) {
        waiting_.erase(number);
        done({true, false, settings_.retry_after, 0, {}});
    }
    return number;
}

void list_service::open(std::uint64_t call, std::uint64_t since, double wait, const done_to &done) {
    if (since < list_.revision())
        return done(changes(since));
    watching_[call] = {since, done};
    clock_.after(std::clamp(wait, 0.0, max_watch_time), [this, call, incarnation = incarnation_] {
        const auto found = watching_.find(call);
        if (incarnation != incarnation_ || found == watching_.end() || !list_.answers())
            return;
        const watch over = std::move(found->second);
        watching_.erase(found);
        over.done(changes(over.since));
    });
}

void list_service::drop(std::uint64_t call) {
    watching_.erase(call);
    waiting_.erase(call); // its place with a worker stays taken, as the service does not look up
}

void list_service::changed() {
    if (!list_.answers())
        return;
    const auto all = std::move(watching_);
    watching_.clear();
    for (const auto &[call, each] : all)
        each.done(changes(each.since));
}

void list_service::die() {
    ++incarnation_;
    up_ = false;
    watching_.clear();
    waiting_.clear();
    workers_.clear();
}

} // namespace harrierpass::testbed
