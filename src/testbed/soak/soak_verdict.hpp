// SPDX-License-Identifier: Apache-2.0
// Decides what the runs of the soak test say about their seed. No I/O.
#pragma once

#include "testbed/verification/result.hpp"

namespace harrierpass::testbed {

// Passed, failed: by a run that counts, or by rules that a late load generator cannot break. Too slow: no run
// of the seed counts. Undecided: the seed must be run again.
enum class soak_verdict { passed, failed, too_slow, undecided };

// Judges one seed. Used from one thread.
class seed_judge {
public:
    // `max_runs`: of the seed; at least 1.
    explicit seed_judge(int max_runs) : runs_left_(max_runs) {}

    // Returns the verdict after a further run. `generator_late`: see generator_was_late().
    soak_verdict judge(const run_result &result, bool generator_late);

private:
    int runs_left_;
    bool each_run_broke_rules_ = true;
};

} // namespace harrierpass::testbed
