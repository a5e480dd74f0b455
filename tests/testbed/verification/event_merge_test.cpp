// SPDX-License-Identifier: Apache-2.0
#include "testbed/verification/event_merge.hpp"

#include <doctest/doctest.h>

namespace harrierpass::testbed {
namespace {

// Delivers to a recorder, which converts each call back into an event that has the time of the merge's clock.
struct fixture {
    fixture()
        : recorder([this] { return clock.now(); },
                   [this](const observed_event &event) { delivered.push_back(event); }),
          events(clock, recorder), first(events.add_source()), second(events.add_source()) {}

    static observed_event operation_finished(operation op, double time) {
        observed_event event;
        event.type = observed_event::kind::operation_finished;
        event.op = op;
        event.observed_at = time;
        return event;
    }
    std::vector<operation> operations() const {
        std::vector<operation> result;
        for (const auto &event : delivered)
            result.push_back(event.op);
        return result;
    }

    timeline clock;
    std::vector<observed_event> delivered;
    event_recorder recorder;
    event_merge events;
    std::size_t first, second;
};

using operations = std::vector<operation>;

} // namespace

TEST_CASE("events are delivered in the order of their times, independent of the order of arrival") {
    fixture test;
    test.events.add(test.first, fixture::operation_finished(3, 3));
    test.events.add(test.second, fixture::operation_finished(1, 1));
    test.events.add(test.second, fixture::operation_finished(2, 2));
    test.events.advance_source(test.second, 10);
    test.events.advance_source(test.first, 10);
    test.events.deliver_ready();
    CHECK(test.operations() == operations{1, 2, 3});
    CHECK(test.delivered[2].observed_at == 3); // the clock was advanced to the event
    CHECK(test.events.waiting() == 0);
}

TEST_CASE("an event is delivered only after every source has advanced beyond its time") {
    fixture test;
    test.events.add(test.first, fixture::operation_finished(1, 1));
    test.events.advance_source(test.second, 1); // the second source may still have an event at that time
    test.events.deliver_ready();
    CHECK(test.delivered.empty());
    CHECK(test.events.waiting() == 1);
    test.events.advance_source(test.second, 1.5);
    test.events.deliver_ready();
    CHECK(test.delivered.empty()); // the first source has not advanced beyond it
    test.events.advance_source(test.first, 1.5);
    test.events.deliver_ready();
    CHECK(test.operations() == operations{1});
}

TEST_CASE("a closed source does not delay delivery, and a reopened source does") {
    fixture test;
    test.events.close_source(test.second);
    test.events.add(test.first, fixture::operation_finished(1, 1));
    test.events.advance_source(test.first, 2);
    test.events.deliver_ready();
    CHECK(test.operations() == operations{1});
    test.events.reopen_source(test.second, 2);
    test.events.add(test.first, fixture::operation_finished(2, 3));
    test.events.advance_source(test.first, 4);
    test.events.deliver_ready();
    CHECK(test.operations() == operations{1});
    test.events.advance_source(test.second, 4);
    test.events.deliver_ready();
    CHECK(test.operations() == operations{1, 2});
}

TEST_CASE("replaying a recorded event calls the observer with the recorded arguments") {
    fixture test;
    test.recorder.attempt_received(7, 1, 2, 0.5);
    test.recorder.link_fault_changed(link_kind::proxy_list, 3, 0, true);
    test.recorder.response_received(8, 2, reply::rejected, true);
    REQUIRE(test.delivered.size() == 3);
    const auto recorded = test.delivered;
    for (const auto &event : recorded)
        replay_event(event, test.recorder);
    REQUIRE(test.delivered.size() == 6);
    for (std::size_t i = 0; i < recorded.size(); ++i) {
        const auto &replayed = test.delivered[recorded.size() + i];
        CHECK(replayed.type == recorded[i].type);
        CHECK(replayed.enumerator == recorded[i].enumerator);
        CHECK(replayed.flag == recorded[i].flag);
        CHECK(replayed.a == recorded[i].a);
        CHECK(replayed.b == recorded[i].b);
        CHECK(replayed.op == recorded[i].op);
        CHECK(replayed.time_argument == recorded[i].time_argument);
    }
    CHECK(recorded[0].time_argument == 0.5);
    CHECK(recorded[1].enumerator == static_cast<std::uint8_t>(link_kind::proxy_list));
    CHECK(recorded[2].enumerator == static_cast<std::uint8_t>(reply::rejected));
}

} // namespace harrierpass::testbed
