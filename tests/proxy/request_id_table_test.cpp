// SPDX-License-Identifier: Apache-2.0
#include "proxy/request/request_id_table.hpp"

#include <algorithm>
#include <atomic>
#include <doctest/doctest.h>
#include <string>
#include <thread>
#include <vector>

namespace harrierpass::proxy {
namespace {

constexpr double retention_time = request_id_table::retention_time;
constexpr std::size_t remembered_count = 16384; // ids that are remembered however many come after them

// The tables of two processes in the same memory.
struct shared_tables {
    shared_tables() {
        const auto has_ended = [this](request_id_owner owner) { return owner == ended_owner; };
        first.share({words, 1, has_ended}, 0);
        second.share({words, 2, has_ended}, 0);
    }
    std::vector<std::uint64_t> words = std::vector<std::uint64_t>(request_id_table::slot_count);
    std::atomic<request_id_owner> ended_owner = 0;
    request_id_table first, second;
};

bool is_executed(request_id_table &table, const std::string &id, double now) {
    return table.acquire(id, now).conflict == id_conflict::executed;
}

} // namespace

TEST_CASE("request id table: an id is owned by one lease at a time") {
    request_id_table table;
    auto first = table.acquire("a", 10);
    CHECK(first.lease);
    CHECK_FALSE(first.conflict);
    const auto second = table.acquire("a", 10);
    CHECK_FALSE(second.lease);
    CHECK(second.conflict == id_conflict::active);
    CHECK(table.acquire("b", 10).lease);
    CHECK(table.size() == 1);
    first.lease = {};
    CHECK(table.size() == 0);
    CHECK(table.acquire("a", 10).lease);
}

TEST_CASE("request id table: an executed id is remembered for the retention time") {
    request_id_table table;
    CHECK_FALSE(is_executed(table, "a", 10));
    table.remember_executed("a", 10);
    CHECK(is_executed(table, "a", 10));
    CHECK_FALSE(is_executed(table, "b", 10));
    table.remember_executed("a", 20); // it came again: it is remembered from then on
    CHECK(is_executed(table, "a", 10 + retention_time));
    CHECK_FALSE(is_executed(table, "a", 20 + retention_time));
}

// Clients that leave under ever new ids must not make memory grow, nor displace the ids that came last.
TEST_CASE("request id table: the ids that were executed last are remembered however many there are") {
    request_id_table table;
    const std::size_t count = request_id_table::slot_count * 2;
    const auto time_of = [](std::size_t i) { return 10 + static_cast<double>(i) / 8192; };
    for (std::size_t i = 0; i < count; ++i)
        table.remember_executed(std::to_string(i), time_of(i));
    const double now = time_of(count);
    REQUIRE(now < 10 + retention_time);
    CHECK_FALSE(is_executed(table, "0", now));
    std::size_t remembered = 0;
    for (std::size_t i = count - remembered_count; i < count; ++i)
        remembered += is_executed(table, std::to_string(i), now) ? 1 : 0;
    CHECK(remembered == remembered_count);
}

TEST_CASE("request id table: an id that is remembered stays so beside many active requests") {
    request_id_table table;
    table.remember_executed("executed", 10);
    constexpr std::size_t active_count = 4096;
    std::vector<request_id_table::acquisition> active;
    active.reserve(active_count);
    for (std::size_t i = 0; i < active_count; ++i)
        active.push_back(table.acquire(std::to_string(i), 10));
    CHECK(std::all_of(active.begin(), active.end(), [](const auto &each) { return bool(each.lease); }));
    CHECK(table.size() == active_count);
    CHECK(is_executed(table, "executed", 10));
}

// Guards against an effect that happens twice because two processes of one proxy do not know each other's ids
// (review/6).
TEST_CASE("request id table: an id of one process is refused by the other one, in both directions") {
    shared_tables tables;
    for (auto [here, there] :
         {std::pair(&tables.first, &tables.second), std::pair(&tables.second, &tables.first)}) {
        auto open = here->acquire("open", 10);
        CHECK(open.lease);
        CHECK(there->acquire("open", 10).conflict == id_conflict::active);
        open.lease = {};
        CHECK(there->acquire("open", 10).lease);
        here->remember_executed("executed", 10);
        CHECK(is_executed(*there, "executed", 10));
    }
}

// A process that is killed cannot say what became of its requests.
TEST_CASE("request id table: an id that was sent by a process that has ended counts as executed") {
    for (const bool ends_all_at_once : {true, false}) {
        CAPTURE(ends_all_at_once);
        shared_tables tables;
        auto sent = tables.first.acquire("sent", 10);
        sent.lease.mark_sent();
        const auto waiting = tables.first.acquire("waiting", 10);
        CHECK(tables.second.acquire("sent", 10).conflict == id_conflict::active);
        tables.ended_owner = 1;
        if (ends_all_at_once)
            tables.second.end_orphaned_leases(10);
        CHECK(is_executed(tables.second, "sent", 10));
        CHECK(is_executed(tables.second, "sent", 9 + retention_time));
        CHECK_FALSE(is_executed(tables.second, "sent", 11 + retention_time));
        CHECK(tables.second.acquire("waiting", 10).lease);
    }
}

TEST_CASE("request id table: a process that joins ends the leases of one that has ended") {
    shared_tables tables;
    auto sent = tables.first.acquire("sent", 10);
    sent.lease.mark_sent();
    request_id_table third;
    third.share({tables.words, 3, [](request_id_owner owner) { return owner == 1; }}, 10);
    CHECK(is_executed(tables.second, "sent", 10));
}

// Requests with the same id may come to both processes in the same moment.
TEST_CASE("request id table: of simultaneous requests with one id at most one acquires it") {
    shared_tables tables;
    constexpr int rounds = 3000, threads_per_table = 2;
    std::atomic<int> round = 0, arrived = 0, holders = 0, most_holders = 0, acquired = 0;
    const auto compete = [&](request_id_table &table) {
        for (int i = 1; i <= rounds; ++i) {
            if (++arrived == 2 * threads_per_table * i)
                round = i;
            while (round < i)
                std::this_thread::yield();
            const auto result = table.acquire(std::to_string(i), 10);
            if (!result.lease)
                continue;
            ++acquired;
            const int now_holding = ++holders;
            if (now_holding > most_holders)
                most_holders = now_holding;
            std::this_thread::yield();
            --holders;
        }
    };
    std::vector<std::thread> threads;
    for (int i = 0; i < threads_per_table; ++i)
        for (auto *table : {&tables.first, &tables.second})
            threads.emplace_back([&compete, table] { compete(*table); });
    for (auto &thread : threads)
        thread.join();
    CHECK(most_holders == 1);
    CHECK(acquired >= rounds);
    CHECK(tables.first.size() + tables.second.size() == 0);
}

} // namespace harrierpass::proxy
