// SPDX-License-Identifier: Apache-2.0
#include "testbed/verification/event_merge.hpp"

#include <doctest/doctest.h>

namespace harrierpass::testbed {
namespace {

// Delivers into a recorder, which turns each call back into an event at the merge's own time.
struct fixture {
    fixture()
        : recorder([this] { return clock.now(); },
                   [this](const observed_event &event) { delivered.push_back(event); }),
          events(clock, recorder), first(events.add_source()), second(events.add_source()) {}

    // An event that is told from others by its operation.
    static observed_event settled(operation op, double when) {
        observed_event made;
        made.is = observed_event::kind::operation_finished;
        made.op = op;
        made.when = when;
        return made;
    }
    std::vector<operation> operations() const {
        std::vector<operation> made;
        for (const auto &each : delivered)
            made.push_back(each.op);
        return made;
    }

    timeline clock;
    std::vector<observed_event> delivered;
    event_recorder recorder;
    event_merge events;
    std::size_t first, second;
};

using operations = std::vector<operation>;

} // namespace

TEST_CASE("events are delivered in the order of their times, whatever the order of arrival") {
    fixture test;
    test.events.add(test.first, fixture::settled(3, 3));
    test.events.add(test.second, fixture::settled(1, 1));
    test.events.add(test.second, fixture::settled(2, 2));
    test.events.advance_source(test.second, 10);
    test.events.advance_source(test.first, 10);
    test.events.deliver_ready();
    CHECK(test.operations() == operations{1, 2, 3});
    CHECK(test.delivered[2].when == 3); // the clock was moved to it
    CHECK(test.events.waiting() == 0);
}

TEST_CASE("an event waits until every source has advanced beyond its time") {
    fixture test;
    test.events.add(test.first, fixture::settled(1, 1));
    test.events.advance_source(test.second, 1); // it may still observe something at that time
    test.events.deliver_ready();
    CHECK(test.delivered.empty());
    CHECK(test.events.waiting() == 1);
    test.events.advance_source(test.second, 1.5);
    test.events.deliver_ready();
    CHECK(test.delivered.empty()); // nor has the source of the event itself
    test.events.advance_source(test.first, 1.5);
    test.events.deliver_ready();
    CHECK(test.operations() == operations{1});
}

TEST_CASE("a closed source delays nothing, and a reopened one does again") {
    fixture test;
    test.events.close_source(test.second);
    test.events.add(test.first, fixture::settled(1, 1));
    test.events.advance_source(test.first, 2);
    test.events.deliver_ready();
    CHECK(test.operations() == operations{1});
    test.events.reopen_source(test.second, 2);
    test.events.add(test.first, fixture::settled(2, 3));
    test.events.advance_source(test.first, 4);
    test.events.deliver_ready();
    CHECK(test.operations() == operations{1});
    test.events.advance_source(test.second, 4);
    test.events.deliver_ready();
    CHECK(test.operations() == operations{1, 2});
}

TEST_CASE("a recorded event has the arguments of the call when it is replayed") {
    fixture test;
    test.recorder.attempt_received(7, 1, 2, 0.5);
    test.recorder.link_fault_changed(link_kind::proxy_list, 3, 0, true);
    test.recorder.response_received(8, 2, reply::rejected, true);
    REQUIRE(test.delivered.size() == 3);
    const auto recorded = test.delivered;
    for (const auto &each : recorded)
        replay_event(each, test.recorder);
    REQUIRE(test.delivered.size() == 6);
    for (std::size_t i = 0; i < recorded.size(); ++i) {
        const auto &again = test.delivered[recorded.size() + i];
        CHECK(again.is == recorded[i].is);
        CHECK(again.small == recorded[i].small);
        CHECK(again.flag == recorded[i].flag);
        CHECK(again.a == recorded[i].a);
        CHECK(again.b == recorded[i].b);
        CHECK(again.op == recorded[i].op);
        CHECK(again.x == recorded[i].x);
    }
    CHECK(recorded[0].x == 0.5);
    CHECK(recorded[1].small == static_cast<std::uint8_t>(link_kind::proxy_list));
    CHECK(recorded[2].small == static_cast<std::uint8_t>(reply::rejected));
}

} // namespace harrierpass::testbed
