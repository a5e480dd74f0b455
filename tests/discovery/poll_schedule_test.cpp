// SPDX-License-Identifier: Apache-2.0
// Tests when the discovery service is polled and which of its responses are used. No I/O.
#include "discovery/poll_schedule.hpp"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <vector>

namespace harrierpass::discovery {
namespace {

constexpr double never = std::numeric_limits<double>::infinity();

poll_settings fleet_settings(index proxy_count, list_service_kind service = list_service_kind::shared) {
    return {.service = service,
            .proxy_count = proxy_count,
            .max_poll_interval = 10,
            .agent_watch_timeout = 1,
            .agent_response_timeout = 0.5};
}
snapshot_facts snapshot(std::uint64_t revision, std::uint64_t known_revision, std::size_t known,
                        std::size_t named, std::size_t common) {
    return {true, revision, known_revision, known, named, common};
}

// Simulates a fleet that polls a discovery service with one worker and a queue, on one simulated clock.
struct fleet_run {
    struct service {
        double snapshot_work = 0.05, watch_work = 0.001, retry_after = 5; // in seconds
        index queue_capacity = 20;                                        // snapshots
        std::function<bool(double)> is_up = [](double) { return true; };
    };
    std::vector<double> polls, rejections, snapshots;
    std::vector<double> received_at; // by proxy: time of its first accepted list, or never

    fleet_run(index proxy_count, bool has_list, const service &discovery_service, double run_time)
        : received_at(proxy_count, never) {
        std::vector<poll_schedule> schedules;
        for (index i = 0; i < proxy_count; ++i)
            schedules.emplace_back(fleet_settings(proxy_count), i + 1, 0,
                                   has_list ? std::optional<std::uint64_t>(7) : std::nullopt);
        std::multimap<double, std::function<void(double)>> event_queue;
        double busy_until = 0;
        std::function<void(index)> schedule_next = [&](index i) {
            event_queue.emplace(schedules[i].next_poll_at(), [&, i](double now) {
                const endpoint_poll poll = schedules[i].start_poll(now);
                polls.push_back(now);
                if (!discovery_service.is_up(now)) {
                    schedules[i].on_failure(now);
                    return schedule_next(i);
                }
                const double work =
                    poll.watch_revision ? discovery_service.watch_work : discovery_service.snapshot_work;
                if (busy_until - now > discovery_service.queue_capacity * discovery_service.snapshot_work) {
                    rejections.push_back(now);
                    schedules[i].on_rejected(now, discovery_service.retry_after);
                    CHECK(schedules[i].next_poll_at() >= now + discovery_service.retry_after);
                    return schedule_next(i);
                }
                busy_until = std::max(busy_until, now) + work;
                if (!poll.watch_revision)
                    snapshots.push_back(now);
                event_queue.emplace(
                    busy_until + poll.watch_timeout,
                    [&, i, is_snapshot = !poll.watch_revision](double response_time) {
                        if (!discovery_service.is_up(response_time)) // it failed during the watch
                            schedules[i].on_failure(response_time);
                        else if (schedules[i].on_update(response_time,
                                                        {is_snapshot, 7, schedules[i].revision(), 0, 10, 0}))
                            received_at[i] = std::min(received_at[i], response_time);
                        schedule_next(i);
                    });
            });
        };
        for (index i = 0; i < proxy_count; ++i)
            schedule_next(i);
        while (!event_queue.empty() && event_queue.begin()->first < run_time) {
            const auto [now, event] = *event_queue.begin();
            event_queue.erase(event_queue.begin());
            event(now);
        }
    }
    static std::size_t max_within(const std::vector<double> &times, double duration, double start_time = 0) {
        std::size_t highest = 0;
        for (std::size_t i = 0, j = 0; i < times.size(); ++i) {
            while (times[i] - times[j] > duration)
                ++j;
            if (times[i] >= start_time)
                highest = std::max(highest, i - j + 1);
        }
        return highest;
    }
};

} // namespace

TEST_CASE(
    "poll schedule: an agent is polled at once, after each response, and after a failure on request_poll()") {
    poll_schedule schedule(fleet_settings(300, list_service_kind::agent), 5, 100, 41);
    CHECK(schedule.next_poll_at() == 100);
    CHECK_FALSE(schedule.start_poll(100).watch_revision); // a snapshot, despite the cached revision
    CHECK(schedule.next_poll_at() == never);
    CHECK(schedule.on_update(100.2, snapshot(3, 41, 50, 0, 0))); // an agent's list is always plausible
    CHECK(schedule.next_poll_at() == 100.2);
    const endpoint_poll watch = schedule.start_poll(100.2);
    CHECK(watch.watch_revision == 3);
    CHECK(watch.watch_timeout == 1);
    CHECK(watch.timeout == 1.5);
    schedule.on_failure(101.7);
    CHECK(schedule.next_poll_at() == never);
    schedule.request_poll(102);
    CHECK(schedule.next_poll_at() == 102);
    CHECK_FALSE(schedule.start_poll(102).watch_revision);
    schedule.on_rejected(102.1, 5); // for an agent, the same as a failure
    CHECK(schedule.next_poll_at() == never);
}

TEST_CASE(
    "poll schedule: the first poll is a watch at the cached revision, or a snapshot without a cached list") {
    for (std::uint32_t seed = 1; seed < 200; ++seed) {
        poll_schedule with_list(fleet_settings(300), seed, 10, 41),
            without_list(fleet_settings(300), seed, 10, std::nullopt);
        CHECK(with_list.next_poll_at() >= 10);
        CHECK(with_list.next_poll_at() <= 10 + with_list.intervals().initial_poll_window);
        CHECK(with_list.start_poll(with_list.next_poll_at()).watch_revision == 41);
        CHECK_FALSE(without_list.start_poll(without_list.next_poll_at()).watch_revision);
        CHECK(with_list.state() == poll_state::cached_endpoints);
        CHECK(without_list.state() == poll_state::no_endpoints);
    }
    // A single proxy hardly waits.
    CHECK(compute_poll_intervals(fleet_settings(1)).initial_poll_window < 0.05);
    const poll_intervals large_fleet = compute_poll_intervals(fleet_settings(520));
    CHECK(large_fleet.initial_poll_window <= 5); // half of the poll interval
    CHECK(large_fleet.watch_timeout + large_fleet.response_timeout <= 10);
}

TEST_CASE("poll schedule: a fleet that starts at once spreads its polls, without rejections after the first "
          "window") {
    for (const index proxy_count : {24, 100, 300, 520}) {
        const fleet_run cached(proxy_count, true, {}, 30), fresh(proxy_count, false, {}, 90);
        const double window = compute_poll_intervals(fleet_settings(proxy_count)).initial_poll_window;
        CHECK(cached.rejections.empty());
        CHECK(cached.snapshots.empty());
        CHECK(fleet_run::max_within(cached.polls, 0.1) <= 10 + 3 * std::sqrt(10.0) + 4);
        CHECK(fleet_run::max_within(fresh.polls, 0.1) <= 10 + 3 * std::sqrt(10.0) + 4);
        CHECK(std::none_of(fresh.rejections.begin(), fresh.rejections.end(),
                           [&](double time) { return time > window + 1; }));
        CHECK(std::all_of(fresh.received_at.begin(), fresh.received_at.end(),
                          [](double time) { return time < never; }));
        CHECK(fresh.snapshots.size() == proxy_count); // one per proxy
    }
}

TEST_CASE("poll schedule: polls stay spread when the service recovers after a minute") {
    const fleet_run fleet(300, true, {.is_up = [](double now) { return now < 5 || now > 65; }}, 90);
    CHECK(fleet.snapshots.empty());
    CHECK(fleet.rejections.empty());
    CHECK(fleet_run::max_within(fleet.polls, 0.1) <= 40);
    std::size_t polls_while_down = 0;
    for (const double time : fleet.polls)
        polls_while_down += time > 25 && time < 65; // the backoff has reached its limit
    CHECK(polls_while_down < 300 * 40 / 4);
}

TEST_CASE("poll schedule: the window of rejected polls grows and no poll precedes its Retry-After") {
    poll_schedule schedule(fleet_settings(300), 9, 0, std::nullopt);
    double now = schedule.next_poll_at(), previous = 0;
    for (int i = 0; i < 8; ++i) {
        schedule.start_poll(now);
        schedule.on_rejected(now, 5);
        CHECK(schedule.next_poll_at() >= now + 5);
        CHECK(schedule.next_poll_at() <= now + 5 + 60);
        previous = now;
        now = schedule.next_poll_at();
    }
    CHECK(now > previous);
    schedule.on_rejected(now, 1e9); // a Retry-After in another unit
    CHECK(schedule.next_poll_at() < now + 121);
}

TEST_CASE("poll schedule: one poll is in flight at a time, and the poll budget limits the polls") {
    poll_schedule schedule(fleet_settings(1), 3, 0, 1);
    std::size_t polls = 0;
    std::uint64_t revision = 1;
    for (double now = schedule.next_poll_at(); now < 120;
         now = schedule.next_poll_at(), ++polls) { // a list that changes constantly
        schedule.start_poll(now);
        CHECK(schedule.next_poll_at() == never);
        CHECK(schedule.on_update(now, {false, ++revision, revision - 1, 50, 1, 1}));
    }
    CHECK(polls <= 142);
    CHECK(polls >= 100);
}

TEST_CASE("poll schedule: an implausible response is used only once it is confirmed") {
    struct implausible_case {
        snapshot_facts facts;
        implausibility kind;
        index confirmations;
    };
    const implausible_case cases[] = {{snapshot(42, 41, 50, 0, 0), implausibility::empty, 3},
                                      {snapshot(42, 41, 50, 20, 20), implausibility::mostly_missing, 2},
                                      {snapshot(42, 41, 50, 50, 0), implausibility::unrelated, 2},
                                      {snapshot(40, 41, 50, 50, 50), implausibility::outdated, 2}};
    for (const auto &test_case : cases) {
        poll_schedule schedule(fleet_settings(300), 2, 0, 41);
        double now = schedule.next_poll_at();
        for (index i = 1; i <= test_case.confirmations; ++i) {
            schedule.start_poll(now);
            CHECK(schedule.on_update(now, test_case.facts) == (i == test_case.confirmations));
            CHECK(schedule.latest_implausibility() == test_case.kind);
            CHECK((schedule.state() == poll_state::awaiting_confirmation) == (i < test_case.confirmations));
            if (i < test_case.confirmations) {
                CHECK(schedule.revision() == 41);
                CHECK(schedule.next_poll_at() <= now + schedule.intervals().initial_poll_window);
            }
            now = schedule.next_poll_at();
        }
        CHECK(schedule.revision() == test_case.facts.revision);
        // A plausible response between two implausible ones restarts the confirmations.
        poll_schedule recovering(fleet_settings(300), 2, 0, 41);
        recovering.start_poll(recovering.next_poll_at());
        CHECK_FALSE(recovering.on_update(1, test_case.facts));
        recovering.start_poll(recovering.next_poll_at());
        CHECK(recovering.on_update(2, snapshot(41, 41, 50, 50, 50)));
        CHECK(recovering.state() == poll_state::current);
        recovering.start_poll(recovering.next_poll_at());
        CHECK_FALSE(recovering.on_update(3, test_case.facts));
    }
    // Fewer than four endpoints may be replaced at once, and a delta may remove many endpoints.
    poll_schedule small(fleet_settings(3), 2, 0, 41);
    small.start_poll(small.next_poll_at());
    CHECK(small.on_update(1, snapshot(42, 41, 3, 3, 0)));
    small.start_poll(small.next_poll_at());
    CHECK(small.on_update(2, {false, 43, 42, 50, 0, 50}));
    // A watch response with an older revision is followed by a snapshot.
    poll_schedule reverted(fleet_settings(300), 2, 0, 41);
    reverted.start_poll(reverted.next_poll_at());
    CHECK_FALSE(reverted.on_update(1, {false, 12, 41, 50, 0, 0}));
    CHECK_FALSE(reverted.start_poll(reverted.next_poll_at()).watch_revision);
    CHECK_FALSE(reverted.on_update(2, snapshot(12, 41, 50, 50, 50)));
    reverted.start_poll(reverted.next_poll_at());
    CHECK(reverted.on_update(3, snapshot(12, 41, 50, 50, 50)));
    // After a change of settings, the first snapshot is plausible.
    reverted.on_settings_changed(4, fleet_settings(300));
    CHECK(reverted.next_poll_at() == 4);
    CHECK_FALSE(reverted.start_poll(4).watch_revision);
    CHECK(reverted.on_update(4, snapshot(1, 12, 50, 10, 0)));
}

} // namespace harrierpass::discovery
