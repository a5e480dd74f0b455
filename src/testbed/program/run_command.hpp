// SPDX-License-Identifier: Apache-2.0
// Implements the commands `run` and `compare`: runs experiments and writes their results and plots.
#pragma once

#include "testbed/program/exit_code.hpp"
#include "testbed/runs/socket_run.hpp"
#include "testbed/verification/result.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace harrierpass::testbed {

// The command-line options of `run` and `compare`.
struct run_command {
    std::vector<std::string> files; // experiments; for `compare` also result files (.jsonl)
    std::vector<std::uint32_t> seeds;
    std::vector<std::string> only; // variants to run, by name; empty: all
    std::string results, plot, trace, policy;
    socket_options sockets;
    unsigned jobs = 1; // concurrent runs, in virtual time only
    bool is_virtual = false, quiet = false, large = false, agent_lists = false;
};

// Runs the experiments. With `compares`, compares their variants and includes the runs of result files.
exit_code run_experiments(const run_command &command, bool compares);

// Returns the exit code for finished runs. With `first_variant_only`, runs of other variants are ignored: in
// a comparison a baseline may break rules.
exit_code exit_code_of(const std::vector<run_result> &runs, bool first_variant_only);

// Draws the runs as SVG into the file and prints its path.
void write_plot(const std::string &path, const std::vector<run_result> &runs,
                const std::vector<fault_interval> &faults);

} // namespace harrierpass::testbed
