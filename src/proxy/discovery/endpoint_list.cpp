// SPDX-License-Identifier: Apache-2.0
#include "proxy/discovery/endpoint_list.hpp"

#include "base/text.hpp"

#include <algorithm>
#include <array>
#include <iomanip>
#include <optional>
#include <sstream>
#include <string_view>
#include <utility>

namespace harrierpass::proxy {
namespace {

constexpr double max_cell_number = 1e9; // larger numbers do not fit into an index

// The names of the endpoint states in the format.
constexpr std::array<std::pair<std::string_view, endpoint_state>, 3> state_names = {
    {{"active", endpoint_state::ready},
     {"leaving", endpoint_state::draining},
     {"left", endpoint_state::removed}}};

std::optional<endpoint_state> parse_state(std::string_view name) {
    const auto found =
        std::ranges::find_if(state_names, [&](const auto &each) { return each.first == name; });
    return found == state_names.end() ? std::nullopt : std::optional(found->second);
}

std::string_view name_of(endpoint_state state) {
    return std::ranges::find_if(state_names, [&](const auto &each) { return each.second == state; })->first;
}

std::string_view name_at(const std::vector<std::string> &names, index position) {
    return position < names.size() ? std::string_view(names[position]) : std::string_view();
}

std::string quote(std::string_view text) {
    std::ostringstream quoted;
    quoted << '"';
    for (const char character : text)
        if (character == '"' || character == '\\')
            quoted << '\\' << character;
        else if (static_cast<unsigned char>(character) < 0x20)
            quoted << "\\u00" << std::hex << std::setw(2) << std::setfill('0') << int{character} << std::dec;
        else
            quoted << character;
    quoted << '"';
    return quoted.str();
}

} // namespace

endpoint_list read_endpoint_list(const json &message, const configuration &configured_names) {
    endpoint_list list;
    const json *members = message.find("members");
    if (members == nullptr || members->type != json::kind::array)
        throw parse_error{"the endpoint list has no members"};
    list.revision = parse_number<std::uint64_t>(message.string_at("revision"),
                                                "the revision of the endpoint list is not a number");
    list.is_snapshot = message.string_at("complete") == "true";
    for (const json &member : members->items) {
        const auto state = parse_state(member.string_at("phase"));
        endpoint_list::endpoint_address entry;
        entry.id = member.string_at("id");
        entry.host_port = member.string_at("host_port");
        if (entry.id.empty() || !state)
            continue;
        const double cell = member.number_at("cell", -1);
        entry.info.state = *state;
        entry.info.started_at = member.number_at("up_since_ms", 0) / 1000;
        entry.info.zone = zone_index(index_of_name(configured_names.zones, member.string_at("locality")));
        entry.info.kind = kind_index(index_of_name(configured_names.kinds, member.string_at("flavor")));
        entry.info.cell = cell < 0 || cell > max_cell_number ? none : cell_index(static_cast<index>(cell));
        entry.info.weight = member.number_at("size", 1);
        list.items.push_back(std::move(entry));
    }
    return list;
}

std::string write_endpoint_list(const endpoint_list &list, const configuration &configured_names) {
    std::ostringstream text;
    text << std::setprecision(17) << "{\"revision\":" << list.revision << ",\"complete\":true,\"members\":[";
    const char *separator = "";
    for (const auto &[id, host_port, info] : list.items) {
        text << std::exchange(separator, ",") << "{\"id\":" << quote(id)
             << ",\"host_port\":" << quote(host_port)
             << ",\"locality\":" << quote(name_at(configured_names.zones, info.zone.value()))
             << ",\"flavor\":" << quote(name_at(configured_names.kinds, info.kind.value()))
             << ",\"cell\":" << (info.cell == none ? -1.0 : static_cast<double>(info.cell.value()))
             << ",\"phase\":" << quote(name_of(info.state)) << ",\"size\":" << info.weight
             << ",\"up_since_ms\":" << info.started_at * 1000 << '}';
    }
    text << "]}";
    return text.str();
}

} // namespace harrierpass::proxy
