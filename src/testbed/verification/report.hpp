// SPDX-License-Identifier: Apache-2.0
// Writes results as JSON lines with seed, commit and a hash of the experiment, and as text. Compares variants
// in pairs of runs and distinguishes significant differences from noise.
#pragma once

#include "testbed/verification/result.hpp"

#include <cmath>
#include <iosfwd>

namespace harrierpass::testbed {

// A result as read from a file.
struct stored_result {
    run_result run;
    std::string commit, hash; // commit of the program, hash of the experiment's text
};

std::string commit();                                                   // the commit of this build
std::string to_json(const run_result &run, const experiment &settings); // one line without a newline
// Reads a file of JSON lines. Throws experiment_error with file and line.
std::vector<stored_result> read_results(const std::string &path);

// `with_details`: also prints the fleet metrics and the histories of violations.
void print(std::ostream &output, const run_result &run, bool with_details);

// Returns the fleet metrics as a Markdown table with one column per experiment: medians over the seeds; for
// violations, the sum.
std::string fleet_table(const std::vector<run_result> &runs);

// One variant compared with another, on the seeds that both ran.
struct comparison {
    std::string experiment, base, other;
    std::size_t pairs = 0;
    std::uint64_t base_broken = 0, other_broken = 0; // violations over the pairs
    double base_median = 0, other_median = 0;        // of service
    double base_spread = 0, other_spread = 0;        // maximum minus minimum
    double difference = 0, noise = 0; // mean over the pairs; half of its 95% confidence interval
    // Whether the difference is significant.
    bool differs() const { return pairs >= 2 && std::fabs(difference) > noise; }
};
// Compares each variant with the first variant of its experiment.
std::vector<comparison> compare(const std::vector<run_result> &runs);
void print(std::ostream &output, const std::vector<comparison> &comparisons);

} // namespace harrierpass::testbed
