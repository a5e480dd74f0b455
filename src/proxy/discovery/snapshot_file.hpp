// SPDX-License-Identifier: Apache-2.0
// The snapshot's file: written beside its place, synced and renamed, so that a process that is killed at any
// time leaves the last whole one or the next.
#pragma once

#include "discovery/endpoint_snapshot.hpp"
#include "proxy/configuration.hpp"

#include <optional>

namespace harrierpass::proxy {

// Replaces the file. False: the old one stands, and errno has the reason.
bool write_snapshot(const std::string &path, const std::string &text);

// What a snapshot's file holds.
struct snapshot_load_result {
    const char *fault = nullptr; // null: usable; else absent, unreadable, unusable or a snapshot_fault's name
    json list;                   // in the discovery service's format
    double age = 0;              // s
};
// Reads the file that the configuration names. `now`: Unix time, s.
[[nodiscard]] snapshot_load_result load_snapshot(const configuration &settings, double now);

} // namespace harrierpass::proxy
