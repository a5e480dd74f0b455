// SPDX-License-Identifier: Apache-2.0
// Reads and writes the snapshot file. It is written under a temporary name, synced and renamed, so that a
// process that is killed at any time leaves a complete file, old or new.
#pragma once

#include "discovery/endpoint_snapshot.hpp"
#include "proxy/configuration.hpp"

#include <optional>

namespace harrierpass::proxy {

// Replaces the file. On failure, returns false, sets errno and keeps the old file.
bool write_snapshot(const std::string &path, const std::string &text);

// The content of a snapshot file.
struct snapshot_load_result {
    // Null if the list is usable; otherwise "absent", "unreadable", "unusable" or the name of a
    // snapshot_fault.
    const char *fault = nullptr;
    json list;      // in the format of the discovery service
    double age = 0; // s
};

// Reads the file at configuration::snapshot_path. `now`: Unix time, s.
[[nodiscard]] snapshot_load_result load_snapshot(const configuration &settings, double now);

} // namespace harrierpass::proxy
