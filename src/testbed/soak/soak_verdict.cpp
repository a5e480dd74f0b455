// SPDX-License-Identifier: Apache-2.0
#include "testbed/soak/soak_verdict.hpp"

#include "testbed/verification/rule_checker.hpp"

#include <algorithm>
#include <string_view>

namespace harrierpass::testbed {
namespace {

// A generator that is held up between connecting and writing is taken for an idle client, and the time to the
// deadline that it writes is by then too long.
bool late_generator_can_break(std::string_view rule_name) {
    return rule_name == name_of(rule::lost) || rule_name == name_of(rule::late);
}

bool broke_only_what_a_late_generator_can(const run_result &result) {
    return std::all_of(result.rules.begin(), result.rules.end(), [](const auto &each) {
        return each.second == 0 || late_generator_can_break(each.first);
    });
}

} // namespace

soak_verdict seed_judge::judge(const run_result &result, bool generator_late) {
    --runs_left_;
    const bool broke_rules = result.broken() > 0;
    each_run_broke_rules_ = each_run_broke_rules_ && broke_rules;
    if (generator_late && broke_only_what_a_late_generator_can(result)) {
        if (runs_left_ > 0)
            return soak_verdict::undecided;
        return each_run_broke_rules_ ? soak_verdict::failed : soak_verdict::too_slow;
    }
    if (broke_rules)
        return soak_verdict::failed;
    return result.void_because.empty() ? soak_verdict::passed : soak_verdict::too_slow;
}

} // namespace harrierpass::testbed
