// SPDX-License-Identifier: Apache-2.0
// When the list service is called and what is believed of it, without I/O.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
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

poll_settings tier(index peers, list_service_kind service = list_service_kind::shared) {
    return {.service = service,
            .proxy_count = peers,
            .max_poll_interval = 10,
            .agent_watch_timeout = 1,
            .agent_response_timeout = 0.5};
}
snapshot_facts whole(std::uint64_t revision, std::uint64_t known_revision, std::size_t known,
                     std::size_t named, std::size_t common) {
    return {true, revision, known_revision, known, named, common};
}

// A tier before a service with one worker and a queue, all from one clock.
struct tier_run {
    struct service {
        double whole_work = 0.05, watch_work = 0.001, come_back = 5;
        index queue = 20;
        std::function<bool(double)> up = [](double) { return true; };
    };
    std::vector<double> calls, refusals, wholes;
    std::vector<double> had; // by proxy: when its list came; never

    tier_run(index peers, bool known, const service &with, double length) : had(peers, never) {
        std::vector<poll_schedule> tier_of;
        for (index i = 0; i < peers; ++i)
            tier_of.emplace_back(tier(peers), i + 1, 0,
                                 known ? std::optional<std::uint64_t>(7) : std::nullopt);
        std::multimap<double, std::function<void(double)>> due;
        double busy_until = 0;
        std::function<void(index)> plan = [&](index i) {
            due.emplace(tier_of[i].next_poll_at(), [&, i](double now) {
                const endpoint_poll out = tier_of[i].start_poll(now);
                calls.push_back(now);
                if (!with.up(now)) {
                    tier_of[i].on_failure(now);
                    return plan(i);
                }
                const double work = out.watch_revision ? with.watch_work : with.whole_work;
                if (busy_until - now > with.queue * with.whole_work) {
                    refusals.push_back(now);
                    tier_of[i].on_rejected(now, with.come_back);
                    CHECK(tier_of[i].next_poll_at() >= now + with.come_back);
                    return plan(i);
                }
                busy_until = std::max(busy_until, now) + work;
                if (!out.watch_revision)
                    wholes.push_back(now);
                due.emplace(
                    busy_until + out.watch_timeout, [&, i, from_whole = !out.watch_revision](double then) {
                        if (!with.up(then)) // it died under the watch
                            tier_of[i].on_failure(then);
                        else if (tier_of[i].on_update(then, {from_whole, 7, tier_of[i].revision(), 0, 10, 0}))
                            had[i] = std::min(had[i], then);
                        plan(i);
                    });
            });
        };
        for (index i = 0; i < peers; ++i)
            plan(i);
        while (!due.empty() && due.begin()->first < length) {
            const auto [now, what] = *due.begin();
            due.erase(due.begin());
            what(now);
        }
    }
    static std::size_t most(const std::vector<double> &times, double within, double from = 0) {
        std::size_t most = 0;
        for (std::size_t i = 0, j = 0; i < times.size(); ++i) {
            while (times[i] - times[j] > within)
                ++j;
            if (times[i] >= from)
                most = std::max(most, i - j + 1);
        }
        return most;
    }
};

} // namespace

TEST_CASE("an agent is asked as ever: at once, back to back, after a loss when the router says so") {
    poll_schedule of(tier(300, list_service_kind::agent), 5, 100, 41);
    CHECK(of.next_poll_at() == 100);
    CHECK_FALSE(of.start_poll(100).watch_revision); // the whole list, whatever is known
    CHECK(of.next_poll_at() == never);
    CHECK(of.on_update(100.2, whole(3, 41, 50, 0, 0))); // nothing is doubted
    CHECK(of.next_poll_at() == 100.2);
    const endpoint_poll watch = of.start_poll(100.2);
    CHECK(watch.watch_revision == 3);
    CHECK(watch.watch_timeout == 1);
    CHECK(watch.timeout == 1.5);
    of.on_failure(101.7);
    CHECK(of.next_poll_at() == never);
    of.request_poll(102);
    CHECK(of.next_poll_at() == 102);
    CHECK_FALSE(of.start_poll(102).watch_revision);
    of.on_rejected(102.1, 5); // it has no word for "later"
    CHECK(of.next_poll_at() == never);
}

TEST_CASE("a start with a list watches from its revision; without one it asks for all") {
    for (std::uint32_t seed = 1; seed < 200; ++seed) {
        poll_schedule with(tier(300), seed, 10, 41), without(tier(300), seed, 10, std::nullopt);
        CHECK(with.next_poll_at() >= 10);
        CHECK(with.next_poll_at() <= 10 + with.intervals().initial_poll_window);
        CHECK(with.start_poll(with.next_poll_at()).watch_revision == 41);
        CHECK_FALSE(without.start_poll(without.next_poll_at()).watch_revision);
        CHECK(with.state() == poll_state::cached_endpoints);
        CHECK(without.state() == poll_state::no_endpoints);
    }
    CHECK(compute_poll_intervals(tier(1)).initial_poll_window < 0.05); // one proxy alone waits for nobody
    const poll_intervals many = compute_poll_intervals(tier(520));
    CHECK(many.initial_poll_window <= 5); // half of the time in which one must ask
    CHECK(many.watch_timeout + many.response_timeout <= 10);
}

TEST_CASE("a tier that starts together: few calls at once, and nothing refused after the first window") {
    for (const index peers : {24, 100, 300, 520}) {
        const tier_run knows(peers, true, {}, 30), fresh(peers, false, {}, 90);
        const double window = compute_poll_intervals(tier(peers)).initial_poll_window;
        CHECK(knows.refusals.empty());
        CHECK(knows.wholes.empty());
        CHECK(tier_run::most(knows.calls, 0.1) <= 10 + 3 * std::sqrt(10.0) + 4);
        CHECK(tier_run::most(fresh.calls, 0.1) <= 10 + 3 * std::sqrt(10.0) + 4);
        CHECK(std::none_of(fresh.refusals.begin(), fresh.refusals.end(),
                           [&](double at) { return at > window + 1; }));
        CHECK(std::all_of(fresh.had.begin(), fresh.had.end(), [](double at) { return at < never; }));
        CHECK(fresh.wholes.size() == peers); // one each
    }
}

TEST_CASE("a service that is back after a minute is not met by all at once") {
    const tier_run tier(300, true, {.up = [](double now) { return now < 5 || now > 65; }}, 90);
    CHECK(tier.wholes.empty());
    CHECK(tier.refusals.empty());
    CHECK(tier_run::most(tier.calls, 0.1) <= 40);
    std::size_t down = 0;
    for (const double at : tier.calls)
        down += at > 25 && at < 65; // the gap has grown by then
    CHECK(down < 300 * 40 / 4);
}

TEST_CASE("a service that refuses for long is asked less and less, never before it said") {
    poll_schedule of(tier(300), 9, 0, std::nullopt);
    double now = of.next_poll_at(), before = 0;
    for (int i = 0; i < 8; ++i) {
        of.start_poll(now);
        of.on_rejected(now, 5);
        CHECK(of.next_poll_at() >= now + 5);
        CHECK(of.next_poll_at() <= now + 5 + 60);
        before = now;
        now = of.next_poll_at();
    }
    CHECK(now > before);
    of.on_rejected(now, 1e9); // a unit was taken for another
    CHECK(of.next_poll_at() < now + 121);
}

TEST_CASE("one call out at a time, and no more than the budget") {
    poll_schedule of(tier(1), 3, 0, 1);
    std::size_t calls = 0;
    std::uint64_t revision = 1;
    for (double now = of.next_poll_at(); now < 120;
         now = of.next_poll_at(), ++calls) { // a list that changes all the time
        of.start_poll(now);
        CHECK(of.next_poll_at() == never);
        CHECK(of.on_update(now, {false, ++revision, revision - 1, 50, 1, 1}));
    }
    CHECK(calls <= 142);
    CHECK(calls >= 100);
}

TEST_CASE("no single answer empties the ring, and what is said again is believed") {
    struct doubtful {
        snapshot_facts facts;
        snapshot_doubt as;
        index needed;
    };
    const doubtful cases[] = {{whole(42, 41, 50, 0, 0), snapshot_doubt::empty, 3},
                              {whole(42, 41, 50, 20, 20), snapshot_doubt::mostly_missing, 2},
                              {whole(42, 41, 50, 50, 0), snapshot_doubt::unrelated, 2},
                              {whole(40, 41, 50, 50, 50), snapshot_doubt::outdated, 2}};
    for (const auto &each : cases) {
        poll_schedule of(tier(300), 2, 0, 41);
        double now = of.next_poll_at();
        for (index i = 1; i <= each.needed; ++i) {
            of.start_poll(now);
            CHECK(of.on_update(now, each.facts) == (i == each.needed));
            CHECK(of.latest_doubt() == each.as);
            CHECK((of.state() == poll_state::awaiting_confirmation) == (i < each.needed));
            if (i < each.needed) {
                CHECK(of.revision() == 41);
                CHECK(of.next_poll_at() <= now + of.intervals().initial_poll_window);
            }
            now = of.next_poll_at();
        }
        CHECK(of.revision() == each.facts.revision);
        // A sound answer between two bad ones: the count begins anew.
        poll_schedule mends(tier(300), 2, 0, 41);
        mends.start_poll(mends.next_poll_at());
        CHECK_FALSE(mends.on_update(1, each.facts));
        mends.start_poll(mends.next_poll_at());
        CHECK(mends.on_update(2, whole(41, 41, 50, 50, 50)));
        CHECK(mends.state() == poll_state::current);
        mends.start_poll(mends.next_poll_at());
        CHECK_FALSE(mends.on_update(3, each.facts));
    }
    // Few servers may be replaced at once; changes that name many gone are the service's own words.
    poll_schedule few(tier(3), 2, 0, 41);
    few.start_poll(few.next_poll_at());
    CHECK(few.on_update(1, whole(42, 41, 3, 3, 0)));
    few.start_poll(few.next_poll_at());
    CHECK(few.on_update(2, {false, 43, 42, 50, 0, 50}));
    // An older answer to a watch: the whole list is asked for.
    poll_schedule rewound(tier(300), 2, 0, 41);
    rewound.start_poll(rewound.next_poll_at());
    CHECK_FALSE(rewound.on_update(1, {false, 12, 41, 50, 0, 0}));
    CHECK_FALSE(rewound.start_poll(rewound.next_poll_at()).watch_revision);
    CHECK_FALSE(rewound.on_update(2, whole(12, 41, 50, 50, 50)));
    rewound.start_poll(rewound.next_poll_at());
    CHECK(rewound.on_update(3, whole(12, 41, 50, 50, 50)));
    // Another service by the operators' will: nothing is doubted.
    rewound.on_settings_changed(4, tier(300));
    CHECK(rewound.next_poll_at() == 4);
    CHECK_FALSE(rewound.start_poll(4).watch_revision);
    CHECK(rewound.on_update(4, whole(1, 12, 50, 10, 0)));
}

} // namespace harrierpass::discovery
