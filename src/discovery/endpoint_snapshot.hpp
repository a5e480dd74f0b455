// SPDX-License-Identifier: Apache-2.0
// Serialises the latest endpoint list of a proxy, so that it survives restarts, as text with a version and a
// checksum. A snapshot that was read back is treated as cached: the proxy polls the discovery service
// for the current list right away, and changes in the cached list do not count as notified. No I/O.
//
// Invariant: a serialised snapshot is either used completely or rejected with a reason. No part of a damaged
// snapshot is used.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace harrierpass::discovery {

// An endpoint list with its source and its time of writing.
struct endpoint_snapshot {
    std::string proxy_name;        // proxy that wrote the snapshot
    std::string discovery_address; // discovery service that sent the list
    double written_at = 0;         // Unix time in seconds
    std::string endpoints;         // JSON, in the discovery service's format
};

// Reason for rejecting a serialised snapshot.
enum class snapshot_fault : std::uint8_t {
    none,
    truncated,         // length differs from the header's, or the text is not a snapshot
    unknown_version,   // other format version
    checksum_mismatch, // wrong checksum, or a malformed field
    other_source,      // other proxy or other discovery service
    expired            // older than the maximum age
};

// Returns the name for logs.
const char *name_of(snapshot_fault fault);

// Result of reading a serialised snapshot.
struct snapshot_read_result {
    snapshot_fault fault = snapshot_fault::none;
    endpoint_snapshot snapshot; // set only if there is no fault
    double age = 0;             // in seconds; 0 if the clock was set back after writing
};

// Serialises a snapshot.
std::string to_text(const endpoint_snapshot &snapshot);

// Parses a serialised snapshot. `expected` has the proxy name and the discovery address that the snapshot
// must match. `now` is Unix time in seconds, `max_age` is in seconds. Throws only std::bad_alloc.
snapshot_read_result read_snapshot(std::string_view text, const endpoint_snapshot &expected, double now,
                                   double max_age);

} // namespace harrierpass::discovery
