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

// One line of head, `MAGIC VERSION LENGTH CHECKSUM`, then so many bytes: a line each for name, address and
// time, and the list.
constexpr std::string_view magic = "harrierpass-snapshot";
constexpr std::string_view version = "1";
constexpr std::size_t longest_head = 128; // bytes
constexpr std::array names = {"none", "torn", "version", "damaged", "foreign", "old"};

// Up to a border, which is taken off with it; empty where there is none.
std::string_view cut(std::string_view &from, char border) {
    const auto at = from.find(border);
    const auto part = at == std::string_view::npos ? std::string_view{} : from.substr(0, at);
    from.remove_prefix(at == std::string_view::npos ? from.size() : at + 1);
    return part;
}

std::string checksum(std::string_view body) {
    std::ostringstream text;
    text << std::hex << std::setw(16) << std::setfill('0') << XXH64(body.data(), body.size(), 0);
    return text.str();
}

} // namespace

const char *name_of(snapshot_fault of) {
    return names[static_cast<std::size_t>(of)];
}

std::string to_text(const endpoint_snapshot &from) {
    std::ostringstream body;
    body << from.proxy_name << '\n'
         << from.discovery_address << '\n'
         << std::setprecision(17) << from.written_at << '\n'
         << from.endpoints;
    const std::string text = body.str();
    std::ostringstream whole;
    whole << magic << ' ' << version << ' ' << text.size() << ' ' << checksum(text) << '\n' << text;
    return whole.str();
}

snapshot_read_result read_snapshot(std::string_view text, const endpoint_snapshot &here, double now,
                                   double most_age) {
    snapshot_read_result made;
    const auto refused = [&](snapshot_fault why) {
        made = {};
        made.fault = why;
        return made;
    };
    std::string_view head = text.substr(0, std::min(text.find('\n'), longest_head));
    if (head.size() == text.size() || head.size() == longest_head || cut(head, ' ') != magic)
        return refused(snapshot_fault::truncated);
    std::string_view body = text.substr(text.find('\n') + 1);
    if (cut(head, ' ') != version)
        return refused(snapshot_fault::unknown_version);
    try {
        if (parse_number<std::size_t>(cut(head, ' '), "no length") != body.size())
            return refused(snapshot_fault::truncated);
        if (head != checksum(body))
            return refused(snapshot_fault::checksum_mismatch);
        made.snapshot.proxy_name = cut(body, '\n');
        made.snapshot.discovery_address = cut(body, '\n');
        made.snapshot.written_at = parse_number<double>(cut(body, '\n'), "no time");
        made.snapshot.endpoints = body;
    } catch (const parse_error &) {
        return refused(snapshot_fault::checksum_mismatch);
    }
    if (made.snapshot.proxy_name != here.proxy_name ||
        made.snapshot.discovery_address != here.discovery_address)
        return refused(snapshot_fault::other_source);
    made.age = std::max(0.0, now - made.snapshot.written_at);
    return made.age > most_age ? refused(snapshot_fault::expired) : made;
}

} // namespace harrierpass::discovery
