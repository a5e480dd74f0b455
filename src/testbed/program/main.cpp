// SPDX-License-Identifier: Apache-2.0
// harrierpass_testbed: the testbed's command line. exit_code.hpp has its exit codes.
#include "testbed/model/experiment_reader.hpp"
#include "testbed/processes/faulty_proxy.hpp"
#include "testbed/processes/worker_process.hpp"
#include "testbed/program/exit_code.hpp"
#include "testbed/program/fleet_shell.hpp"
#include "testbed/program/run_command.hpp"
#include "testbed/program/subset_table.hpp"
#include "testbed/runs/baseline_policies.hpp"
#include "testbed/runs/load_run.hpp"
#include "testbed/runs/socket_run.hpp"
#include "testbed/soak/soak_plan.hpp"
#include "testbed/soak/soak_runner.hpp"
#include "testbed/verification/report.hpp"

#include "proxy/service.hpp"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>

namespace {

using namespace harrierpass;
using namespace harrierpass::testbed;

// Each command has a struct of its options, with add() that declares them and run() that carries it out.

struct run_or_compare_command {
    run_command options;
    bool compares = false;

    void add(CLI::App &to) {
        auto &sockets = options.sockets;
        to.add_option("files", options.files, "experiment files (TOML)")->required();
        to.add_option("--seeds", options.seeds, "instead of the file's")->delimiter(',');
        to.add_option("--only", options.only, "variants, by name")->delimiter(',');
        to.add_option("--results", options.results, "JSON lines are added to this file");
        to.add_option("--plot", options.plot, "SVG; a folder where there are several experiments");
        to.add_option("--by", options.policy, "who decides instead: module, whole_list, random, ...");
        to.add_option("--trace", options.trace, "all that the rule_checker saw of the first run");
        to.add_option("--jobs", options.jobs, "runs at a time, in virtual time")->check(CLI::Range(1, 256));
        to.add_flag("--virtual", options.is_virtual, "in virtual time, not on sockets");
        to.add_option("--program", sockets.program, "the proxy; else the one beside harrierpass_testbed");
        to.add_option("--logs", sockets.logs, "a folder for the proxies' logs and configurations");
        to.add_flag("--embed", sockets.embeds, "proxies as threads of this process");
        to.add_flag("--large", options.large, "the files' [large] size");
        to.add_flag("--quiet", options.quiet, "no progress");
        to.add_flag("--agent-lists", options.agent_lists,
                    "proxies ask a list service for all as if it were an agent beside each of them");
    }
    int run() const { return run_experiments(options, compares); }
};

std::vector<run_result> runs_of(const std::string &results) {
    std::vector<run_result> runs;
    for (auto &each : read_results(results))
        runs.push_back(std::move(each.run));
    return runs;
}

struct plot_command {
    std::string results, plot;

    void add(CLI::App &to) {
        to.add_option("results", results, "a file of results")->required();
        to.add_option("--to", plot, "the SVG")->required();
    }
    int run() const {
        write_plot(plot, runs_of(results), {});
        return success;
    }
};

struct table_command {
    std::string results;

    void add(CLI::App &to) { to.add_option("results", results, "a file of results")->required(); }
    int run() const {
        std::cout << fleet_table(runs_of(results));
        return success;
    }
};

struct subsets_command {
    subset_options options;
    std::string file, plot;
    bool large = false;

    void add(CLI::App &to) {
        to.add_option("file", file, "experiment file (TOML)")->required();
        to.add_option("--rate", options.rate, "executions a second, instead of the file's")
            ->check(CLI::Range(0.0, 1e6));
        to.add_option("--level", options.level, "of every proxy, instead of its own choice")
            ->check(CLI::Range(0, 6));
        to.add_option("--fetched", options.fetched, "share of answers that the origin is asked for")
            ->check(CLI::Range(0.0, 1.0));
        to.add_option("--loss", options.loss, "of an answer's worth, lost by a fetch")
            ->check(CLI::Range(0.0, 1.0));
        to.add_option("--plot", plot, "an SVG");
        to.add_flag("--json", options.as_json, "all of it, as JSON");
        to.add_flag("--large", large, "the file's [large] size");
    }
    int run() const {
        std::ofstream drawing;
        if (!plot.empty())
            drawing.open(plot);
        print_subset_table(read_experiment(file, large), options, std::cout,
                           plot.empty() ? nullptr : &drawing);
        if (!plot.empty() && !drawing.flush())
            throw experiment_error(plot + ": cannot be written");
        return success;
    }
};

struct fleet_command {
    shell_options options;
    std::string file;

    void add(CLI::App &to) {
        auto &places = options.where;
        to.add_option("file", file, "experiment file (TOML)")->required();
        to.add_option("--first-server", places.first_server, "port of server 0, the others' follow")
            ->check(CLI::Range(0, 65000));
        to.add_option("--first-list", places.first_list, "port of discovery for proxy 0, the others' follow")
            ->check(CLI::Range(0, 65000));
        to.add_option("--configuration", options.configuration, "a proxy's configuration is written here");
        to.add_option("--listen", options.listen, "... with this address")->default_val("127.0.0.1:9000");
        to.add_flag("--faults", options.scripted, "plays the file's faults");
        to.add_flag("--chatty", options.chatty, "a line for each thing that the servers see");
    }
    int run() const { return serve_fleet(read_experiment(file), options); }
};

void print_load(const load_result &load) {
    std::cout << std::fixed << std::setprecision(3) << "rate " << load.rate
              << " completed queries a second; p50 " << load.run.p50 * 1e6 << " us, p90 "
              << load.run.p90 * 1e6 << " us, p99 " << load.run.p99 * 1e6 << " us, p99.9 "
              << load.run.p999 * 1e6 << " us\ncpu " << load.cpu_us << " us a query, generator "
              << load.own_cpu_us << " us a query; resident " << load.resident_kb << " kB, descriptors "
              << load.descriptors << '\n';
    print(std::cout, load.run, true);
}

struct load_command {
    load_options options;
    std::string file;
    double rate = -1, think_time = -1, length = 0; // as the file has it, if not set
    int closed = -1;

    void add(CLI::App &to) {
        to.add_option("file", file, "experiment file (TOML)")->required();
        to.add_option("--to", options.to, "addresses, as 127.0.0.1:9000")->required()->delimiter(',');
        to.add_option("--rate", rate, "queries a second, instead of the file's")->check(CLI::Range(0.0, 1e6));
        to.add_option("--closed", closed, "clients that ask again at once")->check(CLI::Range(0, 20000));
        to.add_option("--think", think_time, "s that these wait before")->check(CLI::Range(0.0, 60.0));
        to.add_option("--length", length, "s")->check(CLI::Range(0.1, 3600.0));
        to.add_option("--seed", options.seed, "of the load");
        to.add_option("--pid", options.pid, "whose CPU and memory are told");
        to.add_option("--idle", options.idle, "connections that rest meanwhile")->check(CLI::Range(0, 20000));
    }
    int run() const {
        experiment settings = read_experiment(file);
        auto &load = settings.load;
        load.rate = rate >= 0 ? rate : load.rate;
        load.closed = closed >= 0 ? static_cast<index>(closed) : load.closed;
        load.think_time = think_time >= 0 ? think_time : load.think_time;
        settings.length = length > 0 ? length : settings.length;
        settings.settle = 0;
        const load_result result = run_load(settings, options);
        print_load(result);
        return exit_code_of({result.run}, false);
    }
};

struct soak_command {
    soak_options options;
    bool prints = false; // the experiments, instead of playing them

    void add(CLI::App &to) {
        auto &sockets = options.sockets;
        to.add_option("--first", options.first, "the first seed");
        to.add_option("--last", options.last, "the last seed");
        to.add_option("--length", options.length, "s of load in each run")->check(CLI::Range(1.0, 600.0));
        to.add_option("--jobs", options.jobs, "runs at a time")->check(CLI::Range(1, 16));
        to.add_option("--logs", sockets.logs, "a folder for the proxies' logs, one for each seed in it");
        to.add_option("--program", sockets.program, "the proxy; else the one beside harrierpass_testbed");
        to.add_flag("--print", prints, "prints the experiments and plays nothing");
    }
    int run() {
        options.last = std::max(options.first, options.last);
        if (prints) {
            for (std::uint32_t seed = options.first; seed <= options.last; ++seed)
                std::cout << "# seed " << seed << '\n' << soak_experiment(seed, options.length);
            return success;
        }
        const soak_summary summary = run_soak(options);
        if (summary.failed > 0)
            return rule_broken;
        // A run on a host that was too slow says nothing; with too many of them, neither does the whole.
        return summary.too_slow > summary.passed ? host_too_slow : success;
    }
};

struct worker_command {
    std::string setup;

    void add(CLI::App &to) { to.add_option("setup", setup, "a file that the run wrote")->required(); }
    int run() const { return run_worker_process(setup); }
};

struct proxy_command {
    std::string policy = "module", violation, configuration;

    void add(CLI::App &to) {
        to.add_option("--by", policy, "module, whole_list, random, least_of_two or plain_ring");
        to.add_option("--plant", violation, "a stand-in that breaks a rule on purpose, by its plant's name");
        to.add_option("configuration", configuration, "the proxy's")->required();
    }
    int run() const {
        if (!violation.empty())
            return run_faulty_proxy(parse_injected_violation(violation), configuration);
        std::string program = "harrierpass_testbed", path = configuration;
        std::array<char *, 3> arguments = {program.data(), path.data(), nullptr};
        return proxy::run(2, arguments.data(), policy_factory_for(policy));
    }
};

// Where the proxy is not named, it is the one beside this program.
void set_programs(socket_options &sockets) {
    std::error_code unknown;
    sockets.self = std::filesystem::read_symlink("/proc/self/exe", unknown).string();
    if (sockets.program.empty())
        sockets.program = sockets.self.substr(0, sockets.self.rfind('/') + 1) + "harrierpass";
}

// All commands of the program.
class command_line {
public:
    command_line() : app_("harrierpass_testbed: fleets, load and experiments for harrierpass") {
        app_.require_subcommand(1);
        add("run", "runs experiments and judges them by the rules", run_);
        compare_.compares = true;
        add("compare",
            "runs the variants paired on the same seeds, or reads .jsonl results, "
            "and tells differences from noise",
            compare_);
        add("plot", "draws results (JSON lines) as SVG", plot_);
        add("table", "results (JSON lines) as a table of the fleet's figures", table_);
        add("subsets", "which servers the proxies prefer, and what it adds up to", subsets_);
        add("fleet", "stand-in servers and discovery on loopback, until it is ended", fleet_);
        add("load", "sends a file's load to proxies, or straight to a server", load_);
        add("soak", "real processes under random faults that overlap, by seed", soak_);
        add("part", "a part of a run's world, started by the run", worker_);
        add("proxy", "the proxy with a baseline in the place of its module", proxy_);
    }

    int run(int count, char **values) {
        try {
            app_.parse(count, values);
        } catch (const CLI::ParseError &error) {
            return app_.exit(error) == 0 ? success : unusable;
        }
        try {
            set_programs(run_.options.sockets);
            set_programs(compare_.options.sockets);
            set_programs(soak_.options.sockets);
            return chosen_();
        } catch (const std::exception &error) {
            std::cerr << "harrierpass_testbed: " << error.what() << '\n';
            return unusable;
        }
    }

private:
    template <typename Command>
    void add(const std::string &name, const std::string &description, Command &command) {
        CLI::App *const subcommand = app_.add_subcommand(name, description);
        command.add(*subcommand);
        subcommand->callback([this, &command] { chosen_ = [&command] { return command.run(); }; });
    }

    CLI::App app_;
    std::function<int()> chosen_;
    run_or_compare_command run_, compare_;
    plot_command plot_;
    table_command table_;
    subsets_command subsets_;
    fleet_command fleet_;
    load_command load_;
    soak_command soak_;
    worker_command worker_;
    proxy_command proxy_;
};

} // namespace

int main(int arguments, char **values) {
    return command_line().run(arguments, values);
}
