// SPDX-License-Identifier: Apache-2.0
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "script.hpp"

#include <cstdio>
#include <doctest/doctest.h>

namespace harrierpass {
using test::read_file;

// Each trace holds its events and, indented, the decisions that must follow them.
TEST_CASE("decisions match the kept traces") {
    const std::string folder = HARRIERPASS_TRACES;
    for (const std::string name :
         {"walk", "effects", "timeout", "drain", "cold", "miss", "origin_limit", "tenants", "subscription",
          "silence", "cancel", "jam", "crowd", "small_ring"}) {
        CAPTURE(name);
        const std::string kept = read_file(folder + "/" + name + ".txt");
        CHECK(!kept.empty());
        CHECK(test::script().play(kept) == kept);
    }
}

// Queries with 3000 keys over ten servers, then over nine: shares, and which keys moved.
TEST_CASE("the ring is balanced and moves only what it must") {
    settings given;
    given.use_cases.push_back({effect_kind::idempotent, repeat_group::all, 0, 1, 1, 0});
    std::vector<list_entry> ten;
    const std::array<std::string, 10> names = {"s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9"};
    for (index i = 0; i < names.size(); ++i) {
        list_entry entry;
        entry.server = i;
        entry.id = names[i];
        ten.push_back(entry);
    }
    const auto route = make_router(given, 1, 0);
    std::array<std::array<index, 3000>, 2> to{};
    std::array<int, 10> share{};
    for (std::size_t round = 0; round < 2; ++round) {
        route->listed(0, list_kind::whole, std::span(ten).first(10 - round));
        for (index key = 0; key < 3000; ++key) {
            new_query made;
            made.query = 0;
            made.has_key = true;
            made.key = key;
            made.statement_end = 100;
            route->actions.clear();
            route->arrived(0, made);
            to[round][key] = route->actions.at(0).server;
            route->ended(0, 0, 0, outcome::completed, true, false);
            share[to[round][key]] += round == 0;
        }
    }
    const auto [least, most] = std::minmax_element(share.begin(), share.end());
    std::ostringstream trace;
    trace << "least and most of 300: " << *least << ' ' << *most << '\n';
    int moved = 0, needless = 0;
    for (std::size_t key = 0; key < 3000; ++key) {
        moved += to[0][key] != to[1][key];
        needless += to[0][key] != to[1][key] && to[0][key] != 9;
    }
    trace << "moved " << moved << " of the " << share[9] << " that the lost server had, needlessly "
          << needless << '\n';
    CHECK(trace.str() == read_file(std::string(HARRIERPASS_TRACES) + "/balance.txt"));
}

// The adapter on a short batch with damaged lines: replies and complaints together.
TEST_CASE("the adapter answers, skips what is damaged and says so") {
    const std::string folder = HARRIERPASS_TRACES;
    const std::string command = std::string(HARRIERPASS_SIMLINK) + " 2>&1 < " + folder + "/wire_in.txt";
    std::string said;
    FILE *pipe = popen(command.c_str(), "r");
    REQUIRE(pipe != nullptr);
    for (std::array<char, 256> part{}; std::fgets(part.data(), part.size(), pipe) != nullptr;)
        said += part.data();
    CHECK(pclose(pipe) != 0); // the input ends inside a batch
    CHECK(said == read_file(folder + "/wire_out.txt"));
}

} // namespace harrierpass
