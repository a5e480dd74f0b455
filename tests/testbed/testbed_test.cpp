// SPDX-License-Identifier: Apache-2.0
// The testbed: its models, its rule checker (which must see what is planted, and nothing where nothing
// is), its files, and the real proxy on sockets before it.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "support/helpers.hpp"
#include "support/process_helpers.hpp"
#include "support/testbed_helpers.hpp"

#include "testbed/load/client_connections.hpp"
#include "testbed/model/experiment_reader.hpp"
#include "testbed/processes/fleet_ports.hpp"
#include "testbed/runs/load_run.hpp"
#include "testbed/runs/socket_run.hpp"
#include "testbed/runs/virtual_run.hpp"
#include "testbed/verification/plot.hpp"
#include "testbed/verification/report.hpp"

#include <cmath>
#include <cstdio>
#include <doctest/doctest.h>
#include <filesystem>

namespace harrierpass::testbed {

const std::string head =
    R"(
length = "4s"
[fleet]
servers = 4
store = 200
[cold]
start_capacity = 0.2
warm_time = "6s"
push_limit = 3
[load]
rate = 200
keys = 300
[proxies]
count = 2
)" + request_class("lookup", "effect = \"idempotent\"\nshare = 0.6\n") +
    request_class("booking", "effect = \"deduplicated\"\ngroup = \"all\"\nwindow = \"10s\"\n"
                             "write = true\nshare = 0.2\n") +
    request_class("invoice", "effect = \"non_idempotent\"\nwrite = true\nshare = 0.2\n");

experiment made(const std::string &rest) {
    return parse_experiment(head + rest, "day.toml");
}

TEST_CASE("the histogram keeps percentiles within its stated error") {
    random_generator from(3);
    histogram of;
    std::vector<double> all;
    for (int i = 0; i < 20000; ++i) {
        all.push_back(from.lognormal(0.01, 1.5));
        of.add(all.back());
    }
    std::sort(all.begin(), all.end());
    for (const double percent : {1.0, 25.0, 50.0, 90.0, 99.0, 99.9}) {
        const double exact = all[static_cast<std::size_t>(std::ceil(percent / 100 * 20000)) - 1];
        CAPTURE(percent);
        CHECK(std::fabs(of.percentile(percent) - exact) <= 0.016 * exact);
    }
    CHECK(histogram().percentile(50) == 0);
}

TEST_CASE("an experiment that cannot be used is refused with file, line and reason") {
    const auto said = [](const std::string &text) {
        try {
            parse_experiment(text, "day.toml");
        } catch (const experiment_error &bad) {
            return std::string(bad.what());
        }
        return std::string("taken");
    };
    const std::string use = "[[use_case]]\nname = \"a\"\n";
    CHECK(said(use) == "taken");
    const std::vector<std::pair<std::string, std::string>> all = {
        {"", "day.toml:1: the experiment has no [[use_case]]"},
        {"lenght = \"2s\"\n" + use, "day.toml:1: unknown key lenght"},
        {"length = 2\n" + use, "day.toml:1: length is no text"},
        {"length = \"2 h\"\n" + use,
         "day.toml:1: length is not a time with a unit, such as \"8ms\", \"2s\", \"200us\" or \"1min\""},
        {"length = \"2.5.1s\"\n" + use,
         "day.toml:1: length is not a time with a unit, such as \"8ms\", \"2s\", \"200us\" or \"1min\""},
        {use + "work = \"8\"\n", "day.toml:3: use_case.work is not a time with a unit, such as \"8ms\", "
                                 "\"2s\", \"200us\" or \"1min\""},
        {"[fleet]\nservers = 0\n" + use, "day.toml:2: fleet.servers is not between 1 and 20000"},
        {"[fleet]\nservers = 2.5\n" + use, "day.toml:2: fleet.servers is no whole number"},
        {"[fleet]\nstores = 3\n" + use, "day.toml:2: unknown key fleet.stores"},
        {use + "effect = \"maybe\"\n",
         "day.toml:3: use_case.effect is \"maybe\"; known values: idempotent, deduplicated, non_idempotent"},
        {use + "effect = \"deduplicated\"\n", "day.toml:1: a deduplicated use_case needs a window"},
        {use + "[[fault]]\nkind = \"crash\"\nat = \"1s\"\n", "day.toml:3: crash needs servers or zone"},
        {use + "[[fault]]\nkind = \"crash\"\nat = \"1s\"\nservers = [7]\n",
         "day.toml:6: fault.servers names a server that the fleet does not have"},
        {use + "[[fault]]\nkind = \"crash\"\nat = \"1s\"\nzone = \"x\"\n",
         "day.toml:6: fault.zone names none of the fleet's zones"},
        {use + "[[fault]]\nkind = \"flood\"\nat = \"1s\"\ntenant = \"x\"\n",
         "day.toml:6: fault.tenant names no tenant"},
        {"seeds = [1, \"x\"]\n" + use,
         "day.toml:1: seeds contains a value that is not a whole number below 2.14748e+09"},
        {"length = \"1s\"\nlength = \"1s\"\n" + use, "day.toml:2:"},
        {"[fleet\n" + use, "day.toml:1:"}};
    for (const auto &each : all) {
        const auto &text = each.first;
        const auto &why = each.second;
        CAPTURE(text);
        CHECK(said(text).substr(0, why.size()) == why);
    }
}

// What one server says to a list of jobs, each "TIME key" or "TIME op!" for a write, in virtual time.
struct bench {
    explicit bench(const std::string &rest)
        : given(made(rest)), checker(clock, given, 0), servers(clock, given, checker, 1) {}
    void send(double at, index server, const job &what) {
        clock.at(at, [this, server, what] {
            checker.allow_unknown_requests = true;
            checker.foreign_request_seen(what.op, what.attempt, what.use_case);
            checker.attempt_received(what.op, what.attempt, server, clock.now());
            servers.at(server).receive(what, [this, what, server](const result &with) {
                checker.attempt_ended(what.op, what.attempt, server);
                came.push_back({clock.now(), what.op, with});
            });
        });
    }
    struct one {
        double at;
        operation op;
        result with;
    };
    timeline clock;
    experiment given;
    rule_checker checker;
    fleet servers;
    std::vector<one> came;
};

TEST_CASE("a server: its store, one fetch a key, its queue, and repeats that it drops") {
    bench of("[origin]\nwork = \"20ms\"\nspread = 0\n");
    const job read{1, 0, 0, false, true, 9000};
    of.send(0, 0, read);
    of.send(0, 0, {2, 0, 0, false, true, 9000});
    of.send(1, 0, {3, 0, 0, false, true, 9000});
    of.clock.advance(2, true);
    REQUIRE(of.came.size() == 3);
    CHECK(of.came[0].with.cache == note::miss);
    CHECK(of.came[1].with.cache == note::pending);
    CHECK(of.came[2].with.cache == note::hit);
    CHECK(of.servers.source().fetches() == 1);

    const job booking{4, 0, 1, true, true, 9000}; // a write voids the copy
    of.send(3, 1, booking);
    of.send(3.5, 2, {4, 1, 1, true, true, 9000}); // again, at another server: dropped, and answered
    of.send(4, 0, {5, 0, 0, false, true, 9000});
    of.clock.advance(5, true);
    REQUIRE(of.came.size() == 6);
    CHECK(of.checker.effects() == 4 + 1); // four reads and one write
    CHECK(of.came[5].with.cache == note::miss);

    for (operation op = 10; op < 200; ++op) // two cores and 100 places
        of.send(6, 3, {op, 0, 0, false, true, op % 100});
    of.clock.advance(10, true);
    const auto full = std::count_if(of.came.begin(), of.came.end(), [](const bench::one &each) {
        return each.with.outcome == result::kind::queue_full;
    });
    CHECK(full == 190 - 102);
    CHECK(of.checker.broken() == 0);
}

TEST_CASE("a fault that begins during another one") {
    bench of("");
    auto &server = of.servers.at(0);
    server.hang(true);
    of.send(0.1, 0, {1, 0, 0, false, true, 1});
    of.clock.advance(1, true);
    CHECK(of.came.empty());
    server.vanish(true);
    server.hang(false);
    of.clock.advance(2, true);
    CHECK(of.came.empty()); // the machine is still gone
    server.vanish(false);
    of.clock.advance(3, true);
    CHECK(of.came.size() == 1); // its work went on
    server.slow(4, true);
    server.crash(true);
    server.crash(true);
    server.crash(false);
    CHECK_FALSE(server.up()); // one of two crashes is over
    server.crash(false);
    CHECK(server.up());
    CHECK(server.warm_up_progress() < 0.25);
    CHECK(server.cached_key_count() == 0);
    server.slow(4, false);
    CHECK(server.answers_health_checks());
}

// Each rule, broken on purpose by the stand-in proxy, is reported with the query's history; without the plant
// the same day is clean.
TEST_CASE("the referee sees what is planted, and nothing else") {
    const std::string day = fault("crash", "1s", "for = \"300ms\"\nservers = [1]") +
                            fault("drain", "2s", "servers = [2]") + "[list]\ndrain_grace = \"200ms\"\n";
    const std::vector<std::pair<injected_violation, rule>> all = {
        {injected_violation::lose_response, rule::lost},
        {injected_violation::answer_twice, rule::answered_twice},
        {injected_violation::execute_twice, rule::ran_twice},
        {injected_violation::concurrent_attempts, rule::two_out},
        {injected_violation::ignore_drain, rule::drain},
        {injected_violation::overload_cold, rule::cold},
        {injected_violation::late_attempt, rule::late},
        {injected_violation::wrong_body, rule::wrong_body}};
    const experiment given = made(day);
    for (const auto &each : all) {
        const injected_violation breaks = each.first;
        const rule which = each.second;
        variant_settings as;
        as.violation = breaks;
        const auto run = run_virtual(given, as, 1);
        CAPTURE(std::string(name_of(which)));
        CHECK(run.rules[static_cast<std::size_t>(which)].first == name_of(which));
        CHECK(run.rules[static_cast<std::size_t>(which)].second > 0);
        REQUIRE(!run.histories.empty());
        if (which != rule::cold) { // the first story tells the query's life
            const bool told =
                std::any_of(run.histories.begin(), run.histories.end(), [&](const std::string &story) {
                    return story.find(std::string("rule ") + name_of(which)) != std::string::npos &&
                           story.find("sent to proxy") != std::string::npos;
                });
            CHECK(told);
        }
    }
    for (const std::uint32_t seed : {1U, 2U, 3U}) {
        const auto clean = run_virtual(given, {}, seed);
        CHECK(clean.broken() == 0);
        CHECK(clean.histories.empty());
        CHECK(clean.queries > 700);
        CHECK(clean.executions >= clean.completed);
    }
}

// Two executions that reach different groups, or lie further apart than the window, and one that a machine
// held in its hand and ran late, which no proxy can tell.
TEST_CASE("a deduplicated operation may run again only where nobody was at fault") {
    const auto broken = [](const std::string &group, double second_at, bool held) {
        experiment given = made("");
        given.use_cases[1].routing.scope =
            group == "all" ? deduplication_scope::all : deduplication_scope::cell;
        given.use_cases[1].routing.deduplication_window = 2;
        timeline clock;
        rule_checker checker(clock, given, 0);
        checker.request_sent(7, 0, 0, 1, 100);
        checker.attempt_received(7, 0, 0, 0);
        if (!held)
            checker.effect_executed(7, 0, 0);
        checker.attempt_ended(7, 0, 0);
        clock.advance(second_at, true);
        checker.attempt_received(7, 0, 1, second_at);
        checker.effect_executed(7, 0, 1);
        checker.attempt_ended(7, 0, 1);
        clock.advance(50, true);
        if (held)
            checker.effect_executed(7, 0, 0);
        return std::pair(checker.broken(rule::ran_twice), checker.late_effects());
    };
    CHECK(broken("all", 1, false) == std::pair<std::uint64_t, std::uint64_t>(0, 1));
    CHECK(broken("all", 1, true) == std::pair<std::uint64_t, std::uint64_t>(0, 1));
    CHECK(broken("all", 3, false) == std::pair<std::uint64_t, std::uint64_t>(1, 0));
    CHECK(broken("cell", 1, false) == std::pair<std::uint64_t, std::uint64_t>(1, 0));
}

TEST_CASE("one seed, one trace") {
    const experiment given = made(fault("vanish", "1s", "for = \"1s\"\nservers = [0]") +
                                  fault("proxy_kill", "2s", "for = \"300ms\"\nproxies = [1]"));
    const auto trace = [&](std::uint32_t seed) {
        std::ostringstream text;
        run_options how;
        how.trace = &text;
        const auto run = run_virtual(given, {}, seed, how);
        return std::pair(text.str(), run.trace);
    };
    const auto one = trace(5), two = trace(5), other = trace(6);
    CHECK(one.first.size() > 10000);
    CHECK(one == two);
    CHECK(one.first != other.first);
    CHECK(one.second != other.second);
}

TEST_CASE("differences are told from noise") {
    const auto run = [](const char *variant, std::uint32_t seed, double service) {
        run_result made;
        made.experiment = "day";
        made.variant = variant;
        made.seed = seed;
        made.service = service;
        return made;
    };
    std::vector<run_result> all;
    for (std::uint32_t seed = 1; seed <= 4; ++seed) {
        all.push_back(run("base", seed, 0.5 + 0.1 * seed));
        all.push_back(run("better", seed, 0.55 + 0.1 * seed + 0.001 * (seed % 2)));
        all.push_back(run("same", seed, 0.5 + 0.1 * seed + (seed % 2 == 0 ? 0.05 : -0.05)));
    }
    all.push_back(run("better", 9, 0)); // no pair: does not count
    run_result voided = run("better", 1, 0);
    voided.void_because = "late";
    all.push_back(voided); // nor does this
    const auto made = compare(all);
    REQUIRE(made.size() == 2);
    CHECK(made[0].pairs == 4);
    CHECK(made[0].differs());
    CHECK(made[0].difference == doctest::Approx(0.0505));
    CHECK_FALSE(made[1].differs());
}

TEST_CASE("results come back from their file, and a bad line is named") {
    const experiment given = made("");
    const auto run = run_virtual(given, {}, 1);
    const std::string path =
        std::filesystem::temp_directory_path() / ("lab-" + std::to_string(::getpid()) + ".jsonl");
    std::ofstream(path) << to_json(run, given) << '\n' << to_json(run, given) << '\n';
    const auto back = read_results(path);
    REQUIRE(back.size() == 2);
    CHECK(back[1].run.service == run.service);
    CHECK(back[1].run.slot_rate.size() == run.slot_rate.size());
    std::ofstream(path, std::ios::app) << "{\"seed\":1}\n";
    std::string said;
    try {
        read_results(path);
    } catch (const experiment_error &bad) {
        said = bad.what();
    }
    CHECK(said.starts_with(path + ":3: no result"));
    std::filesystem::remove(path);
    const std::string svg = plot_svg({run}, fault_intervals(given));
    CHECK(svg.starts_with("<svg "));
    CHECK(svg.find("nan") == std::string::npos);
}

// ---- On sockets

TEST_CASE("servers on sockets: hits, repeats that are seen, deaths and silences") {
    experiment given = made("[network]\ndial_limit = \"200ms\"\n");
    given.fleet.starts_warm = false;
    loop in;
    run_environment all(in.clock, given, 1, 0.05);
    all.checker.allow_unknown_requests = true;
    const fleet_ports ports(in, all);
    recording_client one(in, ports.server_at(0)), two(in, ports.server_at(1));
    one.get("a1", "/lookup/7");
    run_until(in, [&] { return one.response_count == 1; });
    CHECK(one.last_response == "200 miss");
    one.get("a2", "/lookup/7");
    run_until(in, [&] { return one.response_count == 2; });
    CHECK(one.last_response == "200 hit");
    one.connection->send("GET /ping HTTP/1.1\r\nHost: x\r\n\r\n");
    run_until(in, [&] { return one.response_count == 3; });
    CHECK(one.last_response == "200 ");
    one.get("a3", "/nothing/7");
    run_until(in, [&] { return one.response_count == 4; });
    CHECK(one.last_response == "400 ");
    CHECK(all.checker.broken() == 0);

    // The same query at two servers at once.
    all.servers.at(0).hang(true);
    all.servers.at(1).hang(true);
    one.get("b1", "/lookup/8");
    two.get("b1", "/lookup/8");
    run_until(in, [&] { return all.checker.broken(rule::two_out) == 1; });
    all.servers.at(0).crash(true);
    run_until(in, [&] { return one.closed; });
    CHECK(one.close_reason == channel::ending::reset);
    recording_client refused(in, ports.server_at(0));
    run_until(in, [&] { return refused.closed; });
    CHECK(refused.close_reason == channel::ending::failed);
    all.servers.at(0).hang(false);
    all.servers.at(0).crash(false); // the same address, cold
    recording_client back(in, ports.server_at(0));
    back.get("c1", "/lookup/7");
    run_until(in, [&] { return back.response_count == 1; });
    CHECK(back.last_response == "200 miss");

    // A machine that is gone: no answer, no refusal, and no connection comes up.
    all.servers.at(0).vanish(true);
    back.get("c2", "/lookup/7");
    CHECK_FALSE(dial(*parse_address(ports.server_at(0)), 0.2));
    CHECK_FALSE(back.closed);
    CHECK(back.response_count == 1);
    // A caller that gives up meanwhile is seen to, and what it sent is never run.
    const auto executions = all.checker.executions();
    two.connection->end(false);
    all.servers.at(1).hang(false);
    recording_client tired(in, ports.server_at(1));
    tired.get("d1", "/lookup/9");
    run_until(in, [&] { return tired.response_count == 1; });
    all.servers.at(1).vanish(true);
    tired.get("d2", "/lookup/9");
    tired.connection->end(false);
    recording_client again(in, ports.server_at(2));
    again.get("d2", "/lookup/9");
    run_until(in, [&] { return again.response_count == 1; });
    all.servers.at(1).vanish(false);
    all.servers.at(0).vanish(false);
    run_until(in, [&] { return back.response_count == 2; });
    CHECK(back.last_response == "200 hit");
    CHECK(all.checker.executions() == executions + 3); // d1, d2 once, c2
    CHECK(all.checker.broken() == 1);                  // the two at once, from before
}

run_result run_experiment_on_sockets(const std::string &rest, bool embeds,
                                     policy_kind by = policy_kind::module) {
    auto run = run_experiment_on_sockets(made(rest), "", injected_violation::nothing, by, embeds);
    CAPTURE(run.histories);
    std::string stories;
    for (const auto &each : run.histories)
        stories += each;
    CAPTURE(stories);
    CHECK(run.broken() == 0);
    CHECK(run.queries > 500);
    return run;
}

TEST_CASE("the proxy on sockets: a crash, a drain, and a proxy killed in mid-run") {
    const auto run = run_experiment_on_sockets(
        fault("crash", "1s", "for = \"1s\"\nservers = [1]") + fault("drain", "2s", "servers = [2]") +
            fault("proxy_kill", "2500ms", "for = \"500ms\"\nproxies = [0]"),
        false);
    CHECK(run.completed > run.queries * 9 / 10);
    CHECK(run.none < run.queries / 20);
}

// A planned restart starts its proxy again some time after its end, and the end of a kill does so at once: a
// second process could not listen, and would count as a crash. The kill lies between the proxy's end, at 1.8
// s at the latest, and its return, at 4.5 s at the earliest.
TEST_CASE("a proxy that is due back from a planned restart and from a kill is started once") {
    experiment given = made(fault("proxy_restart", "500ms", "for = \"4s\"\nproxies = [0]") +
                            fault("proxy_kill", "4s", "for = \"200ms\"\nproxies = [0]"));
    given.length = 9;
    const auto run = run_experiment_on_sockets(given);
    print_histories(run);
    CHECK(run.broken() == 0); // `crashed` among them
}

// More than any generator can send: the run says so, and does not count.
TEST_CASE("a load that the machine is too slow for does not count") {
    experiment given = made("");
    given.load.rate = 1e6;
    given.load.retries = 0;
    given.length = 0.05;
    load_options how;
    how.to = {"127.0.0.1:1"}; // nobody is there, which costs the least
    const auto fast = run_load(given, how);
    CHECK(fast.run.void_because.starts_with("the machine was too slow"));
    given.load.rate = 20;
    given.length = 0.3;
    const auto calm = run_load(given, how);
    CHECK(calm.run.void_because == "no query was completed: is anybody there?");
    CHECK(calm.run.broken() == 0); // what nobody took is not lost
}

TEST_CASE("the proxy on sockets, embedded, and a baseline as a process") {
    const std::string spoilt = fault("spoilt", "500ms", "for = \"3s\"\nservers = [0]\nfactor = 0.3");
    const auto embedded = run_experiment_on_sockets(spoilt, true);
    const auto baseline = run_experiment_on_sockets(spoilt, false, policy_kind::less_loaded_of_two);
    CHECK(embedded.completed > baseline.completed); // spoilt reads are tried again
    CHECK(baseline.aborted > 0);
}

} // namespace harrierpass::testbed
