// SPDX-License-Identifier: Apache-2.0
// Exit codes of harrierpass_testbed.
#pragma once

namespace harrierpass::testbed {

enum exit_code {
    success = 0,
    rule_broken = 1,
    unusable = 2,     // the command line or an experiment cannot be used; nothing was run
    host_too_slow = 3 // the run does not count
};

} // namespace harrierpass::testbed
