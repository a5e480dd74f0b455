// SPDX-License-Identifier: Apache-2.0
// Exit codes of harrierpass_testbed.
#pragma once

namespace harrierpass::testbed {

enum exit_code {
    success = 0,
    rule_broken = 1,
    invalid_input = 2, // the command line or an experiment is invalid; nothing was run
    host_too_slow = 3  // the run does not count
};

} // namespace harrierpass::testbed
