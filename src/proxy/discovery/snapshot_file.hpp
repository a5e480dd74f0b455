// SPDX-License-Identifier: Apache-2.0
// The file of a snapshot: written aside, brought to the disk and renamed, so that a process that is killed at
// any time leaves the last whole one or the next.
#pragma once

#include "discovery/endpoint_snapshot.hpp"
#include "proxy/configuration.hpp"

#include <optional>

namespace harrierpass::proxy {

// Whether the file holds it now; else errno tells.
bool write_snapshot(const std::string &path, const std::string &text);

struct snapshot_load_result {
    const char *fault = nullptr; // why there is none: absent, unreadable, unusable or a snapshot_fault's name
    json list;                   // in discovery's form
    double age = 0;              // s
};
// `now`: Unix time, s.
snapshot_load_result load_snapshot(const configuration &given, double now);

} // namespace harrierpass::proxy
