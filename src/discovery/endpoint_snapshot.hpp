// SPDX-License-Identifier: Apache-2.0
// The endpoint list as a proxy last had it, kept across restarts as a text with a version and a checksum. A
// snapshot that was read counts as a cached one: the discovery service's own list follows at once, and
// changes in it do not count as notified. No I/O.
//
// Invariant: a text is used as a whole or rejected with a reason; nothing of a damaged one is used.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace harrierpass::discovery {

// What is kept.
struct endpoint_snapshot {
    std::string proxy_name;        // of the proxy that wrote it
    std::string discovery_address; // of the discovery service that the list is from
    double written_at = 0;         // Unix time, s
    std::string endpoints;         // JSON, in the discovery service's format
};

// Why a text is rejected.
enum class snapshot_fault : std::uint8_t {
    none,
    truncated,         // shorter or longer than its header says, or no snapshot at all
    unknown_version,   // of another format version
    checksum_mismatch, // the checksum is not that of the text, or a field is malformed
    other_source,      // of another proxy, or from another discovery service
    expired            // older than allowed
};

// The name as in logs.
const char *name_of(snapshot_fault fault);

// The outcome of reading.
struct snapshot_read_result {
    snapshot_fault fault = snapshot_fault::none;
    endpoint_snapshot snapshot; // only where there is no fault
    double age = 0;             // s; 0 where the clock was set back since
};

// The text to keep.
std::string to_text(const endpoint_snapshot &snapshot);

// Reads a kept text. `reader` has the name and the discovery address of the proxy that reads; `now` is Unix
// time and `max_age` seconds. Throws nothing but std::bad_alloc.
snapshot_read_result read_snapshot(std::string_view text, const endpoint_snapshot &reader, double now,
                                   double max_age);

} // namespace harrierpass::discovery
