// SPDX-License-Identifier: Apache-2.0
// harrierpass_testbed: the laboratory's command line. Exit codes: 0 all is well; 1 a rule was broken; 2 the
// command line or an experiment is not usable; 3 the machine was too slow for the run, which does not count.
#include "testbed/processes/faulty_proxy.hpp"
#include "testbed/processes/worker_process.hpp"
#include "testbed/program/fleet_shell.hpp"
#include "testbed/program/subset_table.hpp"
#include "testbed/runs/baseline_policies.hpp"
#include "testbed/runs/socket_run.hpp"
#include "testbed/runs/virtual_run.hpp"
#include "testbed/soak/soak_plan.hpp"
#include "testbed/verification/plot.hpp"
#include "testbed/verification/report.hpp"

#include "proxy/service.hpp"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <mutex>
#include <thread>

namespace {

using namespace harrierpass;
using namespace harrierpass::testbed;

enum exit_code { well = 0, broken = 1, unusable = 2, too_slow = 3 };

struct run_command {
    std::vector<std::string> files;
    std::vector<std::uint32_t> seeds;
    std::vector<std::string> only;
    std::string results, plot, trace, by;
    socket_options sockets;
    unsigned jobs = 1;
    bool is_virtual = false, quiet = false, large = false, agent_lists = false;
};

// Where variants are compared, a baseline may break rules: that is told, and is no fault of the first
// variant.
int request_result(const std::vector<run_result> &runs, bool of_first) {
    int code = well;
    for (const auto &each : runs)
        if (of_first && each.variant != runs[0].variant)
            continue;
        else if (each.broken() > 0)
            code = broken;
        else if (!each.void_because.empty() && code == well)
            code = too_slow;
    return code;
}

std::vector<run_result> run_all(const run_command &how, const experiment &settings, std::ostream *results) {
    struct task {
        const variant_settings *as;
        std::uint32_t seed;
    };
    std::vector<task> tasks;
    for (const std::uint32_t seed : how.seeds.empty() ? settings.seeds : how.seeds)
        for (const auto &each : settings.variants)
            if (how.only.empty() || std::find(how.only.begin(), how.only.end(), each.name) != how.only.end())
                tasks.push_back({&each, seed});
    if (tasks.empty())
        throw experiment_error(settings.name + ": has no variant of that name");
    std::vector<run_result> made(tasks.size());
    std::atomic<std::size_t> next = 0;
    std::mutex lock;
    std::ofstream trace;
    if (!how.trace.empty())
        trace.open(how.trace);
    const auto work = [&] {
        for (std::size_t i; (i = next++) < tasks.size();) {
            run_options options;
            options.progress = how.quiet ? nullptr : &std::cerr;
            options.trace = trace.is_open() && i == 0 ? &trace : nullptr;
            socket_options on = how.sockets;
            on.progress = options.progress;
            made[i] = how.is_virtual ? run_virtual(settings, *tasks[i].as, tasks[i].seed, options)
                                     : run_on_sockets(settings, *tasks[i].as, tasks[i].seed, on);
            const std::lock_guard hold(lock);
            print(std::cout, made[i], true);
        }
    };
    std::vector<std::thread> threads;
    for (unsigned i = 1; how.is_virtual && i < how.jobs; ++i)
        threads.emplace_back(work);
    work();
    for (auto &each : threads)
        each.join();
    if (results != nullptr)
        for (const auto &each : made)
            *results << to_json(each, settings) << '\n';
    return made;
}

void write_plot(const std::string &path, const std::vector<run_result> &runs,
                const std::vector<shade> &faults) {
    std::ofstream to(path);
    to << plot_svg(runs, faults);
    if (!to.flush())
        throw experiment_error(path + ": cannot be written");
    std::cout << "plot: " << path << '\n';
}

int run(const run_command &how, bool compares) {
    std::vector<run_result> all;
    std::ofstream results;
    if (!how.results.empty()) {
        results.open(how.results, std::ios::app);
        if (!results)
            throw experiment_error(how.results + ": cannot be written");
    }
    for (const auto &file : how.files) {
        if (compares && file.ends_with(".jsonl")) {
            for (auto &each : read_results(file)) {
                each.run.variant += how.files.size() > 1 ? " @" + each.commit : "";
                all.push_back(std::move(each.run));
            }
            continue;
        }
        experiment settings = read_experiment(file, how.large);
        settings.proxies.shared_list = settings.proxies.shared_list && !how.agent_lists;
        for (auto &each : settings.variants)
            if (!how.by.empty() && each.violation == injected_violation::nothing) {
                each.policy = parse_policy_kind(how.by);
                each.name = how.by;
            }
        const auto runs = run_all(how, settings, results.is_open() ? &results : nullptr);
        all.insert(all.end(), runs.begin(), runs.end());
        if (!how.plot.empty())
            write_plot(how.files.size() == 1 ? how.plot : how.plot + "/" + settings.name + ".svg", runs,
                       shades_of(settings));
    }
    if (compares || all.size() > 1)
        print(std::cout, compare(all));
    return request_result(all, compares);
}

int be_proxy(const std::string &by, const std::string &configuration) {
    std::string path = configuration, program = "harrierpass_testbed";
    std::array<char *, 3> words = {program.data(), path.data(), nullptr};
    return proxy::run(2, words.data(), policy_factory_for(by));
}

struct soak_command {
    std::uint32_t first = 1, last = 1; // seeds
    double length = 8;                 // s of load in each run
    unsigned jobs = 1;                 // runs at a time
    bool prints = false;               // the experiments, instead of playing them
    socket_options sockets;
};

// Plays the experiment of each seed; one line a run, and the story of each broken rule.
int soak(const soak_command &how) {
    std::atomic<std::uint32_t> next = how.first;
    std::mutex lock;
    unsigned passed = 0, failed = 0, slow = 0;
    const auto play = [&](std::uint32_t seed) {
        const experiment settings =
            parse_experiment(soak_experiment(seed, how.length), "soak-" + std::to_string(seed) + ".toml");
        socket_options on = how.sockets;
        if (!on.logs.empty())
            on.logs += "/" + std::to_string(seed);
        const run_result made = run_on_sockets(settings, settings.variants[0], seed, on);
        const std::lock_guard hold(lock);
        ++(made.broken() > 0 ? failed : !made.void_because.empty() ? slow : passed);
        print(std::cout, made, true);
        std::cout << std::flush;
    };
    const auto work = [&] {
        for (std::uint32_t seed; (seed = next++) <= how.last;)
            try {
                play(seed);
            } catch (const std::exception &bad) { // one run that can't be played ends no other
                const std::lock_guard hold(lock);
                ++failed;
                std::cout << "soak-" << seed << ": " << bad.what() << std::endl;
            }
    };
    std::vector<std::thread> threads;
    for (unsigned i = 1; i < how.jobs; ++i)
        threads.emplace_back(work);
    work();
    for (auto &each : threads)
        each.join();
    std::cout << slow << " too slow to count\n" << passed << " passed, " << failed << " failed\n";
    // A run on a machine that was too slow says nothing; too many of them, and neither does the whole.
    return failed > 0 ? broken : slow > passed ? too_slow : well;
}

int tell(const load_result &of) {
    std::cout << std::fixed << std::setprecision(3) << "rate " << of.rate
              << " completed queries a second; p50 " << of.run.p50 * 1e6 << " us, p90 " << of.run.p90 * 1e6
              << " us, p99 " << of.run.p99 * 1e6 << " us, p99.9 " << of.run.p999 * 1e6 << " us\ncpu "
              << of.cpu_us << " us a query, generator " << of.own_cpu_us << " us a query; resident "
              << of.resident_kb << " kB, descriptors " << of.descriptors << '\n';
    print(std::cout, of.run, true);
    return request_result({of.run}, false);
}

} // namespace

int main(int arguments, char **values) {
    CLI::App app("harrierpass_testbed: fleets, load and experiments for harrierpass");
    app.require_subcommand(1);
    run_command how;
    const auto options = [&](CLI::App *to) {
        to->add_option("files", how.files, "experiment files (TOML)")->required();
        to->add_option("--seeds", how.seeds, "instead of the file's")->delimiter(',');
        to->add_option("--only", how.only, "variants, by name")->delimiter(',');
        to->add_option("--results", how.results, "JSON lines are added to this file");
        to->add_option("--plot", how.plot, "SVG; a folder where there are several experiments");
        to->add_option("--by", how.by, "who decides instead: module, whole_list, random, ...");
        to->add_option("--trace", how.trace, "all that the referee saw of the first run");
        to->add_option("--jobs", how.jobs, "runs at a time, in virtual time")->check(CLI::Range(1, 256));
        to->add_flag("--virtual", how.is_virtual, "in virtual time, not on sockets");
        to->add_option("--program", how.sockets.program,
                       "the proxy; else the one beside harrierpass_testbed");
        to->add_option("--logs", how.sockets.logs, "a folder for the proxies' logs and configurations");
        to->add_flag("--embed", how.sockets.embeds, "proxies as threads of this process");
        to->add_flag("--large", how.large, "the files' [large] size");
        to->add_flag("--quiet", how.quiet, "no progress");
        to->add_flag("--agent-lists", how.agent_lists,
                     "proxies ask a list service for all as if it were an agent beside each of them");
    };
    auto *const runs = app.add_subcommand("run", "runs experiments and judges them by the rules");
    options(runs);
    auto *const compares =
        app.add_subcommand("compare", "runs the variants paired on the same seeds, or reads .jsonl results, "
                                      "and tells differences from noise");
    options(compares);
    std::string from, to;
    auto *const plots = app.add_subcommand("plot", "draws results (JSON lines) as SVG");
    plots->add_option("results", from, "a file of results")->required();
    plots->add_option("--to", to, "the SVG")->required();
    auto *const tables =
        app.add_subcommand("table", "results (JSON lines) as a table of the fleet's figures");
    tables->add_option("results", from, "a file of results")->required();
    subset_options chosen;
    bool large = false;
    std::string preferred, picture;
    auto *const subsets =
        app.add_subcommand("subsets", "which servers the proxies prefer, and what it adds up to");
    subsets->add_option("file", preferred, "experiment file (TOML)")->required();
    subsets->add_option("--rate", chosen.rate, "executions a second, instead of the file's")
        ->check(CLI::Range(0.0, 1e6));
    subsets->add_option("--level", chosen.level, "of every proxy, instead of its own choice")
        ->check(CLI::Range(0, 6));
    subsets->add_option("--fetched", chosen.fetched, "share of answers that the origin is asked for")
        ->check(CLI::Range(0.0, 1.0));
    subsets->add_option("--loss", chosen.loss, "of an answer's worth, lost by a fetch")
        ->check(CLI::Range(0.0, 1.0));
    subsets->add_option("--plot", picture, "an SVG");
    subsets->add_flag("--json", chosen.as_json, "all of it, as JSON");
    subsets->add_flag("--large", large, "the file's [large] size");
    shell_options shell;
    std::string file;
    auto *const fleets =
        app.add_subcommand("fleet", "stand-in servers and discovery on loopback, until it is ended");
    fleets->add_option("file", file, "experiment file (TOML)")->required();
    fleets->add_option("--first-server", shell.where.first_server, "port of server 0, the others' follow")
        ->check(CLI::Range(0, 65000));
    fleets
        ->add_option("--first-list", shell.where.first_list,
                     "port of discovery for proxy 0, the others' follow")
        ->check(CLI::Range(0, 65000));
    fleets->add_option("--configuration", shell.configuration, "a proxy's configuration is written here");
    fleets->add_option("--listen", shell.listen, "... with this address")->default_val("127.0.0.1:9000");
    fleets->add_flag("--faults", shell.scripted, "plays the file's faults");
    fleets->add_flag("--chatty", shell.chatty, "a line for each thing that the servers see");
    load_options load;
    double rate = -1;
    double length = 0, think = -1;
    int closed = -1;
    auto *const loads = app.add_subcommand("load", "sends a file's load to proxies, or straight to a server");
    loads->add_option("file", file, "experiment file (TOML)")->required();
    loads->add_option("--to", load.to, "addresses, as 127.0.0.1:9000")->required()->delimiter(',');
    loads->add_option("--rate", rate, "queries a second, instead of the file's")->check(CLI::Range(0.0, 1e6));
    loads->add_option("--closed", closed, "clients that ask again at once")->check(CLI::Range(0, 20000));
    loads->add_option("--think", think, "s that these wait before")->check(CLI::Range(0.0, 60.0));
    loads->add_option("--length", length, "s")->check(CLI::Range(0.1, 3600.0));
    loads->add_option("--seed", load.seed, "of the load");
    loads->add_option("--pid", load.pid, "whose CPU and memory are told");
    loads->add_option("--idle", load.idle, "connections that rest meanwhile")->check(CLI::Range(0, 20000));
    soak_command soaks;
    auto *const soaked =
        app.add_subcommand("soak", "real processes under random faults that overlap, by seed");
    soaked->add_option("--first", soaks.first, "the first seed");
    soaked->add_option("--last", soaks.last, "the last seed");
    soaked->add_option("--length", soaks.length, "s of load in each run")->check(CLI::Range(1.0, 600.0));
    soaked->add_option("--jobs", soaks.jobs, "runs at a time")->check(CLI::Range(1, 16));
    soaked->add_option("--logs", soaks.sockets.logs,
                       "a folder for the proxies' logs, one for each seed in it");
    soaked->add_option("--program", how.sockets.program,
                       "the proxy; else the one beside harrierpass_testbed");
    soaked->add_flag("--print", soaks.prints, "prints the experiments and plays nothing");
    std::string setup;
    auto *const parts = app.add_subcommand("part", "a part of a run's world, started by the run");
    parts->add_option("setup", setup, "a file that the run wrote")->required();
    std::string by = "module", breaks, configuration;
    auto *const proxies = app.add_subcommand("proxy", "the proxy with a baseline in the place of its module");
    proxies->add_option("--by", by, "module, whole_list, random, least_of_two or plain_ring");
    proxies->add_option("--plant", breaks, "a stand-in that breaks a rule on purpose, by its plant's name");
    proxies->add_option("configuration", configuration, "the proxy's")->required();
    try {
        app.parse(arguments, values);
    } catch (const CLI::ParseError &bad) {
        return app.exit(bad) == 0 ? well : unusable;
    }
    try {
        std::error_code unknown;
        how.sockets.self = std::filesystem::read_symlink("/proc/self/exe", unknown).string();
        if (how.sockets.program.empty())
            how.sockets.program = how.sockets.self.substr(0, how.sockets.self.rfind('/') + 1) + "harrierpass";
        if (*parts)
            return run_part(setup);
        if (*soaked) {
            soaks.last = std::max(soaks.first, soaks.last);
            soaks.sockets.self = how.sockets.self;
            soaks.sockets.program = how.sockets.program;
            for (std::uint32_t seed = soaks.first; soaks.prints && seed <= soaks.last; ++seed)
                std::cout << "# seed " << seed << '\n' << soak_experiment(seed, soaks.length);
            return soaks.prints ? well : soak(soaks);
        }
        if (*fleets)
            return serve_fleet(read_experiment(file), shell);
        if (*subsets) {
            std::ofstream drawn;
            if (!picture.empty())
                drawn.open(picture);
            print_subset_table(read_experiment(preferred, large), chosen, std::cout,
                               picture.empty() ? nullptr : &drawn);
            if (!picture.empty() && !drawn.flush())
                throw experiment_error(picture + ": cannot be written");
            return well;
        }
        if (*proxies)
            return breaks.empty() ? be_proxy(by, configuration)
                                  : run_plant_proxy(parse_injected_violation(breaks), configuration);
        if (*loads) {
            experiment settings = read_experiment(file);
            settings.load.rate = rate >= 0 ? rate : settings.load.rate;
            settings.load.closed = closed >= 0 ? static_cast<index>(closed) : settings.load.closed;
            settings.load.think_time = think >= 0 ? think : settings.load.think_time;
            settings.length = length > 0 ? length : settings.length;
            settings.settle = 0;
            return tell(run_load(settings, load));
        }
        if (*runs || *compares)
            return run(how, static_cast<bool>(*compares));
        std::vector<run_result> all;
        for (auto &each : read_results(from))
            all.push_back(std::move(each.run));
        if (*tables) {
            std::cout << fleet_table(all);
            return well;
        }
        write_plot(to, all, {});
        return well;
    } catch (const std::exception &bad) {
        std::cerr << "harrierpass_testbed: " << bad.what() << '\n';
        return unusable;
    }
}
