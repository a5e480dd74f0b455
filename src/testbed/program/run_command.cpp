// SPDX-License-Identifier: Apache-2.0
#include "testbed/program/run_command.hpp"

#include "testbed/model/experiment_reader.hpp"
#include "testbed/runs/virtual_run.hpp"
#include "testbed/verification/plot.hpp"
#include "testbed/verification/report.hpp"

#include <algorithm>
#include <atomic>
#include <fstream>
#include <iostream>
#include <mutex>
#include <thread>

namespace harrierpass::testbed {
namespace {

// One run of one experiment.
struct run_task {
    const variant_settings *variant;
    std::uint32_t seed;
};

std::vector<run_task> tasks_of(const run_command &command, const experiment &settings) {
    const auto &only = command.only;
    std::vector<run_task> tasks;
    for (const std::uint32_t seed : command.seeds.empty() ? settings.seeds : command.seeds)
        for (const auto &variant : settings.variants)
            if (only.empty() || std::find(only.begin(), only.end(), variant.name) != only.end())
                tasks.push_back({&variant, seed});
    if (tasks.empty())
        throw experiment_error(settings.name + ": no variant matches --only");
    return tasks;
}

run_result run_one(const run_command &command, const experiment &settings, const run_task &task,
                   std::ostream *trace) {
    std::ostream *const progress = command.quiet ? nullptr : &std::cerr;
    if (command.is_virtual)
        return run_virtual(settings, *task.variant, task.seed, {trace, progress});
    socket_options sockets = command.sockets;
    sockets.progress = progress;
    return run_on_sockets(settings, *task.variant, task.seed, sockets);
}

// Runs all variants with all seeds; the first run writes the trace. Results are in the order of the tasks.
std::vector<run_result> run_all(const run_command &command, const experiment &settings,
                                std::ostream *results) {
    const std::vector<run_task> tasks = tasks_of(command, settings);
    std::vector<run_result> runs(tasks.size());
    std::atomic<std::size_t> next = 0;
    std::mutex output_mutex;
    std::ofstream trace;
    if (!command.trace.empty())
        trace.open(command.trace);
    const auto run_remaining = [&] {
        for (std::size_t i; (i = next++) < tasks.size();) {
            runs[i] = run_one(command, settings, tasks[i], trace.is_open() && i == 0 ? &trace : nullptr);
            const std::lock_guard guard(output_mutex);
            print(std::cout, runs[i], true);
        }
    };
    std::vector<std::thread> threads;
    for (unsigned i = 1; command.is_virtual && i < command.jobs; ++i)
        threads.emplace_back(run_remaining);
    run_remaining();
    for (auto &thread : threads)
        thread.join();
    if (results != nullptr)
        for (const auto &run : runs)
            *results << to_json(run, settings) << '\n';
    return runs;
}

// Adds the runs of a result file. `with_commits`: appends the program's commit to the variant's name.
void add_results(const std::string &file, bool with_commits, std::vector<run_result> &runs) {
    for (auto &stored : read_results(file)) {
        stored.run.variant += with_commits ? " @" + stored.commit : "";
        runs.push_back(std::move(stored.run));
    }
}

// Reads an experiment and applies the command's options to it.
experiment read_experiment_for(const run_command &command, const std::string &file) {
    experiment settings = read_experiment(file, command.large);
    settings.proxies.shared_list = settings.proxies.shared_list && !command.agent_lists;
    for (auto &variant : settings.variants)
        if (!command.policy.empty() && variant.violation == injected_violation::nothing) {
            variant.policy = parse_policy_kind(command.policy);
            variant.name = command.policy;
        }
    return settings;
}

} // namespace

exit_code exit_code_of(const std::vector<run_result> &runs, bool first_variant_only) {
    exit_code code = success;
    for (const auto &run : runs)
        if (first_variant_only && run.variant != runs[0].variant)
            continue;
        else if (run.broken() > 0)
            code = rule_broken;
        else if (!run.void_because.empty() && code == success)
            code = host_too_slow;
    return code;
}

void write_plot(const std::string &path, const std::vector<run_result> &runs,
                const std::vector<fault_interval> &faults) {
    std::ofstream file(path);
    file << plot_svg(runs, faults);
    if (!file.flush())
        throw experiment_error(path + ": cannot be written");
    std::cout << "plot: " << path << '\n';
}

exit_code run_experiments(const run_command &command, bool compares) {
    std::vector<run_result> all_runs;
    std::ofstream results;
    if (!command.results.empty()) {
        results.open(command.results, std::ios::app);
        if (!results)
            throw experiment_error(command.results + ": cannot be written");
    }
    const bool several_files = command.files.size() > 1;
    for (const auto &file : command.files) {
        if (compares && file.ends_with(".jsonl")) {
            add_results(file, several_files, all_runs);
            continue;
        }
        const experiment settings = read_experiment_for(command, file);
        const auto runs = run_all(command, settings, results.is_open() ? &results : nullptr);
        all_runs.insert(all_runs.end(), runs.begin(), runs.end());
        if (!command.plot.empty())
            write_plot(several_files ? command.plot + "/" + settings.name + ".svg" : command.plot, runs,
                       fault_intervals(settings));
    }
    if (compares || all_runs.size() > 1)
        print(std::cout, compare(all_runs));
    return exit_code_of(all_runs, compares);
}

} // namespace harrierpass::testbed
