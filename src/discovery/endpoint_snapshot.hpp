// SPDX-License-Identifier: Apache-2.0
// The list of servers as a proxy last had it, kept over its end: a text with a version and a checksum. No
// I/O. It is whole or refused by name; nothing of a damaged one is used. What it says is as good as a `known`
// list: the list service's own word follows at once, and none of it counts as told.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace harrierpass::discovery {

struct endpoint_snapshot {
    std::string proxy_name;        // the proxy's
    std::string discovery_address; // the address of the list service that it is from
    double written_at = 0;         // Unix time, s
    std::string endpoints;         // in discovery's form, JSON
};

enum class snapshot_fault : std::uint8_t {
    none,
    truncated,         // not as long as it says, or no snapshot at all
    unknown_version,   // of another form than this program writes
    checksum_mismatch, // its checksum is not that of its text
    other_source,      // of another proxy, or from another list service
    expired            // older than may be
};
const char *name_of(snapshot_fault of); // as in logs

struct snapshot_read_result {
    snapshot_fault fault = snapshot_fault::none;
    endpoint_snapshot snapshot; // only where there is no fault
    double age = 0;             // s; 0 where the clock has gone back since
};

std::string to_text(const endpoint_snapshot &from);
// `here`: name and discovery of who reads. Never throws but for want of memory.
snapshot_read_result read_snapshot(std::string_view text, const endpoint_snapshot &here, double now,
                                   double most_age);

} // namespace harrierpass::discovery
