// SPDX-License-Identifier: Apache-2.0
// The commands `run` and `compare`: runs of experiments, their results, plots and exit code.
#pragma once

#include "testbed/program/exit_code.hpp"
#include "testbed/runs/socket_run.hpp"
#include "testbed/verification/result.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace harrierpass::testbed {

// What the command line says of `run` and `compare`.
struct run_command {
    std::vector<std::string> files; // experiments; for `compare` results (.jsonl), too
    std::vector<std::uint32_t> seeds;
    std::vector<std::string> only; // names of variants; empty: all
    std::string results, plot, trace, policy;
    socket_options sockets;
    unsigned jobs = 1; // runs at a time, in virtual time
    bool is_virtual = false, quiet = false, large = false, agent_lists = false;
};

// Runs the experiments, or compares their variants and what result files hold.
exit_code run_experiments(const run_command &command, bool compares);

// The exit code of finished runs. Where variants are compared, only the first one counts: a baseline may
// break rules.
exit_code exit_code_of(const std::vector<run_result> &runs, bool of_first_variant);

// Draws the runs as SVG into the file and prints its path.
void write_plot(const std::string &path, const std::vector<run_result> &runs,
                const std::vector<shade> &faults);

} // namespace harrierpass::testbed
