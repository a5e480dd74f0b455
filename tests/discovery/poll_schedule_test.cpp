// SPDX-License-Identifier: Apache-2.0
// When the discovery service is polled and which of its responses are used, without I/O.
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

// A fleet before a discovery service with one worker and a queue, on one simulated clock.
struct fleet_run {
    struct service {
        double snapshot_work = 0.05, watch_work = 0.001, retry_after = 5;
        index queue = 20;
        std::function<bool(double)> is_up = [](double) { return true; };
    };
    std::vector<double> polls, rejections, snapshots;
    std::vector<double> received_at; // by proxy: when its list came, or never

    fleet_run(index proxy_count, bool has_list, const service &discovery_service, double length)
        : received_at(proxy_count, never) {
        std::vector<poll_schedule> schedules;
        for (index i = 0; i < proxy_count; ++i)
            schedules.emplace_back(fleet_settings(proxy_count), i + 1, 0,
                                   has_list ? std::optional<std::uint64_t>(7) : std::nullopt);
        std::multimap<double, std::function<void(double)>> due;
        double busy_until = 0;
        std::function<void(index)> schedule_next = [&](index i) {
            due.emplace(schedules[i].next_poll_at(), [&, i](double now) {
                const endpoint_poll poll = schedules[i].start_poll(now);
                polls.push_back(now);
                if (!discovery_service.is_up(now)) {
                    schedules[i].on_failure(now);
                    return schedule_next(i);
                }
                const double work =
                    poll.watch_revision ? discovery_service.watch_work : discovery_service.snapshot_work;
                if (busy_until - now > discovery_service.queue * discovery_service.snapshot_work) {
                    rejections.push_back(now);
                    schedules[i].on_rejected(now, discovery_service.retry_after);
                    CHECK(schedules[i].next_poll_at() >= now + discovery_service.retry_after);
                    return schedule_next(i);
                }
                busy_until = std::max(busy_until, now) + work;
                if (!poll.watch_revision)
                    snapshots.push_back(now);
                due.emplace(busy_until + poll.watch_timeout,
                            [&, i, is_snapshot = !poll.watch_revision](double then) {
                                if (!discovery_service.is_up(then)) // it died under the watch
                                    schedules[i].on_failure(then);
                                else if (schedules[i].on_update(
                                             then, {is_snapshot, 7, schedules[i].revision(), 0, 10, 0}))
                                    received_at[i] = std::min(received_at[i], then);
                                schedule_next(i);
                            });
            });
        };
        for (index i = 0; i < proxy_count; ++i)
            schedule_next(i);
        while (!due.empty() && due.begin()->first < length) {
            const auto [now, event] = *due.begin();
            due.erase(due.begin());
            event(now);
        }
    }
    static std::size_t max_within(const std::vector<double> &times, double within, double from = 0) {
        std::size_t highest = 0;
        for (std::size_t i = 0, j = 0; i < times.size(); ++i) {
            while (times[i] - times[j] > within)
                ++j;
            if (times[i] >= from)
                highest = std::max(highest, i - j + 1);
        }
        return highest;
    }
};

} // namespace

TEST_CASE("an agent is asked as ever: at once, back to back, after a loss when the router says so") {
    poll_schedule schedule(fleet_settings(300, list_service_kind::agent), 5, 100, 41);
    CHECK(schedule.next_poll_at() == 100);
    CHECK_FALSE(schedule.start_poll(100).watch_revision); // the whole list, whatever is known
    CHECK(schedule.next_poll_at() == never);
    CHECK(schedule.on_update(100.2, snapshot(3, 41, 50, 0, 0))); // nothing is doubted
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
    schedule.on_rejected(102.1, 5); // it has no word for "later"
    CHECK(schedule.next_poll_at() == never);
}

TEST_CASE("a start with a list watches from its revision; without one it asks for all") {
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
    CHECK(compute_poll_intervals(fleet_settings(1)).initial_poll_window <
          0.05); // one proxy alone waits for nobody
    const poll_intervals large_fleet = compute_poll_intervals(fleet_settings(520));
    CHECK(large_fleet.initial_poll_window <= 5); // half of the time in which one must ask
    CHECK(large_fleet.watch_timeout + large_fleet.response_timeout <= 10);
}

TEST_CASE("a tier that starts together: few calls at once, and nothing refused after the first window") {
    for (const index proxy_count : {24, 100, 300, 520}) {
        const fleet_run cached(proxy_count, true, {}, 30), fresh(proxy_count, false, {}, 90);
        const double window = compute_poll_intervals(fleet_settings(proxy_count)).initial_poll_window;
        CHECK(cached.rejections.empty());
        CHECK(cached.snapshots.empty());
        CHECK(fleet_run::max_within(cached.polls, 0.1) <= 10 + 3 * std::sqrt(10.0) + 4);
        CHECK(fleet_run::max_within(fresh.polls, 0.1) <= 10 + 3 * std::sqrt(10.0) + 4);
        CHECK(std::none_of(fresh.rejections.begin(), fresh.rejections.end(),
                           [&](double at) { return at > window + 1; }));
        CHECK(std::all_of(fresh.received_at.begin(), fresh.received_at.end(),
                          [](double at) { return at < never; }));
        CHECK(fresh.snapshots.size() == proxy_count); // one each
    }
}

TEST_CASE("a service that is back after a minute is not met by all at once") {
    const fleet_run fleet(300, true, {.is_up = [](double now) { return now < 5 || now > 65; }}, 90);
    CHECK(fleet.snapshots.empty());
    CHECK(fleet.rejections.empty());
    CHECK(fleet_run::max_within(fleet.polls, 0.1) <= 40);
    std::size_t polls_while_down = 0;
    for (const double at : fleet.polls)
        polls_while_down += at > 25 && at < 65; // the gap has grown by then
    CHECK(polls_while_down < 300 * 40 / 4);
}

TEST_CASE("a service that refuses for long is asked less and less, never before it said") {
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
    schedule.on_rejected(now, 1e9); // a unit was taken for another
    CHECK(schedule.next_poll_at() < now + 121);
}

TEST_CASE("one call out at a time, and no more than the budget") {
    poll_schedule schedule(fleet_settings(1), 3, 0, 1);
    std::size_t polls = 0;
    std::uint64_t revision = 1;
    for (double now = schedule.next_poll_at(); now < 120;
         now = schedule.next_poll_at(), ++polls) { // a list that changes all the time
        schedule.start_poll(now);
        CHECK(schedule.next_poll_at() == never);
        CHECK(schedule.on_update(now, {false, ++revision, revision - 1, 50, 1, 1}));
    }
    CHECK(polls <= 142);
    CHECK(polls >= 100);
}

TEST_CASE("no single answer empties the ring, and what is said again is believed") {
    struct implausible_case {
        snapshot_facts facts;
        implausibility kind;
        index needed;
    };
    const implausible_case cases[] = {{snapshot(42, 41, 50, 0, 0), implausibility::empty, 3},
                                      {snapshot(42, 41, 50, 20, 20), implausibility::mostly_missing, 2},
                                      {snapshot(42, 41, 50, 50, 0), implausibility::unrelated, 2},
                                      {snapshot(40, 41, 50, 50, 50), implausibility::outdated, 2}};
    for (const auto &each : cases) {
        poll_schedule schedule(fleet_settings(300), 2, 0, 41);
        double now = schedule.next_poll_at();
        for (index i = 1; i <= each.needed; ++i) {
            schedule.start_poll(now);
            CHECK(schedule.on_update(now, each.facts) == (i == each.needed));
            CHECK(schedule.latest_implausibility() == each.kind);
            CHECK((schedule.state() == poll_state::awaiting_confirmation) == (i < each.needed));
            if (i < each.needed) {
                CHECK(schedule.revision() == 41);
                CHECK(schedule.next_poll_at() <= now + schedule.intervals().initial_poll_window);
            }
            now = schedule.next_poll_at();
        }
        CHECK(schedule.revision() == each.facts.revision);
        // A sound answer between two bad ones: the count begins anew.
        poll_schedule recovering(fleet_settings(300), 2, 0, 41);
        recovering.start_poll(recovering.next_poll_at());
        CHECK_FALSE(recovering.on_update(1, each.facts));
        recovering.start_poll(recovering.next_poll_at());
        CHECK(recovering.on_update(2, snapshot(41, 41, 50, 50, 50)));
        CHECK(recovering.state() == poll_state::current);
        recovering.start_poll(recovering.next_poll_at());
        CHECK_FALSE(recovering.on_update(3, each.facts));
    }
    // Few servers may be replaced at once; changes that name many gone are the service's own words.
    poll_schedule small(fleet_settings(3), 2, 0, 41);
    small.start_poll(small.next_poll_at());
    CHECK(small.on_update(1, snapshot(42, 41, 3, 3, 0)));
    small.start_poll(small.next_poll_at());
    CHECK(small.on_update(2, {false, 43, 42, 50, 0, 50}));
    // An older answer to a watch: the whole list is asked for.
    poll_schedule rewound(fleet_settings(300), 2, 0, 41);
    rewound.start_poll(rewound.next_poll_at());
    CHECK_FALSE(rewound.on_update(1, {false, 12, 41, 50, 0, 0}));
    CHECK_FALSE(rewound.start_poll(rewound.next_poll_at()).watch_revision);
    CHECK_FALSE(rewound.on_update(2, snapshot(12, 41, 50, 50, 50)));
    rewound.start_poll(rewound.next_poll_at());
    CHECK(rewound.on_update(3, snapshot(12, 41, 50, 50, 50)));
    // Another service by the operators' will: nothing is doubted.
    rewound.on_settings_changed(4, fleet_settings(300));
    CHECK(rewound.next_poll_at() == 4);
    CHECK_FALSE(rewound.start_poll(4).watch_revision);
    CHECK(rewound.on_update(4, snapshot(1, 12, 50, 10, 0)));
}

} // namespace harrierpass::discovery
