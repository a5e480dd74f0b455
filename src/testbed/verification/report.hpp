// SPDX-License-Identifier: Apache-2.0
// Results as JSON lines with seed, commit and a hash of the experiment; as text; and compared in pairs, with
// real differences told from noise.
#pragma once

#include "testbed/verification/result.hpp"

#include <cmath>
#include <iosfwd>

namespace harrierpass::testbed {

// A result as read from a file.
struct stored_result {
    run_result run;
    std::string commit, hash; // of the program; of the experiment's text
};

std::string commit();                                             // of this build
std::string to_json(const run_result &run, const experiment &of); // one line, without its end
// Reads a file of JSON lines. Throws bad_experiment with file and line.
std::vector<stored_result> read_results(const std::string &path);

// `histories`: with those of broken rules.
void print(std::ostream &to, const run_result &run, bool histories);

// Metrics of the whole fleet as a table in Markdown: medians over the seeds (rules broken: their sum), one
// column for each experiment.
std::string fleet_table(const std::vector<run_result> &runs);

// One variant compared with another, on the seeds that both have.
struct comparison {
    std::string experiment, base, other;
    std::size_t pairs = 0;
    std::uint64_t base_broken = 0, other_broken = 0; // rules, over the pairs
    double base_median = 0, other_median = 0;        // of service
    double base_spread = 0, other_spread = 0;        // largest less smallest
    double difference = 0, noise = 0;                // mean of the pairs'; half of its 95% interval
    // Whether the difference is larger than the noise.
    bool differs() const { return pairs >= 2 && std::fabs(difference) > noise; }
};
// Compares each variant with the first one of its experiment.
std::vector<comparison> compare(const std::vector<run_result> &runs);
void print(std::ostream &to, const std::vector<comparison> &all);

} // namespace harrierpass::testbed
