// SPDX-License-Identifier: Apache-2.0
// harrierpass_testbed: the testbed's command line. exit_code.hpp defines the exit codes.
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

// Each command is a struct that holds its options: add() declares them, run() executes the command.

struct run_or_compare_command {
    run_command options;
    bool compares = false;

    void add(CLI::App &app) {
        auto &sockets = options.sockets;
        app.add_option("files", options.files, "experiment files (TOML)")->required();
        app.add_option("--seeds", options.seeds, "seeds, instead of the file's")->delimiter(',');
        app.add_option("--only", options.only, "variants, by name")->delimiter(',');
        app.add_option("--results", options.results, "appends the results to this file as JSON lines");
        app.add_option("--plot", options.plot, "SVG file; a folder if there are several experiments");
        app.add_option("--by", options.policy, "routing policy: module, whole_list, random, ...");
        app.add_option("--trace", options.trace,
                       "writes the rule checker's events of the first run to this file");
        app.add_option("--jobs", options.jobs, "concurrent runs, in virtual time only")
            ->check(CLI::Range(1, 256));
        app.add_flag("--virtual", options.is_virtual, "runs in virtual time instead of on sockets");
        app.add_option("--program", sockets.program,
                       "the proxy; default: the one beside harrierpass_testbed");
        app.add_option("--logs", sockets.logs, "folder for the proxies' logs and configurations");
        app.add_flag("--embed", sockets.embeds, "runs the proxies as threads of this process");
        app.add_flag("--large", options.large, "uses the [large] size of the files");
        app.add_flag("--quiet", options.quiet, "no progress");
        app.add_flag("--agent-lists", options.agent_lists,
                     "each proxy polls the list service as if it were a local agent");
    }
    int run() const { return run_experiments(options, compares); }
};

std::vector<run_result> read_runs(const std::string &results) {
    std::vector<run_result> runs;
    for (auto &stored : read_results(results))
        runs.push_back(std::move(stored.run));
    return runs;
}

struct plot_command {
    std::string results, plot;

    void add(CLI::App &app) {
        app.add_option("results", results, "result file (JSON lines)")->required();
        app.add_option("--to", plot, "SVG file")->required();
    }
    int run() const {
        write_plot(plot, read_runs(results), {});
        return success;
    }
};

struct table_command {
    std::string results;

    void add(CLI::App &app) { app.add_option("results", results, "result file (JSON lines)")->required(); }
    int run() const {
        std::cout << fleet_table(read_runs(results));
        return success;
    }
};

struct subsets_command {
    subset_options options;
    std::string file, plot;
    bool large = false;

    void add(CLI::App &app) {
        app.add_option("file", file, "experiment file (TOML)")->required();
        app.add_option("--rate", options.rate, "attempts per second, instead of the file's load")
            ->check(CLI::Range(0.0, 1e6));
        app.add_option("--level", options.level, "subset level of every proxy, instead of its own choice")
            ->check(CLI::Range(0, 6));
        app.add_option("--fetched", options.fetched, "share of responses that need an origin fetch")
            ->check(CLI::Range(0.0, 1.0));
        app.add_option("--loss", options.loss,
                       "share of a response's value that an origin fetch loses by delay")
            ->check(CLI::Range(0.0, 1.0));
        app.add_option("--plot", plot, "SVG file");
        app.add_flag("--json", options.as_json, "prints JSON with all details");
        app.add_flag("--large", large, "uses the [large] size of the file");
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

    void add(CLI::App &app) {
        auto &ports = options.ports;
        app.add_option("file", file, "experiment file (TOML)")->required();
        app.add_option("--first-server", ports.first_server,
                       "port of server 0; the other servers use the next ports")
            ->check(CLI::Range(0, 65000));
        app.add_option("--first-list", ports.first_list,
                       "port of discovery for proxy 0; the other proxies use the next ports")
            ->check(CLI::Range(0, 65000));
        app.add_option("--configuration", options.configuration_path,
                       "writes a proxy configuration to this file");
        app.add_option("--listen", options.proxy_address, "listen address in that configuration")
            ->default_val("127.0.0.1:9000");
        app.add_flag("--faults", options.plays_faults, "plays the faults of the file");
        app.add_flag("--chatty", options.prints_events, "prints a line for each event of the servers");
    }
    int run() const { return serve_fleet(read_experiment(file), options); }
};

void print_load(const load_result &load) {
    std::cout << std::fixed << std::setprecision(3) << "rate " << load.rate
              << " completed requests per second; p50 " << load.run.p50 * 1e6 << " us, p90 "
              << load.run.p90 * 1e6 << " us, p99 " << load.run.p99 * 1e6 << " us, p99.9 "
              << load.run.p999 * 1e6 << " us\ncpu " << load.cpu_us << " us per request, load generator "
              << load.own_cpu_us << " us per request; resident " << load.resident_kb << " kB, descriptors "
              << load.descriptors << '\n';
    print(std::cout, load.run, true);
}

struct load_command {
    load_options options;
    std::string file;
    double rate = -1, think_time = -1, length = 0; // below 0, or length 0: the file's value
    int closed = -1;

    void add(CLI::App &app) {
        app.add_option("file", file, "experiment file (TOML)")->required();
        app.add_option("--to", options.to, "target addresses, such as 127.0.0.1:9000")
            ->required()
            ->delimiter(',');
        app.add_option("--rate", rate, "requests per second, instead of the file's")
            ->check(CLI::Range(0.0, 1e6));
        app.add_option("--closed", closed,
                       "closed-loop clients, which send the next request after each response")
            ->check(CLI::Range(0, 20000));
        app.add_option("--think", think_time, "seconds that closed-loop clients wait before the next request")
            ->check(CLI::Range(0.0, 60.0));
        app.add_option("--length", length, "seconds of load")->check(CLI::Range(0.1, 3600.0));
        app.add_option("--seed", options.seed, "seed of the load");
        app.add_option("--pid", options.pid, "process whose CPU time and memory are reported");
        app.add_option("--idle", options.idle, "connections that stay idle during the load")
            ->check(CLI::Range(0, 20000));
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
    bool prints_only = false; // prints the experiments instead of running them

    void add(CLI::App &app) {
        auto &sockets = options.sockets;
        app.add_option("--first", options.first, "the first seed");
        app.add_option("--last", options.last, "the last seed");
        app.add_option("--length", options.length, "seconds of load in each run")
            ->check(CLI::Range(1.0, 600.0));
        app.add_option("--jobs", options.jobs, "concurrent runs")->check(CLI::Range(1, 16));
        app.add_option("--logs", sockets.logs,
                       "folder for the proxies' logs, with a subfolder for each seed");
        app.add_option("--program", sockets.program,
                       "the proxy; default: the one beside harrierpass_testbed");
        app.add_flag("--print", prints_only, "prints the experiments without running them");
    }
    int run() {
        options.last = std::max(options.first, options.last);
        if (prints_only) {
            for (std::uint32_t seed = options.first; seed <= options.last; ++seed)
                std::cout << "# seed " << seed << '\n' << soak_experiment(seed, options.length);
            return success;
        }
        const soak_summary summary = run_soak(options);
        if (summary.failed > 0)
            return rule_broken;
        // Runs on a host that was too slow do not count; if they are the majority, the soak test is
        // inconclusive.
        return summary.too_slow > summary.passed ? host_too_slow : success;
    }
};

struct worker_command {
    std::string setup;

    void add(CLI::App &app) { app.add_option("setup", setup, "setup file written by the run")->required(); }
    int run() const { return run_worker_process(setup); }
};

struct proxy_command {
    std::string policy = "module", violation, configuration;

    void add(CLI::App &app) {
        app.add_option("--by", policy, "module, whole_list, random, least_of_two or plain_ring");
        app.add_option("--plant", violation,
                       "runs a proxy stand-in that breaks a rule deliberately: the name of the violation");
        app.add_option("configuration", configuration, "configuration of the proxy")->required();
    }
    int run() const {
        if (!violation.empty())
            return run_faulty_proxy(parse_injected_violation(violation), configuration);
        std::string program = "harrierpass_testbed", path = configuration;
        std::array<char *, 3> arguments = {program.data(), path.data(), nullptr};
        return proxy::run(2, arguments.data(), policy_factory_for(policy));
    }
};

// The default proxy is the program beside this one.
void set_default_programs(socket_options &sockets) {
    std::error_code ignored;
    sockets.self = std::filesystem::read_symlink("/proc/self/exe", ignored).string();
    if (sockets.program.empty())
        sockets.program = sockets.self.substr(0, sockets.self.rfind('/') + 1) + "harrierpass";
}

// Declares the commands and dispatches to the selected one.
class command_line {
public:
    command_line() : app_("harrierpass_testbed: fleets, load and experiments for harrierpass") {
        app_.require_subcommand(1);
        add("run", "runs experiments and checks them against the rules", run_);
        compare_.compares = true;
        add("compare",
            "runs the variants on the same seeds or reads .jsonl results, and "
            "distinguishes significant differences from noise",
            compare_);
        add("plot", "draws results (JSON lines) as an SVG plot", plot_);
        add("table", "prints results (JSON lines) as a table of fleet metrics", table_);
        add("subsets", "prints which servers the proxies prefer, and the resulting load and connections",
            subsets_);
        add("fleet", "runs stand-in servers and discovery on loopback until it is stopped", fleet_);
        add("load", "sends the load of an experiment to proxies or directly to a server", load_);
        add("soak", "runs real processes under random overlapping faults, drawn by seed", soak_);
        add("part", "runs a worker process of a run; started by the run itself", worker_);
        add("proxy", "runs the proxy with a baseline policy", proxy_);
    }

    int run(int count, char **values) {
        try {
            app_.parse(count, values);
        } catch (const CLI::ParseError &error) {
            return app_.exit(error) == 0 ? success : invalid_input;
        }
        try {
            set_default_programs(run_.options.sockets);
            set_default_programs(compare_.options.sockets);
            set_default_programs(soak_.options.sockets);
            return selected_command_();
        } catch (const std::exception &error) {
            std::cerr << "harrierpass_testbed: " << error.what() << '\n';
            return invalid_input;
        }
    }

private:
    template <typename Command>
    void add(const std::string &name, const std::string &description, Command &command) {
        CLI::App *const subcommand = app_.add_subcommand(name, description);
        command.add(*subcommand);
        subcommand->callback([this, &command] { selected_command_ = [&command] { return command.run(); }; });
    }

    CLI::App app_;
    std::function<int()> selected_command_;
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
