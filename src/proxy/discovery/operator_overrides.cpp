// SPDX-License-Identifier: Apache-2.0
#include "proxy/discovery/operator_overrides.hpp"

#include "base/text.hpp"

#include <algorithm>

namespace harrierpass::proxy {
namespace {

constexpr const char *malformed_text = "malformed operator state";

// Takes the text up to `separator`, which is removed as well, off the front of `rest`.
std::string_view take_field(std::string_view &rest, char separator) {
    const auto end = rest.find(separator);
    if (end == std::string_view::npos)
        throw parse_error{malformed_text};
    const std::string_view field = rest.substr(0, end);
    rest.remove_prefix(end + 1);
    return field;
}

operator_overrides::version take_version(std::string_view &rest) {
    return parse_number<operator_overrides::version>(take_field(rest, ' '), malformed_text);
}

bool take_flag(std::string_view &rest, char separator) {
    const std::string_view field = take_field(rest, separator);
    if (field != "0" && field != "1")
        throw parse_error{malformed_text};
    return field == "1";
}

// Takes a text that stands behind its size, as ids may contain any character.
std::string take_sized_text(std::string_view &rest) {
    const auto size = parse_number<std::size_t>(take_field(rest, ':'), malformed_text);
    if (size >= rest.size() || rest[size] != '\n')
        throw parse_error{malformed_text};
    std::string text(rest.substr(0, size));
    rest.remove_prefix(size + 1);
    return text;
}

} // namespace

operator_overrides::version operator_overrides::next_version() {
    ++change_count_;
    return ++latest_version_;
}

bool operator_overrides::disable(const std::string &id) {
    if (is_disabled(id))
        return false;
    endpoints_[id] = {next_version(), true, 0};
    return true;
}

bool operator_overrides::enable(const std::string &id, double now) {
    if (!is_disabled(id))
        return false;
    std::erase_if(endpoints_, [&](const auto &each) {
        return !each.second.is_disabled && now - each.second.enabled_at > retention_time;
    });
    endpoints_[id] = {next_version(), false, now};
    return true;
}

void operator_overrides::record_enabled(const std::string &id, double enabled_at) {
    if (!is_disabled(id))
        endpoints_[id] = {next_version(), false, enabled_at};
}

bool operator_overrides::set_draining(bool draining) {
    if (draining_.is_draining == draining)
        return false;
    draining_ = {next_version(), draining};
    return true;
}

// Of two commands with the same version, which two processes may have been told at the same instant, both
// processes choose the same one.
std::vector<std::string> operator_overrides::merge(const operator_overrides &other) {
    std::vector<std::string> changed;
    latest_version_ = std::max(latest_version_, other.latest_version_);
    const auto rank = [](const endpoint_command &command) {
        return std::pair(command.number, command.is_disabled);
    };
    for (const auto &[id, command] : other.endpoints_) {
        endpoint_command &known = endpoints_[id];
        if (rank(command) <= rank(known))
            continue;
        known = command;
        changed.push_back(id);
    }
    const bool is_newer = std::pair(other.draining_.number, other.draining_.is_draining) >
                          std::pair(draining_.number, draining_.is_draining);
    if (is_newer)
        draining_ = other.draining_;
    change_count_ += changed.empty() && !is_newer ? 0 : 1;
    return changed;
}

bool operator_overrides::is_disabled(const std::string &id) const {
    const auto found = endpoints_.find(id);
    return found != endpoints_.end() && found->second.is_disabled;
}

endpoint_info operator_overrides::apply(const std::string &id, endpoint_info listed) const {
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end())
        return listed;
    if (!found->second.is_disabled)
        listed.started_at = std::max(listed.started_at, found->second.enabled_at);
    else if (listed.state == endpoint_state::ready)
        listed.state = endpoint_state::draining;
    return listed;
}

std::set<std::string> operator_overrides::disabled() const {
    std::set<std::string> ids;
    for (const auto &[id, command] : endpoints_)
        if (command.is_disabled)
            ids.insert(id);
    return ids;
}

std::map<std::string, double> operator_overrides::enabled_at() const {
    std::map<std::string, double> times;
    for (const auto &[id, command] : endpoints_)
        if (!command.is_disabled)
            times[id] = command.enabled_at;
    return times;
}

std::vector<const operator_overrides::command_map::value_type *> operator_overrides::by_importance() const {
    std::vector<const command_map::value_type *> entries;
    for (const auto &entry : endpoints_)
        entries.push_back(&entry);
    std::ranges::stable_sort(entries, [](const auto *first, const auto *second) {
        return std::pair(first->second.is_disabled, first->second.number) >
               std::pair(second->second.is_disabled, second->second.number);
    });
    return entries;
}

// One line for the proxy, "VERSION DRAINING", then one for each endpoint, "VERSION DISABLED ENABLED-AT
// SIZE:ID".
std::string operator_overrides::to_text(std::size_t max_size) const {
    std::string text = std::to_string(draining_.number) + (draining_.is_draining ? " 1\n" : " 0\n");
    for (const auto *entry : by_importance()) {
        const auto &[id, command] = *entry;
        const std::string line = std::to_string(command.number) + (command.is_disabled ? " 1 " : " 0 ") +
                                 std::to_string(command.enabled_at) + " " + std::to_string(id.size()) + ":" +
                                 id + "\n";
        if (text.size() + line.size() > max_size)
            break;
        text += line;
    }
    return text;
}

operator_overrides operator_overrides::from_text(std::string_view text) {
    operator_overrides result;
    result.draining_.number = take_version(text);
    result.draining_.is_draining = take_flag(text, '\n');
    result.latest_version_ = result.draining_.number;
    while (!text.empty()) {
        endpoint_command command;
        command.number = take_version(text);
        command.is_disabled = take_flag(text, ' ');
        command.enabled_at = parse_number<double>(take_field(text, ' '), malformed_text);
        result.latest_version_ = std::max(result.latest_version_, command.number);
        result.endpoints_[take_sized_text(text)] = command;
    }
    return result;
}

} // namespace harrierpass::proxy
