// SPDX-License-Identifier: Apache-2.0
#include "discovery/endpoint_snapshot.hpp"

#include "base/text.hpp"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>
#include <xxhash.h>

namespace harrierpass::discovery {
namespace {

// Format: a header line `MAGIC VERSION LENGTH CHECKSUM`, then LENGTH bytes of body. The body has one line
// each for the proxy name, the discovery address and the time of writing, followed by the endpoints.
constexpr std::string_view magic = "harrierpass-snapshot";
constexpr std::string_view version = "1";
constexpr std::size_t max_header_size = 128; // bytes
constexpr std::array log_names = {"none",    "torn",    "version",
                                  "damaged", "foreign", "old"}; // indexed by snapshot_fault

// Removes the first field and its delimiter from `text` and returns the field. Without a delimiter, the
// result is empty and all of the text is removed.
std::string_view take_field(std::string_view &text, char delimiter) {
    const auto end = text.find(delimiter);
    if (end == std::string_view::npos) {
        text.remove_prefix(text.size());
        return {};
    }
    const auto field = text.substr(0, end);
    text.remove_prefix(end + 1);
    return field;
}

std::string checksum(std::string_view body) {
    std::ostringstream text;
    text << std::hex << std::setw(16) << std::setfill('0') << XXH64(body.data(), body.size(), 0);
    return text.str();
}

// Parses the fields of the body. Throws parse_error.
endpoint_snapshot parse_body(std::string_view body) {
    endpoint_snapshot snapshot;
    snapshot.proxy_name = take_field(body, '\n');
    snapshot.discovery_address = take_field(body, '\n');
    snapshot.written_at = parse_number<double>(take_field(body, '\n'), "the time of writing is not a number");
    snapshot.endpoints = body;
    return snapshot;
}

// Checks header and body in the order of their fields and returns the first fault. Fills `snapshot` if there
// is none.
snapshot_fault parse_snapshot(std::string_view text, endpoint_snapshot &snapshot) {
    const std::size_t header_size = text.find('\n');
    std::string_view header = text.substr(0, std::min(header_size, max_header_size));
    if (header.size() == text.size() || header.size() == max_header_size)
        return snapshot_fault::truncated;
    if (take_field(header, ' ') != magic)
        return snapshot_fault::truncated;
    if (take_field(header, ' ') != version)
        return snapshot_fault::unknown_version;
    const std::string_view body = text.substr(header_size + 1);
    try {
        if (parse_number<std::size_t>(take_field(header, ' '), "the length is not a number") != body.size())
            return snapshot_fault::truncated;
        if (header != checksum(body))
            return snapshot_fault::checksum_mismatch;
        snapshot = parse_body(body);
    } catch (const parse_error &) {
        return snapshot_fault::checksum_mismatch;
    }
    return snapshot_fault::none;
}

snapshot_read_result rejected(snapshot_fault fault) {
    snapshot_read_result result;
    result.fault = fault;
    return result;
}

} // namespace

const char *name_of(snapshot_fault fault) {
    return log_names[static_cast<std::size_t>(fault)];
}

std::string to_text(const endpoint_snapshot &snapshot) {
    std::ostringstream fields;
    fields << snapshot.proxy_name << '\n'
           << snapshot.discovery_address << '\n'
           << std::setprecision(17) << snapshot.written_at << '\n'
           << snapshot.endpoints;
    const std::string body = fields.str();
    std::ostringstream text;
    text << magic << ' ' << version << ' ' << body.size() << ' ' << checksum(body) << '\n' << body;
    return text.str();
}

snapshot_read_result read_snapshot(std::string_view text, const endpoint_snapshot &expected, double now,
                                   double max_age) {
    snapshot_read_result result;
    const snapshot_fault fault = parse_snapshot(text, result.snapshot);
    if (fault != snapshot_fault::none)
        return rejected(fault);
    if (result.snapshot.proxy_name != expected.proxy_name ||
        result.snapshot.discovery_address != expected.discovery_address)
        return rejected(snapshot_fault::other_source);
    result.age = std::max(0.0, now - result.snapshot.written_at);
    return result.age > max_age ? rejected(snapshot_fault::expired) : result;
}

} // namespace harrierpass::discovery
