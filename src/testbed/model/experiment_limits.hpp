// SPDX-License-Identifier: Apache-2.0
// Bounds that several readers of an experiment file share.
#pragma once

namespace harrierpass::testbed {

constexpr double max_run_time = 86400;     // s; a day
constexpr double max_server_count = 20000; // beyond it one process has no memory for their caches

} // namespace harrierpass::testbed
