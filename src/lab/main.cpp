// SPDX-License-Identifier: Apache-2.0
// harrierlab: the laboratory's command line. Exit codes: 0 all is well; 1 a rule was broken; 2 the command
// line or an experiment is not usable; 3 the machine was too slow for the run, which does not count.
#include "lab/plot.hpp"
#include "lab/report.hpp"
#include "lab/virtual_run.hpp"

#include <CLI/CLI.hpp>
#include <atomic>
#include <fstream>
#include <iostream>
#include <mutex>
#include <thread>

namespace {

using namespace harrierpass;
using namespace harrierpass::lab;

enum exit_code { well = 0, broken = 1, unusable = 2, too_slow = 3 };

struct run_command {
    std::vector<std::string> files;
    std::vector<std::uint32_t> seeds;
    std::string results, plot, trace;
    unsigned jobs = 1;
    bool is_virtual = false, quiet = false;
};

int verdict(const std::vector<run_result> &runs) {
    int code = well;
    for (const auto &each : runs)
        if (each.broken() > 0)
            code = broken;
        else if (!each.void_because.empty() && code == well)
            code = too_slow;
    return code;
}

std::vector<run_result> run_all(const run_command &how, const experiment &given, std::ostream *results) {
    struct task {
        const variant_spec *as;
        std::uint32_t seed;
    };
    std::vector<task> tasks;
    for (const std::uint32_t seed : how.seeds.empty() ? given.seeds : how.seeds)
        for (const auto &each : given.variants)
            tasks.push_back({&each, seed});
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
            made[i] = run_virtual(given, *tasks[i].as, tasks[i].seed, options);
            const std::lock_guard hold(lock);
            print(std::cout, made[i], true);
        }
    };
    std::vector<std::thread> threads;
    for (unsigned i = 1; i < how.jobs; ++i)
        threads.emplace_back(work);
    work();
    for (auto &each : threads)
        each.join();
    if (results != nullptr)
        for (const auto &each : made)
            *results << to_json(each, given) << '\n';
    return made;
}

void write_plot(const std::string &path, const std::vector<run_result> &runs,
                const std::vector<fault_spec> &faults) {
    std::ofstream to(path);
    to << plot_svg(runs, faults);
    if (!to.flush())
        throw bad_experiment(path + ": cannot be written");
    std::cout << "plot: " << path << '\n';
}

int run(const run_command &how, bool compares) {
    std::vector<run_result> all;
    std::ofstream results;
    if (!how.results.empty()) {
        results.open(how.results, std::ios::app);
        if (!results)
            throw bad_experiment(how.results + ": cannot be written");
    }
    for (const auto &file : how.files) {
        if (compares && file.ends_with(".jsonl")) {
            for (auto &each : read_results(file)) {
                each.run.variant += how.files.size() > 1 ? " @" + each.commit : "";
                all.push_back(std::move(each.run));
            }
            continue;
        }
        const experiment given = read_experiment(file);
        const auto runs = run_all(how, given, results.is_open() ? &results : nullptr);
        all.insert(all.end(), runs.begin(), runs.end());
        if (!how.plot.empty())
            write_plot(how.files.size() == 1 ? how.plot : how.plot + "/" + given.name + ".svg", runs,
                       given.faults);
    }
    if (compares || all.size() > 1)
        print(std::cout, compare(all));
    return verdict(all);
}

} // namespace

int main(int arguments, char **values) {
    CLI::App app("harrierlab: fleets, load and experiments for harrierpass");
    app.require_subcommand(1);
    run_command how;
    const auto options = [&](CLI::App *to) {
        to->add_option("files", how.files, "experiment files (TOML)")->required();
        to->add_option("--seeds", how.seeds, "instead of the file's")->delimiter(',');
        to->add_option("--results", how.results, "JSON lines are added to this file");
        to->add_option("--plot", how.plot, "SVG; a folder where there are several experiments");
        to->add_option("--trace", how.trace, "all that the referee saw of the first run");
        to->add_option("--jobs", how.jobs, "runs at a time, in virtual time")->check(CLI::Range(1, 256));
        to->add_flag("--virtual", how.is_virtual, "in virtual time, not on sockets");
        to->add_flag("--quiet", how.quiet, "no progress");
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
    try {
        app.parse(arguments, values);
    } catch (const CLI::ParseError &bad) {
        return app.exit(bad) == 0 ? well : unusable;
    }
    try {
        if (*runs || *compares)
            return run(how, static_cast<bool>(*compares));
        std::vector<run_result> all;
        for (auto &each : read_results(from))
            all.push_back(std::move(each.run));
        write_plot(to, all, {});
        return well;
    } catch (const std::exception &bad) {
        std::cerr << "harrierlab: " << bad.what() << '\n';
        return unusable;
    }
}
