// SPDX-License-Identifier: Apache-2.0
// Limits that several readers of an experiment file share.
#pragma once

namespace harrierpass::testbed {

constexpr double max_run_time = 86400;     // seconds; one day
constexpr double max_server_count = 20000; // the caches of more servers exceed the memory of one process

} // namespace harrierpass::testbed
